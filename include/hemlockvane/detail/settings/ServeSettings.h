#pragma once

#include "hemlockvane/detail/http/HttpLimits.h"
#include "hemlockvane/time/Time.h"

#include <string>

namespace hemlockvane::detail {

/// @brief Checked settings of one entry instance; see docs/settings.md.
struct ServeSettings {
    std::string m_instance; ///< Prefix of the instance id; the process appends a random suffix.
    std::string m_zone;
    std::string m_region;
    std::string m_trafficListen; ///< IP:port for callers; port 0 selects a free port.
    std::string m_operatorsListen; ///< IP:port for operators; port 0 selects a free port.
    std::string m_operatorKeyHash; ///< SHA-256 of the operators' key, 64 lower case hexadecimal digits.
    std::string m_peersListen; ///< tcp://IP:port for the other entries; port 0 selects a free port.
    std::string m_logAddress; ///< IP:port of the platform's log service.
    std::string m_instancesAddress; ///< IP:port of the platform's instance list.
    Duration m_vouch { 5000 }; ///< Vouching time: how long state read from the log may be acted on.
    Duration m_maximumClockDrift { 100 }; ///< Largest difference between two instances' clocks over one vouching time.
    Duration m_listLag { 2000 }; ///< Largest lag of the instance list.
    Duration m_heartbeatInterval { 500 }; ///< Interval between heartbeats to the peers.
    HttpLimits m_limits; ///< Limits of the callers' port.
};

} // namespace hemlockvane::detail
