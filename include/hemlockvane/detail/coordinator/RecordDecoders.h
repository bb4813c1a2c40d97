#pragma once

#include "hemlockvane/scheduling/ExecutorEntry.h"
#include "hemlockvane/scheduling/JobSpec.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockvane::detail {

/// @brief Decoders of what callers and executors write, given by whoever knows their formats.
struct RecordDecoders {
    /// Job from the body that its caller sent; empty when the body is none.
    std::function<std::optional<scheduling::JobSpec>(std::string_view body)> m_job;
    /// Executor from its id and its entry in the list; empty when the entry names none to use.
    std::function<std::optional<scheduling::ExecutorEntry>(std::string_view id, std::string_view value)> m_executor;
};

} // namespace hemlockvane::detail
