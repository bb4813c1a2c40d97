#pragma once

#include "hemlockvane/keys/KeyRecord.h"
#include "hemlockvane/log/FoldContext.h"

#include <map>
#include <string>

namespace hemlockvane {

/// @brief Granted and withdrawn keys. A withdrawal is final: an id or a hash is never granted again.
struct KeyState {
    Offset m_version = 0; ///< Offset plus one of the record of the last accepted change.
    std::map<std::string, KeyRecord, std::less<>> m_keys; ///< By public key id.
    std::map<std::string, std::string, std::less<>> m_idByHash;
};

} // namespace hemlockvane
