#pragma once

#include "hemlockvane/detail/http/HttpResponse.h"

namespace hemlockvane::standins {

/// @brief How much of an answer reaches the client.
enum class Delivery {
    Complete,
    None, ///< The connection is closed without an answer.
    Truncated, ///< The header declares a longer body than is sent.
    Garbled, ///< Bytes that are not HTTP.
};

/// @brief Answer of a stand-in and the fault that it is sent with.
struct StandinAnswer {
    detail::HttpResponse m_response;
    Delivery m_delivery = Delivery::Complete;
};

} // namespace hemlockvane::standins
