#pragma once

#include "hemlockvane/detail/http/HttpRequest.h"

#include <string>
#include <string_view>

namespace hemlockvane::detail {

/// @brief Writes a request in the form of HTTP/1.1. Of several headers with one name the last is written. The length of
/// the body replaces headers that describe its framing.
/// @param host value of the Host header, unless the request has one
/// @param bytes replaced by the written request; keeps its memory
auto encodeRequest(const HttpRequest& request, std::string_view host, std::string& bytes) -> void;

} // namespace hemlockvane::detail
