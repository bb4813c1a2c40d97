#pragma once

#include "hemlockvane/detail/rules/OperatorRules.h"
#include "hemlockvane/detail/rules/RulesSource.h"
#include "hemlockvane/time/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace hemlockvane::detail {

class RecordStore;

/// @brief Follows the operators' configuration and evacuations, and records when they were last confirmed to be
/// current.
class RulesFollower {
public:
    /// @param onChange called with each newer configuration, and when the set of evacuated zones has changed
    RulesFollower(boost::asio::io_context& context, RecordStore& store, RulesSource source,
        std::function<void(const OperatorRules&)> onChange);
    ~RulesFollower();
    RulesFollower(const RulesFollower&) = delete;
    auto operator=(const RulesFollower&) -> RulesFollower& = delete;

    auto start() -> void;

    /// @brief Newest configuration read; null before the first.
    [[nodiscard]] auto rules() const -> std::shared_ptr<const OperatorRules>;

    /// @brief Time before which all changes are known; the epoch of the clock before the first read.
    [[nodiscard]] auto confirmedAt() const -> Instant;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace hemlockvane::detail
