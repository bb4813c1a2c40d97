#pragma once

#include "hemlockvane/errors/FailureReason.h"
#include "hemlockvane/log/FleetState.h"
#include "hemlockvane/log/SnapshotReader.h"

#include <optional>
#include <string_view>

namespace hemlockvane {

/// @brief Scans one record for chunks; call it for every kept record from the oldest on.
///
/// A chunk that does not continue the snapshot being assembled, or a wrong hash, drops that snapshot; the last
/// complete one stays.
/// @complexity linear in the record
auto scanRecord(SnapshotReader& reader, std::string_view record) -> void;

/// @brief The state of the newest complete snapshot; fold the records from its `m_nextOffset` on.
/// @param reason receives NotFound when there is none, else as loadSnapshot
/// @result empty on error
auto finishScan(const SnapshotReader& reader, FailureReason& reason) -> std::optional<FleetState>;

} // namespace hemlockvane
