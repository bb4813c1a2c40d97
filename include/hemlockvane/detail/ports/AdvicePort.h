#pragma once

#include "hemlockvane/detail/ports/AdviceAnswer.h"
#include "hemlockvane/scheduling/TaskKey.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>
#include <vector>

namespace hemlockvane::detail {

/// @brief The service that knows which executors a queue's policy allows.
class AdvicePort {
public:
    virtual ~AdvicePort() = default;

    /// @result empty without an answer, or when the service is busy
    virtual auto ask(scheduling::TaskKey step, std::vector<std::string> executors)
        -> boost::asio::awaitable<std::optional<AdviceAnswer>> = 0;
};

} // namespace hemlockvane::detail
