#pragma once

#include "hemlockvane/detail/http/HttpRequest.h"
#include "hemlockvane/detail/http/HttpResponse.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace hemlockvane::detail {

struct ControlCore;
class Router;

/// @brief The operators' HTTP interface; runs on the control thread. See docs/http.md.
class OperatorsApi {
public:
    explicit OperatorsApi(ControlCore& core);
    ~OperatorsApi();
    OperatorsApi(const OperatorsApi&) = delete;
    auto operator=(const OperatorsApi&) -> OperatorsApi& = delete;

    /// @brief Answers one request. Without the operators' key the response is UnknownKey.
    auto handle(HttpRequest request) -> boost::asio::awaitable<HttpResponse>;

private:
    ControlCore& m_core;
    std::unique_ptr<Router> m_router;
};

} // namespace hemlockvane::detail
