#include "hemlockvane/detail/platform/InstanceListClient.h"

#include "hemlockvane/detail/http/HttpConnection.h"
#include "hemlockvane/detail/text/JsonFields.h"

#include <boost/json.hpp>

namespace hemlockvane::detail {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr unsigned statusOk = 200;

auto toInstance(const json::object& object) -> ListedInstance
{
    ListedInstance instance;
    instance.m_id = textOf(object, "id");
    instance.m_kind = textOf(object, "kind");
    instance.m_service = textOf(object, "service");
    instance.m_zone = textOf(object, "zone");
    instance.m_rack = textOf(object, "rack");
    instance.m_address = textOf(object, "address");
    instance.m_isLeaving = textOf(object, "state") == "leaving";
    return instance;
}

auto parseList(const std::string& body, FailureReason& reason) -> std::optional<std::vector<ListedInstance>>
{
    const auto object = parseObject(body);
    const auto* list = object ? object->if_contains("instances") : nullptr;
    if (list == nullptr || !list->is_array())
        return fail(reason, ErrorKind::Internal, "malformed instance list");
    std::vector<ListedInstance> instances;
    for (const auto& element : list->as_array()) {
        if (element.is_object())
            instances.push_back(toInstance(element.as_object()));
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
        fail(reason, ErrorKind::NoCapacity,
            "the instance list service answered with status " + std::to_string(response->m_status));
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
