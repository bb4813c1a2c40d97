#pragma once

#include "hemlockvane/peers.pb.h"

#include <string>

namespace hemlockvane {

/// @brief Send a message to another entry. Delivery is not guaranteed.
struct SendToPeer {
    std::string m_peer;
    wire::Envelope m_envelope;
};

} // namespace hemlockvane
