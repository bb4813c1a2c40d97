#pragma once

#include "hemlockvane/detail/http/HttpResponse.h"

#include <string>

namespace hemlockvane::detail {

/// @brief A response without headers of its own.
auto plainResponse(unsigned status, std::string body) -> HttpResponse;

} // namespace hemlockvane::detail
