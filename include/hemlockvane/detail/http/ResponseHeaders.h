#pragma once

#include <cstdint>

namespace hemlockvane::detail {

/// @brief What a client does with the header fields of a response.
enum class ResponseHeaders : std::uint8_t {
    Kept,
    Dropped, ///< HttpResponse::m_headers stays empty.
};

} // namespace hemlockvane::detail
