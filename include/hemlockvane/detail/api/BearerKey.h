#pragma once

#include "hemlockvane/detail/http/HttpRequest.h"

#include <string_view>

namespace hemlockvane::detail {

/// @brief The key in "Authorization: Bearer KEY"; empty when there is none. Valid while the request lives.
auto bearerKey(const HttpRequest& request) -> std::string_view;

} // namespace hemlockvane::detail
