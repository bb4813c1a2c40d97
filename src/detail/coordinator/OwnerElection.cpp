#include "hemlockvane/detail/coordinator/OwnerElection.h"

#include "hemlockvane/detail/async/Signal.h"
#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/coordinator/PredecessorLeases.h"
#include "hemlockvane/detail/coordinator/RenewalHistory.h"
#include "hemlockvane/detail/logging/Log.h"
#include "hemlockvane/detail/ports/RecordStore.h"
#include "hemlockvane/scheduling.pb.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <optional>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

const std::string ownerTopic = "owner";
constexpr int releaseAttempts = 3; // Few, since a shutdown must not take long.
constexpr Duration followWait { 600 }; // Maximum wait of one read for a renewal.

auto encodeJobMemory(const JobMemoryView& memory, wire::OwnerRecord& record) -> void
{
    record.set_job_memory_left(memory.m_left);
    for (const auto& [workspace, bytes] : memory.m_byWorkspace) {
        auto& used = *record.add_workspaces();
        used.set_workspace(workspace);
        used.set_bytes(bytes);
    }
}

auto decodeJobMemory(const wire::OwnerRecord& record) -> std::optional<JobMemoryView>
{
    if (!record.has_job_memory_left())
        return std::nullopt;
    JobMemoryView memory;
    memory.m_left = record.job_memory_left();
    for (const auto& used : record.workspaces())
        memory.m_byWorkspace[used.workspace()] = used.bytes();
    return memory;
}

} // namespace

struct OwnerElection::Impl : std::enable_shared_from_this<OwnerElection::Impl> {
    Impl(asio::io_context& context, RecordStore& store, ElectionTiming timing)
        : m_context(context)
        , m_store(store)
        , m_timing(timing)
    {
    }

    auto run() -> asio::awaitable<void>;
    auto follow(Duration wait) -> asio::awaitable<bool>;
    auto applyRecord(const std::string& bytes) -> void;
    auto renew() -> asio::awaitable<void>;
    auto takeOver(const char* reason) -> asio::awaitable<void>;
    auto takeoverReason() const -> const char*;
    auto appendOwn(std::uint64_t epoch, bool isReleased) -> asio::awaitable<StoreAppendResult>;
    auto jobMemory() const -> std::optional<JobMemoryView>;
    auto changeOwnership(bool isOwner, std::uint64_t epoch, const char* reason) -> void;

    asio::io_context& m_context;
    RecordStore& m_store;
    ElectionTiming m_timing;
    std::string m_instance;
    std::string m_address;
    std::uint64_t m_nonce = 0;
    std::function<void(bool)> m_onChange;
    std::function<std::optional<JobMemoryView>()> m_ownJobMemory;
    OwnerView m_view;
    std::uint64_t m_end = 0;
    Instant m_lastActivityAt; // When the last record was read, or the first read succeeded after a failed one.
    bool m_wasRead = false; // Whether the last read was answered.
    bool m_isOwner = false;
    bool m_isShuttingDown = false;
    std::uint64_t m_epoch = 0;
    PredecessorLeases m_predecessors;
    RenewalHistory m_renewals;
    Instant m_renewedAt;
    std::optional<Instant> m_unansweredSince; // When the oldest append with an unknown outcome was sent.
};

auto OwnerElection::Impl::changeOwnership(bool isOwner, std::uint64_t epoch, const char* reason) -> void
{
    if (m_isOwner == isOwner)
        return;
    m_isOwner = isOwner;
    m_epoch = epoch;
    logOf("election").info("event=owner owner={} epoch={} end={} reason=\"{}\"", isOwner, epoch, m_end, reason);
    m_onChange(isOwner);
}

