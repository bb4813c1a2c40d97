#include "ClaimFleet.h"

#include <cstdio>

namespace hemlockvane {

namespace {

constexpr Duration requestTimeout = std::chrono::seconds(2);
constexpr WallMillis initialWallTime = 1'700'000'000'000;

auto entryName(std::size_t entry) -> std::string { return "e" + std::to_string(entry); }

auto entryIndex(std::string_view name) -> std::size_t { return std::stoul(std::string(name.substr(1))); }

auto viewOf(const ClaimFleet& fleet) -> ClaimView { return ClaimView { fleet.m_membership, fleet.m_foldedEnd, true }; }

auto applyActions(ClaimFleet& fleet, std::size_t entry, std::vector<ClaimAction> actions) -> void
{
    for (auto& action : actions) {
        if (auto* message = std::get_if<SendToPeer>(&action)) {
            ++fleet.m_messagesSent;
            fleet.m_bytesSent += message->m_envelope.ByteSizeLong();
            fleet.m_messages.push_back(std::move(*message));
        } else if (const auto* dispatch = std::get_if<DispatchClaimed>(&action)) {
            fleet.m_dispatched.emplace_back(entry, dispatch->m_ticket);
        } else {
            fleet.m_replies.push_back(std::get<ClaimReply>(action));
        }
    }
}

auto notifyMembershipFolded(ClaimFleet& fleet) -> void
{
    for (std::size_t i = 0; i < fleet.m_entries.size(); ++i) {
        if (fleet.m_alive[i])
            applyActions(fleet, i, onMembershipFolded(fleet.m_entries[i], viewOf(fleet), fleet.m_time));
    }
    deliverMessages(fleet);
}

auto nextAlive(const ClaimFleet& fleet, std::size_t from) -> std::size_t
{
    auto entry = from % fleet.m_alive.size();
    while (!fleet.m_alive[entry])
        entry = (entry + 1) % fleet.m_alive.size();
    return entry;
}

} // namespace

auto makeClaimFleet(std::size_t entries, std::size_t zones, const ClaimSettings& settings) -> ClaimFleet
{
    ClaimFleet fleet;
    fleet.m_time.m_wall = initialWallTime;
    fleet.m_alive.assign(entries, true);
    for (std::size_t i = 0; i < entries; ++i) {
        fleet.m_entries.push_back(makeClaimState(entryName(i), settings));
        auto& record = fleet.m_membership.m_entries[entryName(i)];
        record.m_zone = "z" + std::to_string(i % zones);
        record.m_joinedAt = fleet.m_foldedEnd++;
    }
    for (std::size_t slot = 0; slot < settings.m_slots; ++slot)
        fleet.m_membership.m_duties[claimDuty(slot)] = DutyRecord { entryName(slot % entries), fleet.m_foldedEnd++ };
    notifyMembershipFolded(fleet);
    advanceFleetTime(fleet, settings.m_announceInterval);
    return fleet;
}

auto requestClaim(ClaimFleet& fleet, std::size_t entry, const std::string& key) -> std::uint64_t
{
    ClaimTicket ticket;
    ticket.m_ticket = fleet.m_nextTicket++;
    ticket.m_key = { "team", key };
    ticket.m_bodyHash = 1;
    ticket.m_deadline = fleet.m_time.m_now + requestTimeout;
    applyActions(fleet, entry, onClaimRequested(fleet.m_entries[entry], viewOf(fleet), ticket, fleet.m_time));
    return ticket.m_ticket;
}

auto completeRequest(ClaimFleet& fleet, std::size_t entry, std::uint64_t ticket, std::string_view answer) -> void
{
    applyActions(fleet, entry,
        onClaimOutcome(fleet.m_entries[entry], viewOf(fleet), ticket, ClaimResult::Answered, answer, fleet.m_time));
}

auto deliverMessages(ClaimFleet& fleet) -> void
{
    while (!fleet.m_messages.empty()) {
        const auto message = std::move(fleet.m_messages.front());
        fleet.m_messages.pop_front();
        const auto entry = entryIndex(message.m_peer);
        if (fleet.m_alive[entry])
            applyActions(
                fleet, entry, onClaimMessage(fleet.m_entries[entry], viewOf(fleet), message.m_envelope, fleet.m_time));
    }
}

auto advanceFleetTime(ClaimFleet& fleet, Duration time) -> void
{
    fleet.m_time.m_now += time;
    fleet.m_time.m_wall += time.count();
    for (std::size_t i = 0; i < fleet.m_entries.size(); ++i) {
        if (fleet.m_alive[i])
            applyActions(fleet, i, onClaimTick(fleet.m_entries[i], viewOf(fleet), fleet.m_time));
    }
    deliverMessages(fleet);
}

auto crashEntries(ClaimFleet& fleet, const std::vector<std::size_t>& crashed) -> void
{
    for (const auto entry : crashed)
        fleet.m_alive[entry] = false;
    for (const auto entry : crashed)
        fleet.m_membership.m_entries[entryName(entry)].m_removedAt = fleet.m_foldedEnd++;
    std::size_t successor = 0;
    for (auto& [name, duty] : fleet.m_membership.m_duties) {
        if (fleet.m_alive[entryIndex(duty.m_holder)])
            continue;
        successor = nextAlive(fleet, successor + 1);
        duty = DutyRecord { entryName(successor), fleet.m_foldedEnd++ };
    }
    notifyMembershipFolded(fleet);
    const auto settings = fleet.m_entries[nextAlive(fleet, 0)].m_settings;
    advanceFleetTime(fleet, settings.m_removalGrace);
    advanceFleetTime(fleet, settings.m_announceInterval);
}

auto makeKeyText(WallMillis createdAt, std::uint32_t serial) -> std::string
{
    constexpr WallMillis lowMask = 0xffff;
    constexpr int lowWidth = 16;
    constexpr std::size_t keyLength = 36;
    char text[keyLength + 1];
    std::snprintf(text, sizeof text, "%08llx-%04llx-7000-8000-%012x",
        static_cast<unsigned long long>(createdAt >> lowWidth), static_cast<unsigned long long>(createdAt & lowMask),
        serial);
    return text;
}

} // namespace hemlockvane
