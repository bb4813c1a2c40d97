#pragma once

#include "hemlockvane/detail/coordinator/ElectionTiming.h"
#include "hemlockvane/detail/coordinator/OwnerView.h"
#include "hemlockvane/time/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace hemlockvane::detail {

class RecordStore;

/// @brief Elects one owner with conditional appends: a record is appended only if no other instance has appended
/// meanwhile.
///
/// The epoch is one plus the offset of the record that took ownership, so it rises with every change of owner.
class OwnerElection {
public:
    /// @param instance name of this instance
    /// @param address at which other instances query this one
    /// @param nonce random number drawn when the process starts
    /// @param onChange called with true when this instance becomes the owner, with false when it no longer is
    OwnerElection(boost::asio::io_context& context, RecordStore& store, std::string instance, std::string address,
        std::uint64_t nonce, ElectionTiming timing, std::function<void(bool)> onChange);
    ~OwnerElection();
    OwnerElection(const OwnerElection&) = delete;
    auto operator=(const OwnerElection&) -> OwnerElection& = delete;

    /// @brief Lets the renewals of this instance, while it is the owner, tell what its memory can take of further jobs.
    /// @param memory returns nothing while it is not known
    auto publishJobMemory(std::function<std::optional<JobMemoryView>()> memory) -> void;

    auto start() -> void;

    /// @brief Releases the ownership for a shutdown; this instance does not take it again.
    auto release() -> boost::asio::awaitable<void>;

    [[nodiscard]] auto isOwner() const -> bool;
    [[nodiscard]] auto epoch() const -> std::uint64_t;
    [[nodiscard]] auto owner() const -> const OwnerView&;

    /// @brief Offset of the newest known record of the owner's topic; 0 before the first.
    [[nodiscard]] auto newestRenewal() const -> std::uint64_t;

    /// @brief Upper bound of the time at which the record at `offset` was written, on this instance's clock.
    [[nodiscard]] auto renewalWrittenBy(std::uint64_t offset) const -> Instant;

    /// @brief When the newest renewal that the store accepted was sent.
    [[nodiscard]] auto renewedAt() const -> Instant;

    /// @brief Time by which all leases granted by earlier owners have expired.
    [[nodiscard]] auto earlierLeasesExpireBy() const -> Instant;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace hemlockvane::detail
