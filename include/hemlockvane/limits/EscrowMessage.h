#pragma once

#include "hemlockvane/peers.pb.h"

#include <string>

namespace hemlockvane {

/// @brief A message of the escrow holder to a member, possibly to itself.
struct EscrowMessage {
    std::string m_to; ///< Instance id.
    wire::Envelope m_envelope;
};

} // namespace hemlockvane
