#pragma once

#include "hemlockvane/scheduling/ExecutorEntry.h"
#include "hemlockvane/scheduling/JobSpec.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockvane::detail {

/// @brief Decoders of the platform's formats for jobs and executors.
struct RecordDecoders {
    /// Decodes a job from the body of its submission; empty when the body is not a valid job.
    std::function<std::optional<scheduling::JobSpec>(std::string_view body)> m_job;
    /// Decodes an executor from its id and registry entry; empty when the entry is not usable.
    std::function<std::optional<scheduling::ExecutorEntry>(std::string_view id, std::string_view value)> m_executor;
};

} // namespace hemlockvane::detail
