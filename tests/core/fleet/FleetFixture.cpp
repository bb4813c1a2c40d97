#include "core/fleet/FleetFixture.h"

#include "hemlockvane/jobs.h"
#include "hemlockvane/maintenance.h"

namespace hemlockvane {

namespace {

auto fence(std::string_view duty, Offset epoch) -> wire::Fence
{
    wire::Fence fence;
    fence.set_duty(std::string(duty));
    fence.set_epoch(epoch);
    return fence;
}

} // namespace

FleetFixture::FleetFixture()
{
    m_state.m_nextOffset = 1;
    wire::Operation join;
    join.mutable_join_entry()->set_instance("entry-1");
    join.mutable_join_entry()->set_zone("a");
    join.mutable_join_entry()->set_address("tcp://127.0.0.1:7001");
    fold(join);
    m_placementEpoch = grantDuty(std::string(placementDuty));
    m_maintenanceEpoch = grantDuty(std::string(maintenanceDuty));
}

auto FleetFixture::grantDuty(const std::string& duty) -> Offset
{
    wire::Operation take;
    take.mutable_take_duty()->set_duty(duty);
    take.mutable_take_duty()->set_instance("entry-1");
    return fold(take).m_offset;
}

auto FleetFixture::fold(wire::Operation operation) -> OperationResult
{
    operation.set_id("op-" + std::to_string(m_nextId++));
    wire::Group group;
    group.set_format(recordFormat);
    group.set_author("entry-1");
    group.set_stamped_at_ms(m_now);
    *group.add_operations() = std::move(operation);
    return foldGroup(m_state, group).front();
}

auto FleetFixture::addInstance(const std::string& id, const std::string& pool, const std::string& zone,
    const std::string& rack, std::uint32_t cores, std::uint32_t memoryMb) -> OperationResult
{
    wire::Operation operation;
    auto& add = *operation.mutable_add_instance();
    add.set_instance(id);
    add.set_pool(pool);
    add.set_zone(zone);
    add.set_rack(rack);
    add.mutable_capacity()->set_cores(cores);
    add.mutable_capacity()->set_memory_mb(memoryMb);
    return fold(operation);
}

auto FleetFixture::setException(const std::string& setting, const std::string& scope, std::int64_t value)
    -> OperationResult
{
    wire::Operation operation;
    auto& set = *operation.mutable_set_exception();
    set.set_setting(setting);
    set.set_scope(scope);
    set.set_value(std::to_string(value));
    set.set_reason("test");
    set.set_author("operator");
    set.set_expected_version(m_state.m_configuration.m_version);
    return fold(operation);
}

auto FleetFixture::setDefault(const std::string& setting, std::int64_t value) -> OperationResult
{
    wire::Operation operation;
    operation.mutable_set_default()->set_setting(setting);
    operation.mutable_set_default()->set_value(std::to_string(value));
    operation.mutable_set_default()->set_author("operator");
    operation.mutable_set_default()->set_expected_version(m_state.m_configuration.m_version);
    return fold(operation);
}

auto FleetFixture::submit(const std::string& job, const std::string& team, std::uint32_t cores, bool repeatable,
    bool urgent) -> OperationResult
{
    constexpr std::uint32_t memoryPerCoreMb = 4096;
    wire::Operation operation;
    auto& submit = *operation.mutable_submit_job();
    submit.set_job(job);
    submit.set_team(team);
    submit.set_queue("batch");
    submit.mutable_size()->set_cores(cores);
    submit.mutable_size()->set_memory_mb(cores * memoryPerCoreMb);
    submit.set_urgent(urgent);
    submit.set_repeatable(repeatable);
    submit.set_max_attempts(3);
    return fold(operation);
}

auto FleetFixture::place(const std::string& job, const std::string& worker) -> OperationResult
{
    wire::Operation operation;
    auto& place = *operation.mutable_place_job();
    *place.mutable_fence() = fence(placementDuty, m_placementEpoch);
    place.set_job(job);
    place.set_worker(worker);
    place.set_attempt(this->job(job).m_attempt + 1);
    return fold(operation);
}

auto FleetFixture::end(const std::string& job, wire::JobOutcome outcome, bool parked) -> OperationResult
{
    wire::Operation operation;
    auto& end = *operation.mutable_end_attempt();
    *end.mutable_fence() = fence(placementDuty, m_placementEpoch);
    end.set_job(job);
    end.set_attempt(this->job(job).m_attempt);
    end.set_outcome(outcome);
    end.set_parked(parked);
    return fold(operation);
}

auto FleetFixture::startWave(const std::string& wave, WallMillis finishBy) -> OperationResult
{
    wire::Operation operation;
    operation.mutable_start_wave()->set_wave(wave);
    operation.mutable_start_wave()->set_finish_by_ms(finishBy);
    operation.mutable_start_wave()->set_reason("test");
    return fold(operation);
}

auto FleetFixture::beginDrain(const std::string& wave, const std::string& instance) -> OperationResult
{
    wire::Operation operation;
    *operation.mutable_begin_drain()->mutable_fence() = fence(maintenanceDuty, m_maintenanceEpoch);
    operation.mutable_begin_drain()->set_wave(wave);
    operation.mutable_begin_drain()->set_instance(instance);
    return fold(operation);
}

auto FleetFixture::endDrain(const std::string& wave, const std::string& instance, bool healthy) -> OperationResult
{
    wire::Operation operation;
    *operation.mutable_end_drain()->mutable_fence() = fence(maintenanceDuty, m_maintenanceEpoch);
    operation.mutable_end_drain()->set_wave(wave);
    operation.mutable_end_drain()->set_instance(instance);
    operation.mutable_end_drain()->set_healthy(healthy);
    return fold(operation);
}

auto FleetFixture::mark(const std::string& instance, bool available) -> OperationResult
{
    wire::Operation operation;
    operation.mutable_mark_instance()->set_instance(instance);
    operation.mutable_mark_instance()->set_available(available);
    return fold(operation);
}

auto FleetFixture::move(const std::string& instance, const std::string& to) -> OperationResult
{
    wire::Operation operation;
    operation.mutable_move_instance()->set_instance(instance);
    operation.mutable_move_instance()->set_from_pool(this->instance(instance).m_pool);
    operation.mutable_move_instance()->set_to_pool(to);
    return fold(operation);
}

auto FleetFixture::job(const std::string& id) const -> const JobRecord& { return m_state.m_jobs.m_jobs.at(id); }

auto FleetFixture::instance(const std::string& id) const -> const InstanceRecord&
{
    return m_state.m_pools.m_instances.at(id);
}

} // namespace hemlockvane
