#include "hemlockvane/detail/intake/RecentSubmissions.h"

#include <iterator>

namespace hemlockvane::detail {

namespace {

auto use(RecentSubmissions& recent, std::list<RecentSubmission>::iterator entry, Instant now) -> void
{
    entry->m_usedAt = now;
    recent.m_byUse.splice(recent.m_byUse.end(), recent.m_byUse, entry);
}

auto dropOldest(RecentSubmissions& recent) -> void
{
    recent.m_byId.erase(recent.m_byUse.front().m_id);
    recent.m_byUse.pop_front();
}

auto dropExpired(RecentSubmissions& recent, Instant now) -> void
{
    while (!recent.m_byUse.empty() && recent.m_byUse.front().m_usedAt + submissionMemoryTime < now) {
        // Its outcome is still to come, and callers may repeat it after that.
        if (recent.m_byUse.front().m_openRequests > 0)
            use(recent, recent.m_byUse.begin(), now);
        else
            dropOldest(recent);
    }
}

auto findOrAdd(RecentSubmissions& recent, scheduling::JobId id, Instant now) -> RecentSubmission&
{
    const auto found = recent.m_byId.find(id);
    if (found != recent.m_byId.end()) {
        use(recent, found->second, now);
        return *found->second;
    }
    if (recent.m_byUse.size() >= maximumRecentSubmissions)
        dropOldest(recent);
    recent.m_byUse.push_back({ .m_id = id, .m_usedAt = now });
    recent.m_byId.emplace(id, std::prev(recent.m_byUse.end()));
    return recent.m_byUse.back();
}

} // namespace

auto earlierOutcome(RecentSubmissions& recent, scheduling::JobId id, Instant now) -> IntakeOutcome
{
    dropExpired(recent, now);
    const auto found = recent.m_byId.find(id);
    if (found == recent.m_byId.end())
        return IntakeOutcome::Refused;
    use(recent, found->second, now);
    return found->second->m_isStored ? IntakeOutcome::Stored : IntakeOutcome::Unknown;
}

auto beginSubmission(RecentSubmissions& recent, scheduling::JobId id, Instant now) -> void
{
    dropExpired(recent, now);
    ++findOrAdd(recent, id, now).m_openRequests;
}

auto endSubmission(RecentSubmissions& recent, scheduling::JobId id, IntakeOutcome outcome, Instant now) -> IntakeOutcome
{
    dropExpired(recent, now);
    const auto isDropped = !recent.m_byId.contains(id);
    if (isDropped && outcome == IntakeOutcome::Refused)
        return IntakeOutcome::Unknown;
    auto& entry = findOrAdd(recent, id, now);
    entry.m_openRequests -= entry.m_openRequests > 0 ? 1 : 0;
    entry.m_isStored = entry.m_isStored || outcome == IntakeOutcome::Stored;
    entry.m_mayBeStored = entry.m_mayBeStored || outcome == IntakeOutcome::Unknown;
    if (entry.m_isStored)
        return IntakeOutcome::Stored;
    if (entry.m_mayBeStored || entry.m_openRequests > 0)
        return IntakeOutcome::Unknown;
    recent.m_byUse.pop_back(); // The entry that was just used.
    recent.m_byId.erase(id);
    return outcome == IntakeOutcome::TooLarge ? IntakeOutcome::TooLarge : IntakeOutcome::Refused;
}

} // namespace hemlockvane::detail
