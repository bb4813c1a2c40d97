#include "hemlockvane/detail/api/StateApi.h"

#include "hemlockvane/configuration/EvacuatedZones.h"
#include "hemlockvane/detail/api/JsonResponse.h"
#include "hemlockvane/detail/api/Router.h"
#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/control/ControlCore.h"
#include "hemlockvane/membership/Vouch.h"

#include <boost/json.hpp>

namespace hemlockvane::detail {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

auto entriesOf(const ControlCore& core) -> json::array
{
    json::array rows;
    for (const auto& [id, entry] : core.m_state.m_membership.m_entries) {
        if (entry.m_removedAt != 0)
            continue;
        json::object row { { "instance", id }, { "zone", entry.m_zone }, { "address", entry.m_trafficAddress } };
        const auto report = core.m_peerStatus.find(id);
        if (id == core.m_instance) {
            row["configuration_version"] = core.m_state.m_configuration.m_version;
            row["folded_end"] = core.m_state.m_nextOffset;
        } else if (report != core.m_peerStatus.end()) {
            row["configuration_version"] = report->second.m_configurationVersion;
            row["folded_end"] = report->second.m_foldedEnd;
            row["heard_ms_ago"] = (monotonicNow() - report->second.m_heardAt).count();
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

auto dutiesOf(const ControlCore& core) -> json::array
{
    json::array rows;
    for (const auto& [name, duty] : core.m_state.m_membership.m_duties)
        rows.push_back(json::object { { "duty", name }, { "holder", duty.m_holder }, { "epoch", duty.m_epoch } });
    return rows;
}

auto evacuatedZonesOf(const ControlCore& core) -> json::array
{
    json::array zones;
    for (const auto& zone : evacuatedZones(core.m_state.m_configuration, wallNow()))
        zones.push_back(json::value(zone));
    return zones;
}

auto showState(ControlCore& core, ApiCall) -> asio::awaitable<HttpResponse>
{
    const auto& state = core.m_state;
    json::object body {
        { "instance", core.m_instance },
        { "zone", core.m_settings.m_zone },
        { "vouched", mayAct(core.m_vouch, monotonicNow()) },
        { "log_reachable", core.m_isLogReachable },
        { "folded_end", state.m_nextOffset },
        { "halted", state.m_halted },
        { "configuration_version", state.m_configuration.m_version },
        { "jobs_queued", state.m_jobs.m_queued.size() },
        { "jobs_running", state.m_jobs.m_running.size() },
        { "evacuated_zones", evacuatedZonesOf(core) },
        { "entries", entriesOf(core) },
        { "duties", dutiesOf(core) },
    };
    co_return jsonResponse(body);
}

} // namespace

auto addStateRoutes(Router& router, ControlCore& core) -> void
{
    router.add("GET", "/v1/state", [&core](ApiCall call) { return showState(core, std::move(call)); });
}

} // namespace hemlockvane::detail
