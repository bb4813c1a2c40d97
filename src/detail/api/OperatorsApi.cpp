#include "hemlockvane/detail/api/OperatorsApi.h"

#include "hemlockvane/detail/api/BearerKey.h"
#include "hemlockvane/detail/api/ConfigurationApi.h"
#include "hemlockvane/detail/api/FleetApi.h"
#include "hemlockvane/detail/api/KeysApi.h"
#include "hemlockvane/detail/api/Router.h"
#include "hemlockvane/detail/api/StateApi.h"
#include "hemlockvane/detail/control/ControlCore.h"
#include "hemlockvane/detail/crypto/Sha256.h"
#include "hemlockvane/detail/http/ErrorResponse.h"
#include "hemlockvane/keys/CheckKey.h"

namespace hemlockvane::detail {

namespace asio = boost::asio;

OperatorsApi::OperatorsApi(ControlCore& core)
    : m_core(core)
    , m_router(std::make_unique<Router>())
{
    addStateRoutes(*m_router, core);
    addConfigurationRoutes(*m_router, core);
    addKeyRoutes(*m_router, core);
    addFleetRoutes(*m_router, core);
}

OperatorsApi::~OperatorsApi() = default;

auto OperatorsApi::handle(HttpRequest request) -> asio::awaitable<HttpResponse>
{
    const auto key = bearerKey(request);
    if (!equalInConstantTime(toHex(sha256(key)), m_core.m_settings.m_operatorKeyHash))
        co_return errorResponse({ ErrorKind::UnknownKey, "the operators' key is missing or wrong" });
    co_return co_await m_router->route(std::move(request));
}

} // namespace hemlockvane::detail
