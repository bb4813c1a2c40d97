#include "SimulatedFleet.h"

#include "hemlockvane/jobs.h"
#include "hemlockvane/maintenance.h"

namespace hemlockvane::bench {

namespace {

auto padded(std::uint32_t number) -> std::string
{
    constexpr std::size_t digits = 5;
    const auto text = std::to_string(number);
    return std::string(digits - std::min(digits, text.size()), '0') + text;
}

auto assignDuty(SimulatedFleet& fleet, std::string_view duty) -> Offset
{
    wire::Operation take;
    take.mutable_take_duty()->set_duty(std::string(duty));
    take.mutable_take_duty()->set_instance("entry");
    return fleet.fold(take).m_offset;
}

auto addWorker(SimulatedFleet& fleet, const FleetShape& shape, std::uint32_t index) -> void
{
    const auto rack = index / shape.m_rackSize;
    wire::Operation operation;
    auto& add = *operation.mutable_add_instance();
    add.set_instance("w" + padded(index));
    add.set_pool(poolName(index % shape.m_pools));
    add.set_rack("r" + padded(rack));
    add.set_zone("z" + std::to_string(rack % shape.m_zones));
    add.mutable_capacity()->set_cores(shape.m_cores);
    add.mutable_capacity()->set_memory_mb(shape.m_memoryMb);
    fleet.fold(operation);
}

} // namespace

auto poolName(std::uint32_t index) -> std::string { return index == 0 ? "spare" : "pool" + padded(index); }

auto makeFence(std::string_view duty, Offset epoch) -> wire::Fence
{
    wire::Fence fence;
    fence.set_duty(std::string(duty));
    fence.set_epoch(epoch);
    return fence;
}

SimulatedFleet::SimulatedFleet(const FleetShape& shape)
{
    wire::Operation join;
    join.mutable_join_entry()->set_instance("entry");
    join.mutable_join_entry()->set_zone("z0");
    join.mutable_join_entry()->set_address("tcp://127.0.0.1:7001");
    fold(join);
    m_placementEpoch = assignDuty(*this, placementDuty);
    m_maintenanceEpoch = assignDuty(*this, maintenanceDuty);
    for (std::uint32_t i = 0; i < shape.m_workers; ++i)
        addWorker(*this, shape, i);
}

auto SimulatedFleet::fold(wire::Operation operation) -> OperationResult
{
    operation.set_id(std::to_string(m_nextId++));
    wire::Group group;
    group.set_format(recordFormat);
    group.set_author("entry");
    group.set_stamped_at_ms(m_now);
    *group.add_operations() = std::move(operation);
    return foldGroup(m_state, group).front();
}

auto SimulatedFleet::changeSetting(const std::string& setting, const std::string& scope, std::int64_t value) -> void
{
    wire::Operation operation;
    if (scope.empty()) {
        auto& change = *operation.mutable_set_default();
        change.set_setting(setting);
        change.set_value(std::to_string(value));
        change.set_expected_version(m_state.m_configuration.m_version);
    } else {
        auto& change = *operation.mutable_set_exception();
        change.set_setting(setting);
        change.set_scope(scope);
        change.set_value(std::to_string(value));
        change.set_reason("bench");
        change.set_author("bench");
        change.set_expected_version(m_state.m_configuration.m_version);
    }
    fold(operation);
}

auto SimulatedFleet::markAvailable(const std::string& instance, bool available) -> void
{
    wire::Operation operation;
    operation.mutable_mark_instance()->set_instance(instance);
    operation.mutable_mark_instance()->set_available(available);
    fold(operation);
}

} // namespace hemlockvane::bench
