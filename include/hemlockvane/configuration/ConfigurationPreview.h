#pragma once

#include "hemlockvane/configuration/EffectiveChange.h"
#include "hemlockvane/errors/ErrorKind.h"

#include <string>
#include <vector>

namespace hemlockvane {

/// @brief Effect that a configuration change would have if it were recorded now.
struct ConfigurationPreview {
    ErrorKind m_error = ErrorKind::None; ///< Why the change would be rejected; None: it would be accepted.
    std::string m_reason;
    std::vector<EffectiveChange> m_changes; ///< Values that would change, for scopes with exceptions and others.
};

} // namespace hemlockvane
