#pragma once

#include "hemlockvane/peers.pb.h"

#include <string>

namespace hemlockvane {

/// @brief A message that the escrow holder sends to a member, possibly itself.
struct EscrowMessage {
    std::string m_to; ///< Instance id.
    wire::Envelope m_envelope;
};

} // namespace hemlockvane
