#include "core/claims/ClaimWorld.h"

#include <algorithm>
#include <cstdio>
#include <numeric>
#include <sstream>

namespace hemlockvane {

namespace {

constexpr Duration requestTime = std::chrono::hours(1);

auto viewOf(const ClaimWorldNode& node) -> ClaimView
{
    return ClaimView { node.m_membership, node.m_foldedEnd, node.m_vouched };
}

auto execute(ClaimWorld& world, std::size_t node, const std::vector<ClaimAction>& actions) -> void
{
    for (const auto& action : actions) {
        if (const auto* message = std::get_if<SendToPeer>(&action))
            world.m_messages.push_back(*message);
        else if (const auto* dispatch = std::get_if<DispatchClaimed>(&action)) {
            world.m_running.emplace_back(node, dispatch->m_ticket);
            ++world.m_executed;
        } else {
            const auto& reply = std::get<ClaimReply>(action);
            world.m_replies.push_back(reply);
            world.m_falseNotRun = world.m_falseNotRun || (reply.m_notRun && world.m_executed > 0);
        }
    }
}

auto nodeOf(const ClaimWorld& world, std::string_view name) -> std::size_t
{
    std::size_t node = 0;
    while (node < world.m_nodes.size() && nodeName(node) != name)
        ++node;
    return node;
}

auto applyRecord(MembershipState& membership, const ClaimWorldRecord& record, Offset offset) -> void
{
    switch (record.m_kind) {
    case ClaimWorldRecord::Kind::Join:
        membership.m_entries[record.m_instance].m_zone = record.m_zone;
        membership.m_entries[record.m_instance].m_joinedAt = offset;
        break;
    case ClaimWorldRecord::Kind::Remove:
        membership.m_entries[record.m_instance].m_removedAt = offset;
        break;
    case ClaimWorldRecord::Kind::Take:
        membership.m_duties[claimDuty(0)] = DutyRecord { record.m_instance, offset };
        break;
    }
}

auto describe(std::ostream& out, const ClaimState& state) -> void
{
    const auto& slot = state.m_slots.front();
    out << slot.m_minimumEpoch << ' ' << slot.m_epoch << slot.m_active << ' ' << slot.m_horizon << ' '
        << slot.m_coveredThrough << ' ' << state.m_removed.size() << " r";
    for (const auto& [key, record] : slot.m_records) {
        out << key.m_key << static_cast<int>(record.m_status) << ',' << record.m_grant.m_epoch << ','
            << record.m_grant.m_serial << ',' << record.m_dispatcher << record.m_ticket << record.m_mirror << 'w'
            << record.m_mirrorAttempts;
        for (const auto& waiter : record.m_waiters)
            out << waiter.m_instance << waiter.m_ticket;
    }
    out << 'p';
    for (const auto& [reporter, report] : slot.m_reports)
        out << reporter << report.SerializeAsString();
    out << 't';
    for (const auto& [ticket, unused] : state.m_tickets)
        out << ticket << ',';
    for (const auto& [ticket, outcome] : state.m_unconfirmedOutcomes)
        out << ticket << '=' << static_cast<int>(outcome.m_result) << ',';
}

} // namespace

auto makeClaimWorld(const std::vector<std::string>& zones) -> ClaimWorld
{
    ClaimWorld world;
    ClaimSettings settings;
    settings.m_slots = 1;
    world.m_key = makeRequestKey(world.m_time.m_wall, 1);
    for (std::size_t i = 0; i < zones.size(); ++i)
        append(world, { ClaimWorldRecord::Kind::Join, nodeName(i), zones[i] });
    append(world, { ClaimWorldRecord::Kind::Take, nodeName(0), "" });
    for (std::size_t i = 0; i < zones.size(); ++i) {
        world.m_nodes.emplace_back();
        world.m_nodes.back().m_state = makeClaimState(nodeName(i), settings);
    }
    for (std::size_t i = 0; i < zones.size(); ++i)
        foldLog(world, i);
    deliverAll(world);
    passTime(world, settings.m_announceInterval);
    deliverAll(world);
    return world;
}

auto makeRequestKey(WallMillis stampedAt, unsigned serial) -> std::string
{
    constexpr WallMillis lowBits = 0xffff;
    constexpr int lowWidth = 16;
    char text[37];
    std::snprintf(text, sizeof text, "%08llx-%04llx-7000-8000-%012x",
        static_cast<unsigned long long>(stampedAt >> lowWidth), static_cast<unsigned long long>(stampedAt & lowBits),
        serial);
    return text;
}

auto nodeName(std::size_t node) -> std::string { return "e" + std::to_string(node); }

auto append(ClaimWorld& world, ClaimWorldRecord record) -> void { world.m_log.push_back(std::move(record)); }

auto foldLog(ClaimWorld& world, std::size_t node) -> void
{
    auto& entry = world.m_nodes[node];
    for (; entry.m_foldedEnd < world.m_log.size(); ++entry.m_foldedEnd)
        applyRecord(entry.m_membership, world.m_log[entry.m_foldedEnd], entry.m_foldedEnd);
    execute(world, node, onMembershipFolded(entry.m_state, viewOf(entry), world.m_time));
}

auto request(ClaimWorld& world, std::size_t node, std::uint64_t bodyHash) -> std::uint64_t
{
    ClaimTicket ticket;
    ticket.m_ticket = world.m_nextTicket++;
    ticket.m_key = { "team", world.m_key };
    ticket.m_bodyHash = bodyHash;
    ticket.m_deadline = world.m_time.m_now + requestTime;
    auto& entry = world.m_nodes[node];
    execute(world, node, onClaimRequested(entry.m_state, viewOf(entry), ticket, world.m_time));
    return ticket.m_ticket;
}

auto deliver(ClaimWorld& world, std::size_t index) -> void
{
    const auto message = world.m_messages[index];
    world.m_messages.erase(world.m_messages.begin() + static_cast<std::ptrdiff_t>(index));
    const auto node = nodeOf(world, message.m_peer);
    auto& receiver = world.m_nodes[node];
    if (!receiver.m_crashed)
        execute(world, node, onClaimMessage(receiver.m_state, viewOf(receiver), message.m_envelope, world.m_time));
}

auto deliverAll(ClaimWorld& world) -> void
{
    while (!world.m_messages.empty())
        deliver(world, 0);
}

auto finish(ClaimWorld& world, std::size_t index, ClaimResult result, std::string_view answer) -> void
{
    const auto [node, ticket] = world.m_running[index];
    world.m_running.erase(world.m_running.begin() + static_cast<std::ptrdiff_t>(index));
    if (result == ClaimResult::NotRun)
        --world.m_executed;
    auto& entry = world.m_nodes[node];
    execute(world, node, onClaimOutcome(entry.m_state, viewOf(entry), ticket, result, answer, world.m_time));
}

auto passTime(ClaimWorld& world, Duration time) -> void
{
    world.m_time.m_now += time;
    world.m_time.m_wall += time.count();
    for (std::size_t i = 0; i < world.m_nodes.size(); ++i) {
        auto& node = world.m_nodes[i];
        if (!node.m_crashed)
            execute(world, i, onClaimTick(node.m_state, viewOf(node), world.m_time));
    }
}

auto takeOver(ClaimWorld& world, std::size_t crashed, std::size_t successor) -> void
{
    world.m_nodes[crashed].m_crashed = true;
    append(world, { ClaimWorldRecord::Kind::Remove, nodeName(crashed), "" });
    append(world, { ClaimWorldRecord::Kind::Take, nodeName(successor), "" });
    for (std::size_t i = 0; i < world.m_nodes.size(); ++i) {
        if (!world.m_nodes[i].m_crashed)
            foldLog(world, i);
    }
    deliverAll(world);
    passTime(world, world.m_nodes[successor].m_state.m_settings.m_removalGrace);
    deliverAll(world);
    passTime(world, world.m_nodes[successor].m_state.m_settings.m_announceInterval);
    deliverAll(world);
}

auto replyTo(const ClaimWorld& world, std::uint64_t ticket) -> const ClaimReply*
{
    const auto found = std::find_if(world.m_replies.begin(), world.m_replies.end(),
        [ticket](const auto& reply) { return reply.m_ticket == ticket; });
    return found == world.m_replies.end() ? nullptr : &*found;
}

auto fingerprint(const ClaimWorld& world) -> std::string
{
    std::ostringstream out;
    out << world.m_time.m_wall << ' ' << world.m_log.size() << ' ' << world.m_executed << ' ' << world.m_nextTicket;
    for (const auto& node : world.m_nodes) {
        out << '|' << node.m_foldedEnd << node.m_crashed << node.m_vouched;
        describe(out, node.m_state);
    }
    for (const auto& [node, ticket] : world.m_running)
        out << 'x' << node << ticket;
    std::vector<std::string> messages;
    for (const auto& message : world.m_messages)
        messages.push_back(message.m_peer + message.m_envelope.SerializeAsString());
    std::sort(messages.begin(), messages.end());
    return std::accumulate(messages.begin(), messages.end(), out.str());
}

} // namespace hemlockvane
