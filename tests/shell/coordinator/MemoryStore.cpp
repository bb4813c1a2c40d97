#include "shell/coordinator/MemoryStore.h"

#include "hemlockvane/detail/async/Signal.h"

namespace hemlockvane::detail {

namespace asio = boost::asio;

namespace {

constexpr Duration callTime { 1 };
constexpr Duration pollTime { 2 };

auto exceeds(const StoreAppend& request, const StoreLimits& limits) -> bool
{
    constexpr std::size_t lengthBytes = 4;
    std::size_t bytes = 0;
    auto isTooLarge = false;
    for (const auto& record : request.m_records) {
        bytes += record.size() + lengthBytes;
        isTooLarge = isTooLarge || record.size() > limits.m_recordBytes;
    }
    return isTooLarge || bytes > limits.m_requestBytes;
}

} // namespace

auto MemoryStore::append(StoreAppend request, Duration timeout) -> asio::awaitable<StoreAppendResult>
{
    StoreAppendResult result;
    if (m_isDown) {
        co_await sleepFor(timeout);
        co_return result;
    }
    co_await sleepFor(callTime);
    if (m_refusesAppends || exceeds(request, m_limits)) {
        result.m_kind = StoreAppendKind::Refused;
        co_return result;
    }
    auto& records = m_topics[request.m_topic];
    auto& epoch = m_epochs[request.m_topic + "/" + request.m_producer];
    result.m_end = records.size();
    if (request.m_expectedEnd && *request.m_expectedEnd != records.size()) {
        result.m_kind = StoreAppendKind::EndMismatch;
        co_return result;
    }
    if (request.m_epoch < epoch) {
        result.m_kind = StoreAppendKind::Fenced;
        co_return result;
    }
    epoch = request.m_epoch;
    m_isDown = m_isDown || --m_appendsLeft == 0;
    result.m_offset = records.size();
    records.insert(records.end(), request.m_records.begin(), request.m_records.end());
    result.m_end = records.size();
    result.m_kind = m_losesAnswers ? StoreAppendKind::Unknown : StoreAppendKind::Stored;
    co_return result;
}

auto MemoryStore::read(std::string topic, std::uint64_t from, Duration wait)
    -> asio::awaitable<std::optional<StoreRead>>
{
    for (auto remaining = wait; remaining > Duration { 0 } && !m_isDown && m_topics[topic].size() <= from;
         remaining -= pollTime)
        co_await sleepFor(pollTime);
    co_await sleepFor(callTime);
    if (m_isDown)
        co_return std::nullopt;
    const auto& records = m_topics[topic];
    StoreRead read;
    read.m_end = records.size();
    for (auto offset = from; offset < records.size() && read.m_records.size() < m_maximumRead; ++offset)
        read.m_records.push_back(records[offset]);
    m_newestRead[topic] = from + read.m_records.size();
    co_return read;
}

auto MemoryStore::newest(std::string topic) -> asio::awaitable<std::optional<TopicContent>>
{
    co_await sleepFor(callTime);
    if (m_isDown)
        co_return std::nullopt;
    std::map<std::string, KeyedRecord> newest;
    std::uint64_t offset = 0;
    for (const auto& bytes : m_topics[topic]) {
        auto record = decodeKeyedRecord(bytes, offset++);
        if (record && record->m_value.empty())
            newest.erase(record->m_key);
        else if (record)
            newest.insert_or_assign(record->m_key, std::move(*record));
    }
    TopicContent all;
    all.second = offset;
    for (auto& [key, record] : newest)
        all.first.push_back(std::move(record));
    co_return all;
}

} // namespace hemlockvane::detail
