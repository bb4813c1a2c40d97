#include "hemlockvane/detail/intake/OwnerApi.h"

#include "hemlockvane/detail/coordinator/Coordinator.h"
#include "hemlockvane/detail/coordinator/SchedulerRecords.h"
#include "hemlockvane/detail/http/PlainResponse.h"

namespace hemlockvane::detail {

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusUnavailable = 503;
constexpr std::string_view unknownJob = "-";

} // namespace

auto answerPeerRequest(std::function<std::shared_ptr<Coordinator>()> ownedCoordinator, HttpRequest request)
    -> boost::asio::awaitable<HttpResponse>
{
    const auto coordinator = ownedCoordinator();
    const std::string_view target = request.m_target;
    if (!coordinator)
        co_return plainResponse(statusUnavailable, {});
    if (target.starts_with(waitingPath)) {
        const auto waiting = coordinator->countWaitingJobs(std::string(target.substr(waitingPath.size())));
        co_return waiting ? plainResponse(statusOk, std::to_string(*waiting)) : plainResponse(statusUnavailable, {});
    }
    const auto id = target.starts_with(statusPath) ? parseJobId(target.substr(statusPath.size())) : std::nullopt;
    if (!id)
        co_return plainResponse(statusUnavailable, {});
    const auto answer = co_await coordinator->statusOf(*id);
    if (!answer)
        co_return plainResponse(statusUnavailable, {});
    co_return plainResponse(
        statusOk, answer->m_isKnown ? std::to_string(static_cast<int>(answer->m_phase)) : std::string(unknownJob));
}

} // namespace hemlockvane::detail
