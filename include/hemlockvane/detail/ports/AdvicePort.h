#pragma once

#include "hemlockvane/detail/ports/AdviceAnswer.h"
#include "hemlockvane/scheduling/TaskKey.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>
#include <vector>

namespace hemlockvane::detail {

/// @brief The advice service, which decides which executors a queue's policy allows.
class AdvicePort {
public:
    virtual ~AdvicePort() = default;

    /// @result empty when the service did not answer or is busy
    virtual auto ask(scheduling::TaskKey step, std::vector<std::string> executors)
        -> boost::asio::awaitable<std::optional<AdviceAnswer>> = 0;
};

} // namespace hemlockvane::detail
