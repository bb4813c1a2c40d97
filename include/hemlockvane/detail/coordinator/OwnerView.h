#pragma once

#include "hemlockvane/detail/coordinator/JobMemoryView.h"

#include <cstdint>
#include <optional>
#include <string>

namespace hemlockvane::detail {

/// @brief The newest record of the owner's topic: which instance owns the fleet's work.
struct OwnerView {
    std::string m_instance;
    std::string m_address; ///< Address at which other instances query it; empty: there is no owner.
    std::uint64_t m_epoch = 0;
    std::uint64_t m_nonce = 0;
    bool m_isReleased = true;
    std::optional<JobMemoryView> m_jobMemory; ///< Empty if the owner does not limit it.
};

} // namespace hemlockvane::detail
