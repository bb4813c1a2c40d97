#pragma once

#include "hemlockvane/configuration/EffectiveChange.h"
#include "hemlockvane/errors/ErrorKind.h"

#include <string>
#include <vector>

namespace hemlockvane {

/// @brief What a change would do if it were recorded now.
struct ConfigurationPreview {
    ErrorKind m_error = ErrorKind::None; ///< Why it would be refused.
    std::string m_reason;
    std::vector<EffectiveChange> m_changes; ///< Scopes whose value would change, at most the known ones.
};

} // namespace hemlockvane
