#include "core/log/RandomRecords.h"

#include "hemlockvane/log.h"

#include "hemlockvane/records.pb.h"

#include <array>

namespace hemlockvane {

namespace {

constexpr std::uint32_t operatorKinds = 5;
constexpr std::uint32_t membershipKinds = 4;
constexpr std::uint32_t jobKinds = 4;
constexpr std::uint32_t poolKinds = 4;
constexpr std::uint32_t waveKinds = 5;
constexpr std::uint32_t allKinds = operatorKinds + membershipKinds + jobKinds + poolKinds + waveKinds;

} // namespace

auto RandomRecords::name(const std::string& prefix, std::uint32_t count) -> std::string
{
    return prefix + std::to_string(pick(count));
}

auto RandomRecords::epochOf(const std::string& duty) const -> std::uint64_t
{
    const auto found = m_state->m_membership.m_duties.find(duty);
    return found == m_state->m_membership.m_duties.end() ? 0 : found->second.m_epoch;
}

auto RandomRecords::attemptOf(const std::string& job) const -> std::uint32_t
{
    const auto found = m_state->m_jobs.m_jobs.find(job);
    return found == m_state->m_jobs.m_jobs.end() ? 0 : found->second.m_attempt;
}

auto RandomRecords::waveOf(const std::string& instance) -> std::string
{
    const auto found = m_state->m_pools.m_instances.find(instance);
    if (found == m_state->m_pools.m_instances.end() || pick(4) == 0)
        return name("v", 5);
    return found->second.m_drainingFor;
}

auto RandomRecords::fillOperator(wire::Operation& operation, std::uint32_t kind) -> void
{
    const auto* setting = pick(2) == 0 ? "team.limit" : "pool.budget";
    if (kind == 0) {
        auto& change = *operation.mutable_set_default();
        change.set_setting(setting);
        change.set_value(pick(4) == 0 ? "" : std::to_string(pick(20)));
        change.set_author(name("operator", 3));
        change.set_expected_version(m_count);
    } else if (kind == 1) {
        auto& change = *operation.mutable_set_exception();
        change.set_setting(setting);
        change.set_scope(name("p", 3));
        change.set_value(std::to_string(pick(20)));
        change.set_reason("because " + name("r", 9));
        change.set_author(name("operator", 3));
        change.set_expires_at_ms(pick(2) == 0 ? 0 : m_clock + pick(100000));
        change.set_expected_version(pick(3) == 0 ? 0 : m_count);
    } else if (kind == 2) {
        auto& change = *operation.mutable_remove_exception();
        change.set_setting(setting);
        change.set_scope(name("p", 3));
        change.set_author(name("operator", 3));
        change.set_expected_version(m_count);
    } else if (kind == 3) {
        auto& change = *operation.mutable_grant_key();
        change.set_key_id(name("k", 30));
        change.set_key_hash(std::string(32, static_cast<char>(pick(200))));
        change.set_team(name("t", 4));
        change.set_author(name("operator", 3));
    } else {
        auto& change = *operation.mutable_withdraw_key();
        change.set_key_id(name("k", 30));
        change.set_author(name("operator", 3));
        change.set_reason("leaked");
    }
}

auto RandomRecords::fillMembership(wire::Operation& operation, std::uint32_t kind) -> void
{
    static const std::array<std::string, 3> duties { "placement", "maintenance", "claims/1" };
    if (kind == 0) {
        auto& change = *operation.mutable_join_entry();
        change.set_instance(name("e", 40));
        change.set_zone(name("z", 3));
        change.set_address("tcp://127.0.0.1:1");
        change.set_traffic_address("127.0.0.1:2");
    } else if (kind == 1) {
        auto& change = *operation.mutable_remove_entry();
        change.set_instance(name("e", 40));
        change.set_planned(pick(2) == 0);
    } else if (kind == 2) {
        auto& change = *operation.mutable_take_duty();
        change.set_duty(duties[pick(3)]);
        change.set_instance(name("e", 40));
        change.set_replaces_epoch(epochOf(change.duty()));
    } else {
        auto& change = *operation.mutable_release_duty();
        change.mutable_fence()->set_duty(duties[pick(3)]);
        change.mutable_fence()->set_epoch(epochOf(change.fence().duty()));
    }
}

auto RandomRecords::fillJob(wire::Operation& operation, std::uint32_t kind) -> void
{
    if (kind == 0) {
        auto& change = *operation.mutable_submit_job();
        change.set_job(name("j", 40));
        change.set_team(name("t", 4));
        change.set_queue("q");
        change.mutable_size()->set_cores(1 + pick(8));
        change.mutable_size()->set_run_seconds(pick(100));
        change.set_repeatable(pick(2) == 0);
        change.set_max_attempts(pick(4));
    } else if (kind == 1) {
        auto& change = *operation.mutable_cancel_jobs();
        change.add_jobs(name("j", 40));
        change.add_jobs(name("j", 40));
        change.set_team(name("t", 4));
    } else if (kind == 2) {
        auto& change = *operation.mutable_place_job();
        change.mutable_fence()->set_duty("placement");
        change.mutable_fence()->set_epoch(epochOf("placement"));
        change.set_job(name("j", 40));
        change.set_worker(name("w", 12));
        change.set_attempt(attemptOf(change.job()) + 1);
    } else {
        auto& change = *operation.mutable_end_attempt();
        change.mutable_fence()->set_duty("placement");
        change.mutable_fence()->set_epoch(epochOf("placement"));
        change.set_job(name("j", 40));
        change.set_attempt(attemptOf(change.job()));
        change.set_outcome(static_cast<wire::JobOutcome>(1 + pick(6)));
        change.set_reason("exit 1");
        change.set_parked(pick(4) == 0);
    }
}

auto RandomRecords::fillPool(wire::Operation& operation, std::uint32_t kind) -> void
{
    if (kind == 0) {
        auto& change = *operation.mutable_add_instance();
        change.set_instance(name("w", 12));
        change.set_pool(name("p", 3));
        change.set_zone(name("z", 3));
        change.set_rack(name("r", 4));
        change.mutable_capacity()->set_cores(32);
    } else if (kind == 1) {
        operation.mutable_remove_instance()->set_instance(name("w", 12));
    } else if (kind == 2) {
        auto& change = *operation.mutable_move_instance();
        change.set_instance(name("w", 12));
        change.set_from_pool(name("p", 3));
        change.set_to_pool(name("p", 3));
    } else {
        auto& change = *operation.mutable_mark_instance();
        change.set_instance(name("w", 12));
        change.set_available(pick(2) == 0);
    }
}

auto RandomRecords::fillWave(wire::Operation& operation, std::uint32_t kind) -> void
{
    if (kind == 0) {
        auto& change = *operation.mutable_start_wave();
        change.set_wave(name("v", 5));
        change.add_pools(name("p", 3));
        change.set_finish_by_ms(m_clock + pick(1000));
        change.set_reason("kernel");
        change.set_author(name("operator", 3));
    } else if (kind == 1) {
        auto& change = *operation.mutable_pause_wave();
        change.set_wave(name("v", 5));
        change.set_paused(pick(3) == 0);
        change.set_reason("harm");
    } else if (kind == 2) {
        auto& change = *operation.mutable_begin_drain();
        change.mutable_fence()->set_duty("maintenance");
        change.mutable_fence()->set_epoch(epochOf("maintenance"));
        change.set_wave(name("v", 5));
        change.set_instance(name("w", 12));
    } else if (kind == 3) {
        auto& change = *operation.mutable_end_drain();
        change.mutable_fence()->set_duty("maintenance");
        change.mutable_fence()->set_epoch(epochOf("maintenance"));
        change.set_instance(name("w", 12));
        change.set_wave(waveOf(change.instance()));
        change.set_healthy(pick(2) == 0);
    } else {
        auto& change = *operation.mutable_snapshot_chunk();
        change.set_snapshot(name("s", 3));
        change.set_through(m_state->m_nextOffset);
        change.set_index(pick(3) == 0 ? 1 : 0);
        change.set_count(1 + pick(2));
    }
}

auto RandomRecords::next(const FleetState& state) -> std::string
{
    m_state = &state;
    wire::Group group;
    m_clock += pick(2000000);
    group.set_format(recordFormat);
    group.set_author(name("e", 40));
    group.set_stamped_at_ms(m_clock - pick(5000));
    const auto count = 1 + pick(4);
    for (std::uint32_t i = 0; i < count; ++i) {
        auto& operation = *group.add_operations();
        operation.set_id("op" + std::to_string(pick(8) == 0 && m_count > 0 ? pick(m_count) : m_count));
        auto kind = pick(allKinds);
        if (kind < operatorKinds)
            fillOperator(operation, kind);
        else if ((kind -= operatorKinds) < membershipKinds)
            fillMembership(operation, kind);
        else if ((kind -= membershipKinds) < jobKinds)
            fillJob(operation, kind);
        else if ((kind -= jobKinds) < poolKinds)
            fillPool(operation, kind);
        else
            fillWave(operation, kind - poolKinds);
        ++m_count;
    }
    return group.SerializeAsString();
}

} // namespace hemlockvane
