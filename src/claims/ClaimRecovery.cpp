#include "hemlockvane/claims/ClaimRecovery.h"

#include "hemlockvane/claims/ClaimContext.h"
#include "hemlockvane/claims/ClaimHolder.h"
#include "hemlockvane/claims/ClaimRecords.h"
#include "hemlockvane/claims/ClaimState.h"
#include "hemlockvane/claims/ClaimView.h"
#include "hemlockvane/claims/RequestKey.h"
#include "hemlockvane/membership/MembershipState.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace hemlockvane {

namespace {

// A member's record of a key; this entry's own records are included.
struct ReportedRecord {
    std::string_view m_reporter;
    ClaimRecord m_record;
};

using ReportedRecords = std::map<ClaimKey, std::vector<ReportedRecord>>;

auto slotOfDuty(const ClaimState& state, std::string_view duty) -> std::optional<std::size_t>
{
    constexpr std::string_view prefix = "claims/";
    if (!duty.starts_with(prefix))
        return std::nullopt;
    std::size_t slot = 0;
    for (const auto c : duty.substr(prefix.size())) {
        constexpr std::size_t base = 10;
        if (c < '0' || c > '9' || slot >= state.m_slots.size())
            return std::nullopt;
        slot = slot * base + static_cast<std::size_t>(c - '0');
    }
    return slot < state.m_slots.size() ? std::optional(slot) : std::nullopt;
}

// Erases grants that were not sent to their dispatchers; a holder that steps down must not send them.
auto dropGranting(ClaimState& state, ClaimSlot& slot) -> void
{
    for (const auto& key : std::exchange(slot.m_granting, {}))
        eraseClaim(state, slot, key);
}

auto stepDown(ClaimContext& context, ClaimSlot& slot) -> void
{
    dropGranting(context.m_state, slot);
    slot.m_epoch = 0;
    slot.m_active = false;
    slot.m_reports.clear();
    slot.m_underReplicated.clear();
    slot.m_deadlines.clear();
    for (auto& [key, record] : slot.m_records)
        record.m_waiters.clear();
}

auto raiseMinimumEpoch(ClaimContext& context, ClaimSlot& slot, Offset epoch) -> void
{
    slot.m_minimumEpoch = std::max(slot.m_minimumEpoch, epoch);
    if (slot.m_epoch != 0 && slot.m_epoch < slot.m_minimumEpoch)
        stepDown(context, slot);
}

auto makeReport(ClaimSlot& slot, wire::ClaimReport& report) -> void
{
    for (const auto& [key, record] : slot.m_records) {
        if (record.m_status != ClaimStatus::Granting)
            *report.add_entries() = toClaimEntry(key, record);
    }
    report.set_covered_through(slot.m_coveredThrough);
    report.set_horizon_ms(slot.m_coveredHorizon);
}

// Members that joined before this entry took the duty and have not reported.
auto awaitedMembers(const ClaimContext& context, const ClaimSlot& slot) -> std::vector<std::string_view>
{
    std::vector<std::string_view> awaited;
    for (const auto& [instance, entry] : context.m_view.m_membership.m_entries) {
        if (instance == context.m_state.m_self || slot.m_reports.contains(instance))
            continue;
        if (entry.m_joinedAt < slot.m_epoch && entry.m_removedAt == 0)
            awaited.push_back(instance);
    }
    return awaited;
}

auto canActivate(const ClaimContext& context, const ClaimSlot& slot) -> bool
{
    const auto& removed = context.m_state.m_removed;
    const auto allStopped = std::all_of(
        removed.begin(), removed.end(), [&](const auto& item) { return slot.m_reports.contains(item.first); });
    return allStopped && awaitedMembers(context, slot).empty();
}

auto sendReportRequests(ClaimContext& context, std::size_t slotIndex) -> void
{
    auto& slot = context.m_state.m_slots[slotIndex];
    slot.m_retryAt = context.m_time.m_now + context.m_state.m_settings.m_retryInterval;
    for (const auto instance : awaitedMembers(context, slot)) {
        auto& request = *addClaimMessage(context, instance).mutable_claim_report_request();
        fillFence(*request.mutable_fence(), slotIndex, slot.m_epoch);
    }
}

auto startTakeover(ClaimContext& context, std::size_t slotIndex, Offset epoch) -> void
{
    auto& slot = context.m_state.m_slots[slotIndex];
    slot.m_epoch = epoch;
    slot.m_active = false;
    slot.m_nextSerial = 1;
    slot.m_announced = 0;
    slot.m_announceAt = {};
    sendReportRequests(context, slotIndex);
}

auto collectRecords(const ClaimSlot& slot, std::string_view self) -> ReportedRecords
{
    ReportedRecords recordsByKey;
    for (const auto& [key, record] : slot.m_records)
        recordsByKey[key].push_back({ self, record });
    for (const auto& [reporter, report] : slot.m_reports) {
        for (const auto& entry : report.entries())
            recordsByKey[ClaimKey { entry.team(), entry.key() }].push_back({ reporter, fromClaimEntry(entry) });
    }
    return recordsByKey;
}

auto hasReported(const ClaimContext& context, const ClaimSlot& slot, std::string_view instance) -> bool
{
    return instance == context.m_state.m_self || slot.m_reports.contains(instance);
}

// Drops grants that were never used: a dispatcher that reported without the grant has not used it, and since its report
// it refuses the grant's epoch.
auto dropUnusedGrants(const ClaimContext& context, const ClaimSlot& slot, std::vector<ReportedRecord>& reports) -> void
{
    const auto unused = [&](const ReportedRecord& reported) {
        const auto& record = reported.m_record;
        if (record.m_status == ClaimStatus::Done || !hasReported(context, slot, record.m_dispatcher))
            return false;
        return std::none_of(reports.begin(), reports.end(), [&](const ReportedRecord& other) {
            return other.m_reporter == record.m_dispatcher && other.m_record.m_grant == record.m_grant;
        });
    };
    std::vector<ReportedRecord> used;
    std::copy_if(reports.begin(), reports.end(), std::back_inserter(used), std::not_fn(unused));
    reports = std::move(used);
}

auto latestRecord(const std::vector<ReportedRecord>& reports) -> const ReportedRecord&
{
    return *std::max_element(reports.begin(), reports.end(), [](const auto& left, const auto& right) {
        return std::pair(left.m_record.m_grant, left.m_record.m_status)
            < std::pair(right.m_record.m_grant, right.m_record.m_status);
    });
}

auto findMirror(const ClaimContext& context, const std::vector<ReportedRecord>& reports, ClaimRecord& record) -> void
{
    for (const auto& reported : reports) {
        if (reported.m_record.m_grant != record.m_grant || reported.m_reporter == context.m_state.m_self)
            continue;
        record.m_mirror = reported.m_reporter;
        if (isReplicated(context, record))
            return;
    }
}

auto adoptRecord(ClaimContext& context, std::size_t slotIndex, const ClaimKey& key,
    const std::vector<ReportedRecord>& reports) -> void
{
    auto& state = context.m_state;
    auto& slot = state.m_slots[slotIndex];
    auto record = latestRecord(reports).m_record;
    record.m_mirror.clear();
    record.m_deadline = context.m_time.m_now + state.m_settings.m_recoveredDeadline;
    findMirror(context, reports, record);
    if (record.m_status == ClaimStatus::InFlight && !isMember(context.m_view.m_membership, record.m_dispatcher))
        record.m_status = ClaimStatus::Unknown;
    auto* stored = storeClaim(state, slot, key, std::move(record));
    if (stored == nullptr) {
        FailureReason reason;
        const auto parsed = parseRequestKey(key.m_key, reason);
        slot.m_horizon = std::max(slot.m_horizon, parsed ? parsed->m_stampedAt : 0);
        return;
    }
    if (stored->m_status == ClaimStatus::InFlight)
        slot.m_deadlines.emplace(stored->m_deadline + state.m_settings.m_outcomeGrace, key);
    if (!isReplicated(context, *stored))
        slot.m_underReplicated.insert(key);
}

auto recoverHorizon(ClaimContext& context, ClaimSlot& slot) -> void
{
    auto covered = slot.m_coveredThrough;
    slot.m_horizon = slot.m_coveredHorizon;
    for (const auto& [reporter, report] : slot.m_reports) {
        covered = std::max<Offset>(covered, report.covered_through());
        slot.m_horizon = std::max<WallMillis>(slot.m_horizon, report.horizon_ms());
    }
    if (areAllGrantsKnown(context.m_view.m_membership, covered))
        return;
    const auto& settings = context.m_state.m_settings;
    const auto lastStamp = context.m_state.m_wall + (settings.m_callerSkew + settings.m_entrySkew).count();
    slot.m_horizon = std::max(slot.m_horizon, lastStamp);
}

auto activate(ClaimContext& context, std::size_t slotIndex) -> void
{
    auto& slot = context.m_state.m_slots[slotIndex];
    recoverHorizon(context, slot);
    auto recordsByKey = collectRecords(slot, context.m_state.m_self);
    for (auto& [key, reports] : recordsByKey) {
        dropUnusedGrants(context, slot, reports);
        if (reports.empty())
            eraseClaim(context.m_state, slot, key);
        else
            adoptRecord(context, slotIndex, key, reports);
    }
    slot.m_reports.clear();
    slot.m_active = true;
}

// Updates the holder's records after a member was removed: lost mirror copies and lost dispatchers.
auto handleRemovedMember(ClaimContext& context, std::size_t slotIndex, std::string_view instance) -> void
{
    auto& slot = context.m_state.m_slots[slotIndex];
    std::vector<ClaimKey> affected;
    for (const auto& [key, record] : slot.m_records) {
        if (record.m_dispatcher == instance || record.m_mirror == instance)
            affected.push_back(key);
    }
    for (const auto& key : affected) {
        auto& record = slot.m_records.find(key)->second;
        const auto granting = record.m_status == ClaimStatus::Granting;
        if (!granting && !isReplicated(context, record))
            slot.m_underReplicated.insert(key);
        if (record.m_dispatcher == instance)
            resolveLostDispatcher(context, slotIndex, key, record);
    }
}

auto handleRemovals(ClaimContext& context) -> void
{
    auto& state = context.m_state;
    for (const auto& [instance, entry] : context.m_view.m_membership.m_entries) {
        if (entry.m_removedAt == 0 || entry.m_removedAt < state.m_processedEnd)
            continue;
        if (!entry.m_planned)
            state.m_removed[instance] = context.m_time.m_now + state.m_settings.m_removalGrace;
        for (std::size_t slot = 0; slot < state.m_slots.size(); ++slot) {
            if (state.m_slots[slot].m_active)
                handleRemovedMember(context, slot, instance);
        }
    }
    state.m_processedEnd = context.m_view.m_foldedEnd;
}

auto applyDutyChange(ClaimContext& context, std::size_t slotIndex, const DutyRecord& duty) -> void
{
    auto& slot = context.m_state.m_slots[slotIndex];
    const auto isHolder = duty.m_holder == context.m_state.m_self;
    raiseMinimumEpoch(context, slot, duty.m_epoch);
    if (slot.m_epoch == duty.m_epoch && slot.m_epoch != 0 && !isHolder)
        stepDown(context, slot);
    if (isHolder && slot.m_epoch == 0 && duty.m_epoch >= slot.m_minimumEpoch)
        startTakeover(context, slotIndex, duty.m_epoch);
}

auto announceCovered(ClaimContext& context, std::size_t slotIndex) -> void
{
    auto& slot = context.m_state.m_slots[slotIndex];
    const auto through = context.m_state.m_processedEnd == 0 ? 0 : context.m_state.m_processedEnd - 1;
    slot.m_announceAt = context.m_time.m_now + context.m_state.m_settings.m_announceInterval;
    slot.m_coveredThrough = std::max(slot.m_coveredThrough, through);
    slot.m_coveredHorizon = std::max(slot.m_coveredHorizon, slot.m_horizon);
    slot.m_announced = through;
    for (const auto& [instance, entry] : context.m_view.m_membership.m_entries) {
        if (entry.m_removedAt != 0 || instance == context.m_state.m_self)
            continue;
        auto& covered = *addClaimMessage(context, instance).mutable_claim_covered();
        fillFence(*covered.mutable_fence(), slotIndex, slot.m_epoch);
        covered.set_covered_through(through);
        covered.set_horizon_ms(slot.m_horizon);
    }
}

auto tickActive(ClaimContext& context, std::size_t slotIndex) -> void
{
    auto& slot = context.m_state.m_slots[slotIndex];
    if (!slot.m_underReplicated.empty() || slot.m_announceAt > context.m_time.m_now)
        return;
    announceCovered(context, slotIndex);
}

} // namespace

