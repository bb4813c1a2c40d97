#pragma once

#include "hemlockvane/interference/ImagePair.h"
#include "hemlockvane/interference/InterferenceVerdict.h"

namespace hemlockvane::interference {

/// @brief A verdict that became known, changed or was forgotten.
struct InterferenceChange {
    ImagePair m_pair;
    InterferenceVerdict m_verdict; ///< A ratio of 0 if it was forgotten.
};

} // namespace hemlockvane::interference
