#pragma once

#include "hemlockvane/detail/intake/IntakeOutcome.h"
#include "hemlockvane/detail/ports/StoreLimits.h"
#include "hemlockvane/time/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace hemlockvane::detail {

class RecordStore;

/// @brief Appends submissions and cancellations to the store in batches; see `SubmissionQueue`.
class SubmissionWriter {
public:
    SubmissionWriter(boost::asio::io_context& context, RecordStore& store, StoreLimits limits = {});

    /// @brief Stores a record, repeating the append while its outcome is unknown.
    /// @param record encoded record; storing it again must have no effect
    /// @param deadline time after which no further attempt is made
    /// @result TooLarge without an attempt if the store would refuse the record each time
    auto store(std::string record, Instant deadline) -> boost::asio::awaitable<IntakeOutcome>;

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

} // namespace hemlockvane::detail
