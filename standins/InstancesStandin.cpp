#include "Json.h"
#include "StandinServer.h"

#include "hemlockvane/detail/program/RunMain.h"

#include <boost/json.hpp>
#include <tclap/CmdLine.h>

#include <chrono>
#include <deque>
#include <map>

namespace hemlockvane::standins {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

namespace {

// A change of the list that readers see from m_visibleAt on. Without an instance it removes the id.
struct Change {
    Clock::time_point m_visibleAt;
    std::string m_id;
    std::optional<boost::json::object> m_instance;
};

struct InstanceList {
    std::chrono::milliseconds m_lag { 0 };
    bool m_isUnavailable = false;
    std::map<std::string, boost::json::object> m_visible;
    std::deque<Change> m_pending;
};

// Applies the pending changes that have become visible.
auto applyVisibleChanges(InstanceList& list) -> void
{
    const auto now = Clock::now();
    while (!list.m_pending.empty() && list.m_pending.front().m_visibleAt <= now) {
        auto& change = list.m_pending.front();
        if (change.m_instance)
            list.m_visible[change.m_id] = std::move(*change.m_instance);
        else
            list.m_visible.erase(change.m_id);
        list.m_pending.pop_front();
    }
}

auto readList(InstanceList& list) -> StandinAnswer
{
    applyVisibleChanges(list);
    boost::json::array instances;
    for (const auto& [id, instance] : list.m_visible)
        instances.emplace_back(instance);
    return jsonAnswer(200, { { "instances", std::move(instances) } });
}

auto change(InstanceList& list, std::string id, std::optional<boost::json::object> instance) -> StandinAnswer
{
    if (instance)
        (*instance)["id"] = id;
    list.m_pending.push_back({ Clock::now() + list.m_lag, std::move(id), std::move(instance) });
    return jsonAnswer(200, { { "accepted", true } });
}

auto faultsAnswer(const InstanceList& list) -> StandinAnswer
{
    return jsonAnswer(200, { { "outage", list.m_isUnavailable }, { "lag_ms", list.m_lag.count() } });
}

auto setFaults(InstanceList& list, std::string_view body) -> StandinAnswer
{
    const auto object = parseObject(body);
    if (!object)
        return refusal(400, "expected a JSON object");
    list.m_isUnavailable = flagOf(*object, "outage", list.m_isUnavailable);
    list.m_lag = std::chrono::milliseconds(numberOf(*object, "lag_ms", list.m_lag.count()));
    return faultsAnswer(list);
}

auto answer(InstanceList& list, const detail::HttpRequest& request) -> StandinAnswer
{
    constexpr std::string_view listPath = "/v1/instances";
    const auto path = pathOf(request.m_target);
    if (path == "/faults")
        return request.m_method == "POST" ? setFaults(list, request.m_body) : faultsAnswer(list);
    if (list.m_isUnavailable)
        return refusal(503, "outage");
    if (path == listPath && request.m_method == "GET")
        return readList(list);
    if (path.size() <= listPath.size() + 1 || !path.starts_with(listPath))
        return refusal(404, "no such path");
    const auto id = std::string(path.substr(listPath.size() + 1));
    if (request.m_method == "DELETE")
        return change(list, id, std::nullopt);
    const auto instance = parseObject(request.m_body);
    if (request.m_method != "PUT" || !instance)
        return refusal(400, "expected PUT with a JSON object");
    return change(list, id, instance);
}

auto handle(InstanceList& list, detail::HttpRequest request) -> asio::awaitable<StandinAnswer>
{
    co_return answer(list, request);
}

auto run(int argc, char** argv) -> int
{
    TCLAP::CmdLine line("Stand-in for the platform's instance list");
    TCLAP::ValueArg<std::string> listen("", "listen", "address to listen on", false, "127.0.0.1:0", "IP:port", line);
    TCLAP::ValueArg<std::int64_t> lag("", "lag-ms", "delay until changes become visible", false, 0, "ms", line);
    line.parse(argc, argv);
    InstanceList list;
    list.m_lag = std::chrono::milliseconds(lag.getValue());
    boost::asio::io_context context(1);
    StandinServer server(context, [&](detail::HttpRequest request) { return handle(list, std::move(request)); });
    return runUntilStopped(context, server, listen.getValue());
}

} // namespace

} // namespace hemlockvane::standins

/// @brief Stand-in for the platform's list of live and leaving instances.
auto main(int argc, char** argv) -> int { return hemlockvane::detail::runMain(argc, argv, hemlockvane::standins::run); }
