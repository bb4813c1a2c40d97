#pragma once

#include "hemlockvane/detail/ports/RecordStore.h"
#include "hemlockvane/detail/ports/StoreLimits.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hemlockvane::detail {

/// @brief A record store in memory with injectable faults.
class MemoryStore : public RecordStore {
public:
    auto append(StoreAppend request, Duration timeout) -> boost::asio::awaitable<StoreAppendResult> override;
    auto read(std::string topic, std::uint64_t from, Duration wait)
        -> boost::asio::awaitable<std::optional<StoreRead>> override;
    auto newest(std::string topic) -> boost::asio::awaitable<std::optional<TopicContent>> override;

    bool m_isDown = false; ///< Calls get no answer and have no effect.
    bool m_refusesAppends = false; ///< Appends are answered as refused and have no effect.
    StoreLimits m_limits; ///< Appends beyond them are refused.
    bool m_losesAnswers = false; ///< Appends are carried out but not answered.
    std::size_t m_maximumRead = std::numeric_limits<std::size_t>::max(); ///< Maximum number of records in one read.
    std::size_t m_appendsLeft = std::numeric_limits<std::size_t>::max(); ///< After as many, the store is down.
    std::map<std::string, std::vector<std::string>> m_topics;
    std::map<std::string, std::uint64_t> m_newestRead; ///< End of the newest read, by topic.
    std::map<std::string, std::uint64_t> m_epochs; ///< By topic and producer.
};

} // namespace hemlockvane::detail
