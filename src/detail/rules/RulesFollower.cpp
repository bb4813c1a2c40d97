#include "hemlockvane/detail/rules/RulesFollower.h"

#include "hemlockvane/detail/async/Signal.h"
#include "hemlockvane/detail/clock/Clock.h"
#include "hemlockvane/detail/logging/Log.h"
#include "hemlockvane/detail/ports/RecordStore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <set>
#include <string>
#include <utility>

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

// Maximum wait of one read for a change; shorter than the time in which a change must take effect.
constexpr Duration readWait { 700 };
constexpr Duration retryPause { 100 }; // After a read without an answer.

} // namespace

struct RulesFollower::Impl : std::enable_shared_from_this<RulesFollower::Impl> {
    Impl(asio::io_context& context, RecordStore& store)
        : m_context(context)
        , m_store(store)
    {
    }

    auto run() -> asio::awaitable<void>;
    auto load() -> asio::awaitable<bool>;
    auto readChanges() -> asio::awaitable<bool>;
    auto evacuatedZone(std::string_view key) const -> std::optional<std::string>;
    auto apply(const KeyedRecord& record) -> void;
    auto applyConfiguration(const KeyedRecord& record) -> void;
    auto applyEvacuation(const std::string& zone, const KeyedRecord& record) -> void;
    auto applyPending() -> void;
    auto confirm(Instant at) -> void;

    asio::io_context& m_context;
    RecordStore& m_store;
    RulesSource m_source;
    std::function<void(const OperatorRules&)> m_onChange;
    std::shared_ptr<const OperatorRules> m_rules;
    std::shared_ptr<const OperatorRules> m_pending; // Newest of the records that are being read; null: none.
    std::set<std::string> m_evacuatedZones; // Also of the records that are being read.
    std::uint64_t m_end = 0;
    bool m_isLoaded = false;
    bool m_isStoreReachable = true; // Whether the last read was answered.
    Instant m_confirmedAt;
};

auto RulesFollower::Impl::evacuatedZone(std::string_view key) const -> std::optional<std::string>
{
    return m_source.m_evacuatedZone ? m_source.m_evacuatedZone(key) : std::nullopt;
}

auto RulesFollower::Impl::apply(const KeyedRecord& record) -> void
{
    if (record.m_key == m_source.m_rulesKey)
        applyConfiguration(record);
    else if (const auto zone = evacuatedZone(record.m_key))
        applyEvacuation(*zone, record);
    else
        m_source.m_onOtherRecord(record.m_key, record.m_value);
}

auto RulesFollower::Impl::applyEvacuation(const std::string& zone, const KeyedRecord& record) -> void
{
    const auto isEvacuated = !record.m_value.empty();
    const auto hasChanged = isEvacuated ? m_evacuatedZones.insert(zone).second : m_evacuatedZones.erase(zone) > 0;
    if (hasChanged)
        logOf("rules").info(
            "event={} zone={} offset={}", isEvacuated ? "zone_evacuated" : "zone_restored", zone, record.m_offset);
}

auto RulesFollower::Impl::applyConfiguration(const KeyedRecord& record) -> void
{
    auto decoded = m_source.m_decode(record.m_value);
    if (!decoded) {
        logOf("rules").error(
            "event=unreadable_configuration offset={} bytes={}", record.m_offset, record.m_value.size());
        return;
    }
    const auto& newest = m_pending ? m_pending : m_rules;
    if (newest && decoded->m_fleet.m_version <= newest->m_fleet.m_version)
        return;
    logOf("rules").info("event=configuration version={} offset={} queues={} workspaces={} bytes={}",
        decoded->m_fleet.m_version, record.m_offset, decoded->m_fleet.m_queues.size(),
        decoded->m_fleet.m_workspaces.size(), record.m_value.size());
    m_pending = std::make_shared<const OperatorRules>(std::move(*decoded));
}

// Only the newest configuration takes effect: those before it had been replaced when they were read. Evacuations are
// kept beside it, since they may be read before the first configuration.
auto RulesFollower::Impl::applyPending() -> void
{
    const auto newest = m_pending ? std::exchange(m_pending, nullptr) : m_rules;
    if (!newest || (newest == m_rules && newest->m_fleet.m_evacuatedZones == m_evacuatedZones))
        return;
    auto rules = std::make_shared<OperatorRules>(*newest);
    rules->m_fleet.m_evacuatedZones = m_evacuatedZones;
    m_rules = std::move(rules);
    m_onChange(*m_rules);
}

auto RulesFollower::Impl::load() -> asio::awaitable<bool>
{
    const auto newest = co_await m_store.newest(m_source.m_topic);
    if (!newest)
        co_return false;
    // A zone that was taken back in the meantime is missing from the newest records.
    const auto before = std::exchange(m_evacuatedZones, {});
    for (const auto& record : newest->first) {
        const auto zone = evacuatedZone(record.m_key);
        if (zone && !record.m_value.empty() && before.contains(*zone))
            m_evacuatedZones.insert(*zone);
        else
            apply(record);
    }
    for (const auto& zone : before) {
        if (!m_evacuatedZones.contains(zone))
            logOf("rules").info("event=zone_restored zone={} offset={}", zone, newest->second);
    }
    applyPending();
    m_end = newest->second;
    m_isLoaded = true;
    co_return true;
}

auto RulesFollower::Impl::readChanges() -> asio::awaitable<bool>
{
    const auto read = co_await m_store.read(m_source.m_topic, m_end, readWait);
    if (!read) {
        applyPending();
        co_return false;
    }
    if (read->m_isExpired) {
        m_isLoaded = false;
        co_return co_await load();
    }
    for (const auto& bytes : read->m_records) {
        const auto record = decodeKeyedRecord(bytes, m_end++);
        if (record)
            apply(*record);
    }
    const auto isCurrent = m_end >= read->m_end;
    if (isCurrent)
        applyPending();
    co_return isCurrent;
}

auto RulesFollower::Impl::confirm(Instant at) -> void
{
    m_confirmedAt = at;
    if (!m_isStoreReachable)
        logOf("rules").info("event=store_regained end={}", m_end);
    m_isStoreReachable = true;
}

auto RulesFollower::Impl::run() -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    while (true) {
        const auto sentAt = monotonicNow();
        const auto isCurrent = m_isLoaded ? co_await readChanges() : co_await load();
        if (isCurrent) {
            confirm(sentAt);
            continue;
        }
        if (m_isStoreReachable)
            logOf("rules").warn(
                "event=store_lost end={} confirmed_ms_ago={}", m_end, (monotonicNow() - m_confirmedAt).count());
        m_isStoreReachable = false;
        co_await sleepFor(retryPause);
    }
}

RulesFollower::RulesFollower(asio::io_context& context, RecordStore& store, RulesSource source,
    std::function<void(const OperatorRules&)> onChange)
    : m_impl(std::make_shared<Impl>(context, store))
{
    m_impl->m_source = std::move(source);
    m_impl->m_onChange = std::move(onChange);
}

RulesFollower::~RulesFollower() = default;

auto RulesFollower::start() -> void { asio::co_spawn(m_impl->m_context, m_impl->run(), asio::detached); }

auto RulesFollower::rules() const -> std::shared_ptr<const OperatorRules> { return m_impl->m_rules; }

auto RulesFollower::confirmedAt() const -> Instant { return m_impl->m_confirmedAt; }

} // namespace hemlockvane::detail
