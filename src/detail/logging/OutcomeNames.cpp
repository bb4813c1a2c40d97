#include "hemlockvane/detail/logging/OutcomeNames.h"

#include "hemlockvane/detail/intake/IntakeOutcome.h"
#include "hemlockvane/detail/ports/CallOutcome.h"
#include "hemlockvane/detail/ports/MachineOutcome.h"
#include "hemlockvane/fleet/MachineState.h"
#include "hemlockvane/scheduling/DropReason.h"
#include "hemlockvane/scheduling/JobPhase.h"
#include "hemlockvane/scheduling/StartAnswer.h"

namespace hemlockvane::detail {

auto nameOf(CallOutcome outcome) -> std::string_view
{
    switch (outcome) {
    case CallOutcome::Answered:
        return "answered";
    case CallOutcome::StaleFence:
        return "stale_fence";
    case CallOutcome::OtherIncarnation:
        return "other_incarnation";
    case CallOutcome::Refused:
        return "refused";
    case CallOutcome::NotSent:
        return "not_sent";
    case CallOutcome::Unknown:
        return "no_answer";
    }
    return "invalid";
}

auto nameOf(IntakeOutcome outcome) -> std::string_view
{
    switch (outcome) {
    case IntakeOutcome::Stored:
        return "stored";
    case IntakeOutcome::Refused:
        return "refused";
    case IntakeOutcome::Full:
        return "full";
    case IntakeOutcome::TooLarge:
        return "too_large";
    case IntakeOutcome::Unknown:
        return "no_answer";
    }
    return "invalid";
}

auto nameOf(fleet::MachineState state) -> std::string_view
{
    switch (state) {
    case fleet::MachineState::Up:
        return "up";
    case fleet::MachineState::Moving:
        return "moving";
    case fleet::MachineState::Upkeep:
        return "upkeep";
    case fleet::MachineState::Down:
        return "down";
    }
    return "invalid";
}

auto nameOf(MachineOutcome outcome) -> std::string_view
{
    switch (outcome) {
    case MachineOutcome::Done:
        return "done";
    case MachineOutcome::Fenced:
        return "stale_fence";
    case MachineOutcome::Busy:
        return "busy";
    case MachineOutcome::NotInWave:
        return "not_in_wave";
    case MachineOutcome::Impossible:
        return "impossible";
    case MachineOutcome::Refused:
        return "refused";
    case MachineOutcome::Unknown:
        return "no_answer";
    }
    return "invalid";
}

auto nameOf(scheduling::DropReason reason) -> std::string_view
{
    switch (reason) {
    case scheduling::DropReason::NewLife:
        return "new_life";
    case scheduling::DropReason::OtherIncarnation:
        return "other_incarnation";
    case scheduling::DropReason::ListOfMachines:
        return "list_of_machines";
    case scheduling::DropReason::MachineLost:
        return "machine_lost";
    case scheduling::DropReason::LeaseLapsed:
        return "lease_lapsed";
    case scheduling::DropReason::Refused:
        return "refused";
    case scheduling::DropReason::NotSent:
        return "not_sent";
    case scheduling::DropReason::NotReported:
        return "not_reported";
    case scheduling::DropReason::Stopped:
        return "stopped";
    }
    return "invalid";
}

auto nameOf(scheduling::JobPhase phase) -> std::string_view
{
    switch (phase) {
    case scheduling::JobPhase::Queued:
        return "queued";
    case scheduling::JobPhase::Running:
        return "running";
    case scheduling::JobPhase::Completed:
        return "completed";
    case scheduling::JobPhase::Failed:
        return "failed";
    case scheduling::JobPhase::Cancelled:
        return "cancelled";
    }
    return "invalid";
}

auto nameOf(scheduling::StartAnswer answer) -> std::string_view
{
    switch (answer) {
    case scheduling::StartAnswer::Started:
        return "started";
    case scheduling::StartAnswer::NoCapacity:
        return "no_room";
    case scheduling::StartAnswer::BadTicket:
        return "bad_ticket";
    case scheduling::StartAnswer::TooLate:
        return "too_late";
    case scheduling::StartAnswer::AlreadyEnded:
        return "already_ended";
    case scheduling::StartAnswer::StaleFence:
        return "stale_fence";
    case scheduling::StartAnswer::Refused:
        return "refused";
    case scheduling::StartAnswer::OtherIncarnation:
        return "other_incarnation";
    case scheduling::StartAnswer::NotSent:
        return "not_sent";
    case scheduling::StartAnswer::Unknown:
        return "no_answer";
    }
    return "invalid";
}

} // namespace hemlockvane::detail
