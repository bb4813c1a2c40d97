#include "hemlockvane/detail/platform/InstanceListClient.h"

#include "hemlockvane/detail/http/HttpConnection.h"
#include "hemlockvane/detail/text/JsonFields.h"

#include <boost/json.hpp>

namespace hemlockvane::detail {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr unsigned statusOk = 200;

auto toInstance(const json::object& row) -> ListedInstance
{
    ListedInstance instance;
    instance.m_id = textOf(row, "id");
    instance.m_kind = textOf(row, "kind");
    instance.m_service = textOf(row, "service");
    instance.m_zone = textOf(row, "zone");
    instance.m_rack = textOf(row, "rack");
    instance.m_address = textOf(row, "address");
    instance.m_isLeaving = textOf(row, "state") == "leaving";
    return instance;
}

auto parseList(const std::string& body, FailureReason& reason) -> std::optional<std::vector<ListedInstance>>
{
    const auto object = parseObject(body);
    const auto* rows = object ? object->if_contains("instances") : nullptr;
    if (rows == nullptr || !rows->is_array())
        return fail(reason, ErrorKind::Internal, "the instance list is not readable");
    std::vector<ListedInstance> instances;
    for (const auto& row : rows->as_array()) {
        if (row.is_object())
            instances.push_back(toInstance(row.as_object()));
    }
    return instances;
}

} // namespace

auto readInstanceList(std::string_view address, std::chrono::milliseconds timeout, FailureReason& reason)
    -> asio::awaitable<std::optional<std::vector<ListedInstance>>>
{
    HttpRequest request;
    request.m_target = "/v1/instances";
    const auto response = co_await httpCall(address, request, timeout, reason);
    if (!response)
        co_return std::nullopt;
    if (response->m_status != statusOk) {
        fail(reason, ErrorKind::NoCapacity, "the instance list answered " + std::to_string(response->m_status));
        co_return std::nullopt;
    }
    co_return parseList(response->m_body, reason);
}

auto registerInstance(std::string_view address, const ListedInstance& instance, std::chrono::milliseconds timeout,
    FailureReason& reason) -> asio::awaitable<bool>
{
    HttpRequest request;
    request.m_method = "PUT";
    request.m_target = "/v1/instances/" + instance.m_id;
    request.m_body = json::serialize(json::object { { "id", instance.m_id }, { "kind", instance.m_kind },
        { "service", instance.m_service }, { "zone", instance.m_zone }, { "rack", instance.m_rack },
        { "address", instance.m_address }, { "state", instance.m_isLeaving ? "leaving" : "live" } });
    const auto response = co_await httpCall(address, request, timeout, reason);
    co_return response && response->m_status == statusOk;
}

auto deregisterInstance(std::string_view address, std::string_view instance, std::chrono::milliseconds timeout,
    FailureReason& reason) -> asio::awaitable<bool>
{
    HttpRequest request;
    request.m_method = "DELETE";
    request.m_target = "/v1/instances/" + std::string(instance);
    const auto response = co_await httpCall(address, request, timeout, reason);
    co_return response && response->m_status == statusOk;
}

} // namespace hemlockvane::detail
