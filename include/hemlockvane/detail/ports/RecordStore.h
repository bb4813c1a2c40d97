#pragma once

#include "hemlockvane/detail/ports/StoreAppend.h"
#include "hemlockvane/detail/ports/StoreAppendResult.h"
#include "hemlockvane/detail/ports/StoreRead.h"
#include "hemlockvane/detail/ports/TopicContent.h"
#include "hemlockvane/time/Time.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace hemlockvane::detail {

/// @brief The platform's store of record logs: the only durable storage.
class RecordStore {
public:
    virtual ~RecordStore() = default;

    /// @param timeout how long to wait for an answer
    virtual auto append(StoreAppend order, Duration timeout) -> boost::asio::awaitable<StoreAppendResult> = 0;

    /// @brief Reads from an offset. With a wait, the store answers as soon as there is a record.
    /// @result empty without an answer
    virtual auto read(std::string topic, std::uint64_t from, Duration wait)
        -> boost::asio::awaitable<std::optional<StoreRead>> = 0;

    /// @brief Reads the newest record of every key, and the offset at which to continue reading.
    /// @result empty without a complete answer
    virtual auto newest(std::string topic) -> boost::asio::awaitable<std::optional<TopicContent>> = 0;
};

} // namespace hemlockvane::detail