auto OwnerElection::Impl::applyRecord(const std::string& bytes) -> void
{
    wire::OwnerRecord record;
    ++m_end;
    m_lastActivityAt = monotonicNow();
    recordRenewal(m_renewals, m_end - 1, m_lastActivityAt);
    if (!record.ParseFromString(bytes)) {
        logOf("election").warn("event=unreadable_record offset={}", m_end - 1);
        return;
    }
    if (record.epoch() != m_view.m_epoch || record.released() != m_view.m_isReleased)
        logOf("election")
            .info("event=seen instance={} epoch={} released={}", record.instance(), record.epoch(), record.released());
    m_view = { record.instance(), record.released() ? std::string() : record.address(), record.epoch(), record.nonce(),
        record.released(), decodeJobMemory(record) };
    const auto isOwn = record.nonce() == m_nonce && !record.released();
    if (record.nonce() != m_nonce)
        observeOwnerRecord(m_predecessors, record.epoch(), record.released(), m_lastActivityAt);
    if (isOwn && m_unansweredSince) {
        m_renewedAt = *m_unansweredSince;
        m_unansweredSince.reset();
    }
    if (m_isOwner && (!isOwn || record.epoch() != m_epoch))
        changeOwnership(false, 0, "another instance took over");
    else if (isOwn && !m_isOwner && !m_isShuttingDown)
        changeOwnership(true, record.epoch(), "own record read back");
}

auto OwnerElection::Impl::follow(Duration wait) -> asio::awaitable<bool>
{
    const auto read = co_await m_store.read(ownerTopic, m_end, wait);
    if (!read) {
        m_wasRead = false;
        co_return false;
    }
    if (!m_wasRead)
        m_lastActivityAt = monotonicNow();
    m_wasRead = true;
    if (read->m_isExpired) {
        m_end = read->m_first;
        co_return true;
    }
    for (const auto& record : read->m_records)
        applyRecord(record);
    co_return true;
}

// While this instance does not know it, before it has loaded the jobs or when it gives them up, what was told last
// holds on.
auto OwnerElection::Impl::jobMemory() const -> std::optional<JobMemoryView>
{
    auto own = m_ownJobMemory ? m_ownJobMemory() : std::nullopt;
    return own ? own : m_view.m_jobMemory;
}

auto OwnerElection::Impl::appendOwn(std::uint64_t epoch, bool isReleased) -> asio::awaitable<StoreAppendResult>
{
    wire::OwnerRecord record;
    record.set_instance(m_instance);
    record.set_address(m_address);
    record.set_epoch(epoch);
    record.set_nonce(m_nonce);
    record.set_released(isReleased);
    m_view.m_jobMemory = jobMemory();
    if (m_view.m_jobMemory)
        encodeJobMemory(*m_view.m_jobMemory, record);
    StoreAppend request;
    request.m_topic = ownerTopic;
    request.m_records.push_back(record.SerializeAsString());
    request.m_expectedEnd = m_end;
    m_unansweredSince = m_unansweredSince.value_or(monotonicNow());
    const auto result = co_await m_store.append(std::move(request), m_timing.m_callTimeout);
    if (result.m_kind == StoreAppendKind::Stored) {
        m_renewedAt = *m_unansweredSince;
        m_unansweredSince.reset();
        recordRenewal(m_renewals, result.m_end - 1, monotonicNow());
    }
    co_return result;
}

auto OwnerElection::Impl::renew() -> asio::awaitable<void>
{
    const auto sentAt = monotonicNow();
    const auto result = co_await appendOwn(m_epoch, false);
    if (result.m_kind == StoreAppendKind::Stored) {
        m_end = result.m_end;
        // Counted from the call: on a busy loop its answer is handled late, and a further wait would be late too.
        const auto remaining = sentAt + m_timing.m_renewalInterval - monotonicNow();
        if (remaining > Duration { 0 })
            co_await sleepFor(remaining);
        co_return;
    }
    // Another record was appended: by another instance, or by this one with a call whose answer was lost.
    if (result.m_kind == StoreAppendKind::EndMismatch)
        co_await follow(Duration { 0 });
    else
        co_await sleepFor(m_timing.m_retryPause);
}

