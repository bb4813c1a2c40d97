#pragma once

#include <string>

namespace hemlockvane::detail {

/// @brief One header field of an HTTP message.
struct HttpHeader {
    std::string m_name;
    std::string m_value;
};

} // namespace hemlockvane::detail
