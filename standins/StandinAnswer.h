#pragma once

#include "hemlockvane/detail/http/HttpResponse.h"

namespace hemlockvane::standins {

/// @brief How a response reaches the client.
enum class Delivery {
    Complete,
    None, ///< The connection is closed without a response.
    Truncated, ///< The header declares a longer body than is sent.
    Garbled, ///< Bytes that are not HTTP.
};

/// @brief Response of a stand-in and the fault injected into its delivery.
struct StandinAnswer {
    detail::HttpResponse m_response;
    Delivery m_delivery = Delivery::Complete;
};

} // namespace hemlockvane::standins
