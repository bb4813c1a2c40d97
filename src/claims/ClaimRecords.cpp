#include "hemlockvane/claims/ClaimRecords.h"

#include "hemlockvane/claims/ClaimState.h"
#include "hemlockvane/claims/RequestKey.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace hemlockvane {

namespace {

auto toVerdict(ClaimStatus status) -> wire::ClaimVerdict
{
    switch (status) {
    case ClaimStatus::Granting:
        return wire::CLAIM_GRANTED;
    case ClaimStatus::InFlight:
        return wire::CLAIM_IN_FLIGHT;
    case ClaimStatus::Done:
        return wire::CLAIM_DONE;
    case ClaimStatus::Unknown:
        break;
    }
    return wire::CLAIM_UNKNOWN;
}

auto toStatus(wire::ClaimVerdict verdict) -> ClaimStatus
{
    if (verdict == wire::CLAIM_DONE)
        return ClaimStatus::Done;
    return verdict == wire::CLAIM_IN_FLIGHT || verdict == wire::CLAIM_GRANTED ? ClaimStatus::InFlight
                                                                              : ClaimStatus::Unknown;
}

auto dropAnswer(ClaimState& state, ClaimRecord& record) -> void
{
    state.m_answerBytes -= record.m_answer.size();
    std::string().swap(record.m_answer);
}

// Stamp of the newest answer in the oldest quarter of the stored answers.
auto oldestQuarter(const ClaimState& state) -> WallMillis
{
    constexpr std::size_t quarters = 4;
    std::vector<WallMillis> stamps;
    for (const auto& slot : state.m_slots) {
        for (const auto& [key, record] : slot.m_records) {
            if (!record.m_answer.empty())
                stamps.push_back(record.m_stampedAt);
        }
    }
    if (stamps.empty())
        return 0;
    const auto quarter = stamps.begin() + static_cast<std::ptrdiff_t>(stamps.size() / quarters);
    std::nth_element(stamps.begin(), quarter, stamps.end());
    return *quarter;
}

auto dropOldestAnswers(ClaimState& state) -> void
{
    const auto last = oldestQuarter(state);
    for (auto& slot : state.m_slots) {
        for (auto& [key, record] : slot.m_records) {
            if (record.m_answer.empty() || record.m_stampedAt > last)
                continue;
            dropAnswer(state, record);
            record.m_answerLost = true;
        }
    }
}

auto stampOfKey(const std::string& key) -> WallMillis
{
    FailureReason reason;
    const auto parsed = parseRequestKey(key, reason);
    return parsed ? parsed->m_stampedAt : 0;
}

} // namespace

auto makeClaimState(std::string self, const ClaimSettings& settings) -> ClaimState
{
    ClaimState state;
    state.m_self = std::move(self);
    state.m_settings = settings;
    state.m_slots.resize(settings.m_slots);
    return state;
}

auto findClaim(ClaimSlot& slot, const ClaimKey& key) -> ClaimRecord*
{
    const auto found = slot.m_records.find(key);
    return found == slot.m_records.end() ? nullptr : &found->second;
}

auto storeClaim(ClaimState& state, ClaimSlot& slot, const ClaimKey& key, ClaimRecord record) -> ClaimRecord*
{
    auto* present = findClaim(slot, key);
    if (present == nullptr && state.m_recordCount >= state.m_settings.m_maximumRecords)
        return nullptr;
    const auto answer = std::exchange(record.m_answer, {});
    const auto answered = record.m_status == ClaimStatus::Done;
    if (present == nullptr) {
        record.m_stampedAt = stampOfKey(key.m_key);
        ++state.m_recordCount;
        present = &slot.m_records.emplace(key, std::move(record)).first->second;
    } else {
        record.m_stampedAt = present->m_stampedAt;
        state.m_answerBytes -= present->m_answer.size();
        *present = std::move(record);
    }
    if (answered)
        storeAnswer(state, *present, answer, present->m_answerLost);
    return present;
}

auto eraseClaim(ClaimState& state, ClaimSlot& slot, const ClaimKey& key) -> void
{
    const auto found = slot.m_records.find(key);
    if (found == slot.m_records.end())
        return;
    state.m_answerBytes -= found->second.m_answer.size();
    --state.m_recordCount;
    slot.m_granting.erase(key);
    slot.m_underReplicated.erase(key);
    slot.m_records.erase(found);
}

auto storeAnswer(ClaimState& state, ClaimRecord& record, std::string_view answer, bool lost) -> void
{
    const auto& settings = state.m_settings;
    dropAnswer(state, record);
    record.m_status = ClaimStatus::Done;
    record.m_answerLost = lost || answer.size() > settings.m_maximumAnswerBytes;
    const auto exceedsTotal = [&] { return state.m_answerBytes + answer.size() > settings.m_maximumAnswerTotal; };
    if (!record.m_answerLost && exceedsTotal())
        dropOldestAnswers(state);
    record.m_answerLost = record.m_answerLost || exceedsTotal();
    if (record.m_answerLost)
        return;
    record.m_answer = answer;
    state.m_answerBytes += answer.size();
}

auto forgetExpired(ClaimState& state, ClaimSlot& slot) -> void
{
    const auto& settings = state.m_settings;
    const auto oldest = state.m_wall - (settings.m_window + settings.m_entrySkew).count();
    std::vector<ClaimKey> expired;
    for (const auto& [key, record] : slot.m_records) {
        if (record.m_stampedAt < oldest)
            expired.push_back(key);
    }
    for (const auto& key : expired)
        eraseClaim(state, slot, key);
}

auto toClaimEntry(const ClaimKey& key, const ClaimRecord& record) -> wire::ClaimEntry
{
    wire::ClaimEntry entry;
    entry.set_team(key.m_team);
    entry.set_key(key.m_key);
    entry.set_body_hash(record.m_bodyHash);
    entry.set_verdict(toVerdict(record.m_status));
    entry.set_answer(record.m_answer);
    entry.set_answer_lost(record.m_answerLost);
    entry.set_dispatcher(record.m_dispatcher);
    entry.set_ticket(record.m_ticket);
    entry.set_grant_epoch(record.m_grant.m_epoch);
    entry.set_grant_serial(record.m_grant.m_serial);
    return entry;
}

auto fromClaimEntry(const wire::ClaimEntry& entry) -> ClaimRecord
{
    ClaimRecord record;
    record.m_status = toStatus(entry.verdict());
    record.m_grant = { entry.grant_epoch(), entry.grant_serial() };
    record.m_bodyHash = entry.body_hash();
    record.m_dispatcher = entry.dispatcher();
    record.m_ticket = entry.ticket();
    record.m_answer = entry.answer();
    record.m_answerLost = entry.answer_lost();
    return record;
}

} // namespace hemlockvane
