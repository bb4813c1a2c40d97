#pragma once

#include "hemlockvane/peers.pb.h"

#include <string>

namespace hemlockvane {

/// @brief Send a message to another entry; it may get lost.
struct SendToPeer {
    std::string m_peer;
    wire::Envelope m_envelope;
};

} // namespace hemlockvane
