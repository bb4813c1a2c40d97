#pragma once

namespace hemlockvane {

/// @brief One party's demand for a shared capacity.
struct Demand {
    double m_weight = 1; ///< Above 0.
    double m_demand = 0; ///< In units of the capacity.
};

} // namespace hemlockvane
