#include "hemlockvane/detail/api/FleetApi.h"

#include "hemlockvane/configuration/EffectiveValue.h"
#include "hemlockvane/detail/api/JsonResponse.h"
#include "hemlockvane/detail/api/Router.h"
#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/control/Commit.h"
#include "hemlockvane/detail/control/ControlCore.h"
#include "hemlockvane/detail/text/JsonFields.h"

#include "hemlockvane/records.pb.h"

#include <boost/json.hpp>

namespace hemlockvane::detail {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

auto listInstances(ControlCore& core, ApiCall) -> asio::awaitable<HttpResponse>
{
    json::array rows;
    for (const auto& [id, instance] : core.m_state.m_pools.m_instances)
        rows.push_back(json::object { { "instance", id }, { "pool", instance.m_pool }, { "zone", instance.m_zone },
            { "rack", instance.m_rack }, { "cores", instance.m_cores }, { "memory_mb", instance.m_memoryMb },
            { "available", instance.m_available }, { "draining_for", instance.m_drainingFor },
            { "moves", instance.m_moves } });
    co_return jsonResponse({ { "instances", std::move(rows) } });
}

auto addInstance(ControlCore& core, ApiCall call) -> asio::awaitable<HttpResponse>
{
    wire::Operation operation;
    auto& change = *operation.mutable_add_instance();
    change.set_instance(textOf(call.m_body, "instance"));
    change.set_pool(textOf(call.m_body, "pool"));
    change.set_zone(textOf(call.m_body, "zone"));
    change.set_rack(textOf(call.m_body, "rack"));
    change.set_author(textOf(call.m_body, "author"));
    change.mutable_capacity()->set_cores(static_cast<std::uint32_t>(numberOf(call.m_body, "cores")));
    change.mutable_capacity()->set_memory_mb(static_cast<std::uint32_t>(numberOf(call.m_body, "memory_mb")));
    change.mutable_capacity()->set_accelerators(static_cast<std::uint32_t>(numberOf(call.m_body, "accelerators")));
    co_return resultResponse(co_await commit(core, std::move(operation)));
}

auto moveInstance(ControlCore& core, ApiCall call) -> asio::awaitable<HttpResponse>
{
    wire::Operation operation;
    auto& change = *operation.mutable_move_instance();
    change.set_instance(call.m_captures[0]);
    change.set_from_pool(textOf(call.m_body, "from"));
    change.set_to_pool(textOf(call.m_body, "to"));
    change.set_author(textOf(call.m_body, "author"));
    change.set_reason(textOf(call.m_body, "reason"));
    co_return resultResponse(co_await commit(core, std::move(operation)));
}

auto listPools(ControlCore& core, ApiCall) -> asio::awaitable<HttpResponse>
{
    json::array rows;
    for (const auto& [pool, size] : core.m_state.m_pools.m_sizeByPool) {
        const auto budget = effectiveValue(core.m_state.m_configuration, "pool.budget", pool, wallNow());
        rows.push_back(json::object { { "pool", pool }, { "instances", size },
            { "unavailable", unavailableIn(core.m_state.m_pools, pool) }, { "budget", budget.m_value } });
    }
    co_return jsonResponse({ { "pools", std::move(rows) } });
}

auto startWave(ControlCore& core, ApiCall call) -> asio::awaitable<HttpResponse>
{
    wire::Operation operation;
    auto& change = *operation.mutable_start_wave();
    change.set_wave(textOf(call.m_body, "wave"));
    change.set_finish_by_ms(numberOf(call.m_body, "finish_by_ms"));
    change.set_author(textOf(call.m_body, "author"));
    change.set_reason(textOf(call.m_body, "reason"));
    for (const auto& pool : textsOf(call.m_body, "pools"))
        change.add_pools(pool);
    co_return resultResponse(co_await commit(core, std::move(operation)));
}

auto pauseWave(ControlCore& core, ApiCall call, bool isPaused) -> asio::awaitable<HttpResponse>
{
    wire::Operation operation;
    auto& change = *operation.mutable_pause_wave();
    change.set_wave(call.m_captures[0]);
    change.set_paused(isPaused);
    change.set_author(textOf(call.m_body, "author"));
    change.set_reason(textOf(call.m_body, "reason"));
    co_return resultResponse(co_await commit(core, std::move(operation)));
}

auto listWaves(ControlCore& core, ApiCall) -> asio::awaitable<HttpResponse>
{
    json::array rows;
    for (const auto& [id, wave] : core.m_state.m_maintenance.m_waves)
        rows.push_back(json::object { { "wave", id }, { "paused", wave.m_paused }, { "reason", wave.m_reason },
            { "author", wave.m_author }, { "finish_by_ms", wave.m_finishBy }, { "done", wave.m_done.size() },
            { "failed", wave.m_failed.size() } });
    co_return jsonResponse({ { "waves", std::move(rows) } });
}

} // namespace

auto addFleetRoutes(Router& router, ControlCore& core) -> void
{
    router.add("GET", "/v1/instances", [&core](ApiCall call) { return listInstances(core, std::move(call)); });
    router.add("POST", "/v1/instances", [&core](ApiCall call) { return addInstance(core, std::move(call)); });
    router.add("POST", "/v1/instances/{}/move", [&core](ApiCall call) { return moveInstance(core, std::move(call)); });
    router.add("GET", "/v1/pools", [&core](ApiCall call) { return listPools(core, std::move(call)); });
    router.add("POST", "/v1/waves", [&core](ApiCall call) { return startWave(core, std::move(call)); });
    router.add("GET", "/v1/waves", [&core](ApiCall call) { return listWaves(core, std::move(call)); });
    router.add("POST", "/v1/waves/{}/pause", [&core](ApiCall call) { return pauseWave(core, std::move(call), true); });
    router.add(
        "POST", "/v1/waves/{}/resume", [&core](ApiCall call) { return pauseWave(core, std::move(call), false); });
}

} // namespace hemlockvane::detail
