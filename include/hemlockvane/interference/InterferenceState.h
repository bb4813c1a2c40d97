#pragma once

#include "hemlockvane/interference/DecayingSamples.h"
#include "hemlockvane/interference/ImagePair.h"
#include "hemlockvane/interference/InterferenceVerdict.h"

#include <map>
#include <string>

namespace hemlockvane::interference {

/// @brief What is known of images that slow each other down. It is not stored: a new owner learns it again.
struct InterferenceState {
    std::map<std::string, DecayingSamples> m_all; ///< By affected image: all samples.
    std::map<ImagePair, DecayingSamples> m_beside; ///< Those of them with the other image on the same executor.
    std::map<ImagePair, InterferenceVerdict> m_verdicts; ///< Only pairs that slow each other down.
};

} // namespace hemlockvane::interference
