#pragma once

#include "hemlockvane/errors/FailureReason.h"
#include "hemlockvane/log/FleetState.h"
#include "hemlockvane/log/SnapshotReader.h"

#include <optional>
#include <string_view>

namespace hemlockvane {

/// @brief Adds the snapshot chunks of one record; call it for every record that the log keeps, oldest first.
///
/// A skipped chunk or a wrong hash discards the snapshot being assembled. The newest complete snapshot stays.
/// @complexity linear in the record
auto scanRecord(SnapshotReader& reader, std::string_view record) -> void;

/// @brief Loads the newest complete snapshot; the records from its `m_nextOffset` on are to be folded next.
/// @param reason receives NotFound when the log holds no complete snapshot, otherwise the reasons of loadSnapshot
/// @result empty on error
auto finishScan(const SnapshotReader& reader, FailureReason& reason) -> std::optional<FleetState>;

} // namespace hemlockvane
