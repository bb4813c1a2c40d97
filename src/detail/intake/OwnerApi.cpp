#include "hemlockvane/detail/intake/OwnerApi.h"

#include "hemlockvane/detail/coordinator/Coordinator.h"
#include "hemlockvane/detail/coordinator/SchedulerRecords.h"
#include "hemlockvane/detail/http/PlainResponse.h"

#include <charconv>
#include <system_error>

namespace hemlockvane::detail {

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusUnavailable = 503;
constexpr std::string_view unknownJob = "-";
constexpr auto lastPhase = static_cast<unsigned>(scheduling::JobPhase::Cancelled);

} // namespace

auto encodeJobStatus(const JobStatusResult& status) -> std::string
{
    return status.m_isKnown ? std::to_string(static_cast<int>(status.m_phase)) : std::string(unknownJob);
}

auto decodeJobStatus(std::string_view text) -> std::optional<JobStatusResult>
{
    if (text == unknownJob)
        return JobStatusResult {};
    unsigned phase = 0;
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, phase);
    if (result.ec != std::errc {} || result.ptr != end || phase > lastPhase)
        return std::nullopt;
    return JobStatusResult { true, static_cast<scheduling::JobPhase>(phase) };
}

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
    co_return plainResponse(statusOk, encodeJobStatus(*answer));
}

} // namespace hemlockvane::detail