// Reason for which this instance may take over; null while there may be an owner or the takeover delay, in which a
// larger instance can take over, has not passed.
auto OwnerElection::Impl::takeoverReason() const -> const char*
{
    const auto sinceLastActivity = monotonicNow() - m_lastActivityAt;
    if (m_view.m_isReleased && sinceLastActivity >= m_timing.m_takeoverDelay)
        return m_view.m_epoch == 0 ? "no owner yet" : "released";
    // An instance has one process at a time, so the process that wrote the record has ended.
    const auto wasOwn = m_view.m_instance == m_instance && m_view.m_nonce != m_nonce;
    if (wasOwn && sinceLastActivity >= m_timing.m_takeoverDelay)
        return "this instance's earlier process owned it";
    return sinceLastActivity > m_timing.m_renewalTimeout + m_timing.m_takeoverDelay ? "no renewal" : nullptr;
}

auto OwnerElection::Impl::takeOver(const char* reason) -> asio::awaitable<void>
{
    const auto epoch = m_end + 1;
    const auto result = co_await appendOwn(epoch, false);
    if (result.m_kind != StoreAppendKind::Stored)
        co_return;
    m_end = result.m_end;
    m_view = { m_instance, m_address, epoch, m_nonce, false, std::move(m_view.m_jobMemory) };
    changeOwnership(true, epoch, reason);
}

auto OwnerElection::Impl::run() -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    m_lastActivityAt = monotonicNow();
    while (!m_isShuttingDown) {
        if (m_isOwner) {
            co_await renew();
            continue;
        }
        const auto isRead = co_await follow(followWait);
        if (!isRead) {
            co_await sleepFor(m_timing.m_retryPause);
            continue;
        }
        const auto* reason = takeoverReason();
        if (!m_isOwner && !m_isShuttingDown && reason != nullptr)
            co_await takeOver(reason);
    }
}

OwnerElection::OwnerElection(asio::io_context& context, RecordStore& store, std::string instance, std::string address,
    std::uint64_t nonce, ElectionTiming timing, std::function<void(bool)> onChange)
    : m_impl(std::make_shared<Impl>(context, store, timing))
{
    m_impl->m_instance = std::move(instance);
    m_impl->m_address = std::move(address);
    m_impl->m_nonce = nonce;
    m_impl->m_onChange = std::move(onChange);
}

OwnerElection::~OwnerElection() = default;

auto OwnerElection::publishJobMemory(std::function<std::optional<JobMemoryView>()> memory) -> void
{
    m_impl->m_ownJobMemory = std::move(memory);
}

auto OwnerElection::start() -> void { asio::co_spawn(m_impl->m_context, m_impl->run(), asio::detached); }

auto OwnerElection::release() -> asio::awaitable<void>
{
    const auto impl = m_impl;
    impl->m_isShuttingDown = true;
    if (!impl->m_isOwner)
        co_return;
    const auto epoch = impl->m_epoch;
    impl->changeOwnership(false, 0, "shutting down");
    // A renewal may still be in transit: its record is read first, then the release is repeated.
    for (int attempt = 0; attempt < releaseAttempts; ++attempt) {
        const auto result = co_await impl->appendOwn(epoch, true);
        if (result.m_kind == StoreAppendKind::Stored)
            co_return;
        co_await impl->follow(Duration { 0 });
    }
}

auto OwnerElection::isOwner() const -> bool { return m_impl->m_isOwner; }
auto OwnerElection::epoch() const -> std::uint64_t { return m_impl->m_epoch; }
auto OwnerElection::owner() const -> const OwnerView& { return m_impl->m_view; }
auto OwnerElection::earlierLeasesExpireBy() const -> Instant { return leasesExpireBy(m_impl->m_predecessors); }
auto OwnerElection::newestRenewal() const -> std::uint64_t { return m_impl->m_end == 0 ? 0 : m_impl->m_end - 1; }
auto OwnerElection::renewalWrittenBy(std::uint64_t offset) const -> Instant
{
    return writtenBy(m_impl->m_renewals, offset, monotonicNow());
}
auto OwnerElection::renewedAt() const -> Instant { return m_impl->m_renewedAt; }

} // namespace hemlockvane::detail