auto areAllGrantsKnown(const MembershipState& membership, Offset coveredThrough) -> bool
{
    std::size_t missing = 0;
    std::string_view zone;
    for (const auto& [instance, entry] : membership.m_entries) {
        if (entry.m_removedAt == 0 || entry.m_removedAt <= coveredThrough)
            continue;
        if (missing > 0 && entry.m_zone != zone)
            return false;
        zone = entry.m_zone;
        ++missing;
    }
    if (missing == 0)
        return true;
    return std::any_of(membership.m_entries.begin(), membership.m_entries.end(), [&](const auto& item) {
        const auto& entry = item.second;
        if (entry.m_removedAt != 0 || entry.m_joinedAt > coveredThrough)
            return false;
        return missing == 1 || entry.m_zone != zone;
    });
}

auto remainingGraceMillis(const ClaimContext& context) -> std::int64_t
{
    std::int64_t longest = 0;
    for (const auto& [instance, graceEnd] : context.m_state.m_removed)
        longest = std::max<std::int64_t>(longest, (graceEnd - context.m_time.m_now).count());
    return longest;
}

auto applyMembershipChanges(ClaimContext& context) -> void
{
    handleRemovals(context);
    for (const auto& [name, duty] : context.m_view.m_membership.m_duties) {
        const auto slot = slotOfDuty(context.m_state, name);
        if (slot)
            applyDutyChange(context, *slot, duty);
    }
}

