#pragma once

#include "hemlockvane/detail/async/Signal.h"
#include "hemlockvane/detail/ports/RecordStore.h"

#include <algorithm>

namespace hemlockvane::detail {

/// @brief One instance's connection to a store, which can be cut.
class DisconnectableStore : public RecordStore {
public:
    explicit DisconnectableStore(RecordStore& store)
        : m_store(store)
    {
    }

    auto append(StoreAppend request, Duration timeout) -> boost::asio::awaitable<StoreAppendResult> override
    {
        if (!m_isDisconnected)
            co_return co_await m_store.append(std::move(request), timeout);
        co_await sleepFor(timeout);
        co_return StoreAppendResult {};
    }

    auto read(std::string topic, std::uint64_t from, Duration wait)
        -> boost::asio::awaitable<std::optional<StoreRead>> override
    {
        auto result = co_await m_store.read(std::move(topic), from, wait);
        co_return m_isDisconnected ? std::nullopt : std::move(result);
    }

    auto newest(std::string topic) -> boost::asio::awaitable<std::optional<TopicContent>> override
    {
        m_maximumConcurrentReads = std::max(m_maximumConcurrentReads, ++m_concurrentReads);
        auto result = co_await m_store.newest(std::move(topic));
        --m_concurrentReads;
        co_return m_isDisconnected ? std::nullopt : std::move(result);
    }

    bool m_isDisconnected = false;
    int m_maximumConcurrentReads = 0; ///< Most reads of whole topics in progress at the same time.

private:
    RecordStore& m_store;
    int m_concurrentReads = 0;
};

} // namespace hemlockvane::detail
