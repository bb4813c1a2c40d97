#pragma once

#include "hemlockvane/detail/http/HttpResponse.h"

#include <string>

namespace hemlockvane::detail {

/// @brief Makes a response without any headers.
auto plainResponse(unsigned status, std::string body) -> HttpResponse;

} // namespace hemlockvane::detail
