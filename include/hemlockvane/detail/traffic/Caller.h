#pragma once

#include <string>

namespace hemlockvane::detail {

/// @brief Who sent a request, as its key says.
struct Caller {
    std::string m_team; ///< Empty: no key, on a queue open to all.
    std::string m_keyId;
};

} // namespace hemlockvane::detail
