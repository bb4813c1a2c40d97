#pragma once

#include "hemlockvane/scheduling/TaskState.h"

#include <cstddef>
#include <iterator>
#include <vector>

namespace hemlockvane::scheduling {

/// @brief The tasks of one step of one occurrence.
///
/// The number of tasks is the caller's choice, so memory is used only for those that have been started or restored: the
/// others share one state. References to a task's state stay valid for the lifetime of the table.
class TaskTable {
public:
    /// @brief Iterates over the states of all tasks.
    class Iterator {
    public:
        using iterator_category = std::input_iterator_tag;
        using value_type = TaskState;
        using difference_type = std::ptrdiff_t;
        using pointer = const TaskState*;
        using reference = const TaskState&;

        Iterator(const TaskTable& table, std::size_t index)
            : m_table(&table)
            , m_index(index)
        {
        }

        auto operator*() const -> const TaskState& { return (*m_table)[m_index]; }
        auto operator++() -> Iterator&
        {
            ++m_index;
            return *this;
        }
        auto operator++(int) -> Iterator { return { *m_table, m_index++ }; }
        auto operator==(const Iterator& other) const -> bool = default;

    private:
        const TaskTable* m_table;
        std::size_t m_index;
    };

    TaskTable() = default;

    /// @param areDone whether all tasks have ended, and every end that is reported later has been counted
    TaskTable(std::size_t count, bool areDone);

    [[nodiscard]] auto size() const -> std::size_t { return m_count; }
    [[nodiscard]] auto operator[](std::size_t index) const -> const TaskState&;
    [[nodiscard]] auto begin() const -> Iterator { return { *this, 0 }; }
    [[nodiscard]] auto end() const -> Iterator { return { *this, m_count }; }

    /// @brief State of a task, to be changed.
    [[nodiscard]] auto edit(std::size_t index) -> TaskState&;

    /// @brief Number of the first task from `index` on that may have a state of its own; `size()` if there is none.
    [[nodiscard]] auto nextOwnState(std::size_t index) const -> std::size_t;

    /// @brief Memory of the states that tasks have of their own.
    [[nodiscard]] auto ownBytes() const -> std::size_t;

private:
    static constexpr std::size_t blockSize = 64; ///< Tasks are started in their order, so few blocks have gaps.

    std::size_t m_count = 0;
    const TaskState* m_shared = nullptr; ///< State of all tasks without one of their own.
    std::vector<std::vector<TaskState>> m_blocks; ///< Empty, or one for each `blockSize` tasks, empty until edited.
};

} // namespace hemlockvane::scheduling
