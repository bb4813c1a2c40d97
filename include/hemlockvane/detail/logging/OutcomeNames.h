#pragma once

#include <cstdint>
#include <string_view>

namespace hemlockvane::fleet {
enum class MachineState : std::uint8_t;
} // namespace hemlockvane::fleet

namespace hemlockvane::scheduling {
enum class DropReason : std::uint8_t;
enum class JobPhase : std::uint8_t;
enum class StartAnswer : std::uint8_t;
} // namespace hemlockvane::scheduling

namespace hemlockvane::detail {

enum class CallOutcome : std::uint8_t;
enum class IntakeOutcome : std::uint8_t;
enum class MachineOutcome : std::uint8_t;

/// @brief Names of outcomes in log lines and metric labels; "invalid" for a value outside the enumeration.
[[nodiscard]] auto nameOf(CallOutcome outcome) -> std::string_view;
[[nodiscard]] auto nameOf(IntakeOutcome outcome) -> std::string_view;
[[nodiscard]] auto nameOf(MachineOutcome outcome) -> std::string_view;
[[nodiscard]] auto nameOf(fleet::MachineState state) -> std::string_view;
[[nodiscard]] auto nameOf(scheduling::DropReason reason) -> std::string_view;
[[nodiscard]] auto nameOf(scheduling::JobPhase phase) -> std::string_view;
[[nodiscard]] auto nameOf(scheduling::StartAnswer answer) -> std::string_view;

} // namespace hemlockvane::detail
