#pragma once

#include "hemlockvane/detail/ports/RecordStore.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <list>
#include <string>
#include <vector>

namespace hemlockvane::detail {

class Signal;

/// @brief Delays each call to a store until a test lets it proceed, so that the test chooses the order of effects.
class SteppedStore : public RecordStore {
public:
    /// @brief What becomes of a call that proceeds.
    enum class Fate {
        Answered,
        AnswerLost, ///< Carried out now, without an answer.
        CarriedOutLate, ///< Without an answer; carried out by `carryOutLateAppend`.
    };

    SteppedStore(boost::asio::io_context& context, RecordStore& store);
    ~SteppedStore() override;
    SteppedStore(const SteppedStore&) = delete;
    auto operator=(const SteppedStore&) -> SteppedStore& = delete;

    auto append(StoreAppend request, Duration timeout) -> boost::asio::awaitable<StoreAppendResult> override;
    auto read(std::string topic, std::uint64_t from, Duration wait)
        -> boost::asio::awaitable<std::optional<StoreRead>> override;
    auto newest(std::string topic) -> boost::asio::awaitable<std::optional<TopicContent>> override;

    /// @brief Names of the waiting calls ("append", "read" or "newest", and the topic), the oldest first.
    [[nodiscard]] auto waitingCalls() const -> std::vector<std::string>;

    /// @brief Whether a call that may proceed has not returned to its caller yet.
    [[nodiscard]] auto isBusy() const -> bool;

    /// @brief Lets a waiting call proceed.
    auto proceed(std::size_t call, Fate fate) -> void;

    [[nodiscard]] auto hasLateAppend() const -> bool;
    auto carryOutLateAppend() -> boost::asio::awaitable<void>;

private:
    struct Call;
    auto waitForTurn(std::string name) -> boost::asio::awaitable<Fate>;

    boost::asio::io_context& m_context;
    RecordStore& m_store;
    std::list<Call> m_calls;
    std::vector<StoreAppend> m_lateAppends;
    std::size_t m_callsInProgress = 0;
};

} // namespace hemlockvane::detail
