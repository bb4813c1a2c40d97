#pragma once

#include "hemlockvane/detail/ports/MachinePort.h"

#include "hemlockvane/fleet/Machine.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hemlockvane::detail {

/// @brief Machines that record the orders they get and answer with a fixed outcome.
class RecordingMachines : public MachinePort {
public:
    auto list() -> boost::asio::awaitable<std::optional<std::vector<fleet::Machine>>> override
    {
        auto listed = m_listed;
        if (m_duringList)
            std::exchange(m_duringList, {})();
        co_return listed;
    }

    auto move(std::string machine, std::string /*pool*/, std::uint64_t /*epoch*/, std::function<bool()> /*mayBeSent*/)
        -> boost::asio::awaitable<MachineOutcome> override
    {
        m_moved.push_back(std::move(machine));
        co_return m_outcome;
    }

    auto maintain(std::string /*machine*/, std::uint64_t /*wave*/, std::uint64_t /*epoch*/,
        std::function<bool()> /*mayBeSent*/) -> boost::asio::awaitable<MachineOutcome> override
    {
        co_return m_outcome;
    }

    std::optional<std::vector<fleet::Machine>> m_listed; ///< Empty: calls for the list get no answer.
    std::function<void()> m_duringList; ///< What happens once between the call for the list and its answer.
    std::vector<std::string> m_moved;
    MachineOutcome m_outcome = MachineOutcome::Done;
};

} // namespace hemlockvane::detail
