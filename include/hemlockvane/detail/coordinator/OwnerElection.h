#pragma once

#include "hemlockvane/detail/coordinator/ElectionTiming.h"
#include "hemlockvane/detail/coordinator/OwnerView.h"
#include "hemlockvane/time/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace hemlockvane::detail {

class RecordStore;

/// @brief Elects one owner by records that are appended under the condition that nobody else has appended.
///
/// The epoch is the offset of the record that took ownership, plus one, so it rises with every change.
class OwnerElection {
public:
    /// @param instance name of this instance
    /// @param address where other instances ask it
    /// @param nonce drawn at the process start
    /// @param onChange called with true once this instance owns the work, with false once it does not
    OwnerElection(boost::asio::io_context& context, RecordStore& store, std::string instance, std::string address,
        std::uint64_t nonce, ElectionTiming timing, std::function<void(bool)> onChange);
    ~OwnerElection();
    OwnerElection(const OwnerElection&) = delete;
    auto operator=(const OwnerElection&) -> OwnerElection& = delete;

    auto start() -> void;

    /// @brief Hands the work over: gives it up and never takes it again.
    auto release() -> boost::asio::awaitable<void>;

    [[nodiscard]] auto isOwner() const -> bool;
    [[nodiscard]] auto epoch() const -> std::uint64_t;
    [[nodiscard]] auto owner() const -> const OwnerView&;

    /// @brief Offset of the newest record of the owner's topic that is known; 0 before any.
    [[nodiscard]] auto newestRenewal() const -> std::uint64_t;

    /// @brief A time at which the record of an offset had been written, on this instance's clock.
    [[nodiscard]] auto renewalWrittenBy(std::uint64_t offset) const -> Instant;

    /// @brief When the newest renewal that the store took was sent.
    [[nodiscard]] auto renewedAt() const -> Instant;

    /// @brief When the leases that earlier owners gave must have lapsed.
    [[nodiscard]] auto earlierLeasesExpireBy() const -> Instant;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace hemlockvane::detail
