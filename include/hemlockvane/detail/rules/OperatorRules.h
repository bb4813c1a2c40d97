#pragma once

#include "hemlockvane/ingress/IngressRules.h"
#include "hemlockvane/scheduling/FleetRules.h"

namespace hemlockvane::detail {

/// @brief One complete configuration as written by the operators.
struct OperatorRules {
    scheduling::FleetRules m_fleet;
    ingress::IngressRules m_ingress;
};

} // namespace hemlockvane::detail