auto answerReportRequest(ClaimContext& context, std::string_view sender, const wire::ClaimReportRequest& request)
    -> void
{
    const auto slotIndex = slotOfDuty(context.m_state, request.fence().duty());
    if (!slotIndex)
        return;
    auto& slot = context.m_state.m_slots[*slotIndex];
    if (request.fence().epoch() < slot.m_minimumEpoch)
        return;
    raiseMinimumEpoch(context, slot, request.fence().epoch());
    auto& report = *addClaimMessage(context, sender).mutable_claim_report();
    *report.mutable_fence() = request.fence();
    makeReport(slot, report);
}

auto handleClaimReport(ClaimContext& context, std::string_view sender, const wire::ClaimReport& report) -> void
{
    const auto slotIndex = slotOfDuty(context.m_state, report.fence().duty());
    if (!slotIndex)
        return;
    auto& slot = context.m_state.m_slots[*slotIndex];
    if (slot.m_active || slot.m_epoch == 0 || report.fence().epoch() != slot.m_epoch)
        return;
    slot.m_reports.emplace(sender, report);
}

auto handleClaimCovered(ClaimContext& context, const wire::ClaimCovered& covered) -> void
{
    const auto slotIndex = slotOfDuty(context.m_state, covered.fence().duty());
    if (!slotIndex)
        return;
    auto& slot = context.m_state.m_slots[*slotIndex];
    if (covered.fence().epoch() < slot.m_minimumEpoch)
        return;
    slot.m_coveredThrough = std::max<Offset>(slot.m_coveredThrough, covered.covered_through());
    slot.m_coveredHorizon = std::max<WallMillis>(slot.m_coveredHorizon, covered.horizon_ms());
}

auto tickRecovery(ClaimContext& context, std::size_t slotIndex) -> void
{
    auto& slot = context.m_state.m_slots[slotIndex];
    if (slot.m_epoch == 0)
        return;
    if (slot.m_active) {
        tickActive(context, slotIndex);
        return;
    }
    if (canActivate(context, slot))
        activate(context, slotIndex);
    else if (slot.m_retryAt <= context.m_time.m_now)
        sendReportRequests(context, slotIndex);
}

} // namespace hemlockvane
