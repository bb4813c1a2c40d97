#pragma once

#include "hemlockvane/ingress/IngressRules.h"
#include "hemlockvane/scheduling/FleetRules.h"

namespace hemlockvane::detail {

/// @brief One whole configuration as the operators wrote it.
struct OperatorRules {
    scheduling::FleetRules m_fleet;
    ingress::IngressRules m_ingress;
};

} // namespace hemlockvane::detail
