#include "hemlockvane/scheduling/TaskTable.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace hemlockvane::scheduling {

namespace {

auto waitingTask() -> const TaskState&
{
    static const TaskState state;
    return state;
}

auto doneTask() -> const TaskState&
{
    static const auto state = [] {
        TaskState done;
        done.m_isDone = true;
        done.m_highestRun = std::numeric_limits<std::uint32_t>::max(); // All ends count as known.
        return done;
    }();
    return state;
}

} // namespace

TaskTable::TaskTable(std::size_t count, bool areDone)
    : m_count(count)
    , m_shared(areDone ? &doneTask() : &waitingTask())
{
}

auto TaskTable::operator[](std::size_t index) const -> const TaskState&
{
    if (m_blocks.empty() || m_blocks[index / blockSize].empty())
        return *m_shared;
    return m_blocks[index / blockSize][index % blockSize];
}

auto TaskTable::edit(std::size_t index) -> TaskState&
{
    if (m_blocks.empty())
        m_blocks.resize((m_count + blockSize - 1) / blockSize);
    const auto number = index / blockSize;
    auto& block = m_blocks[number];
    if (block.empty())
        block.assign(std::min(blockSize, m_count - number * blockSize), *m_shared);
    return block[index % blockSize];
}

auto TaskTable::ownBytes() const -> std::size_t
{
    auto bytes = m_blocks.size() * sizeof(std::vector<TaskState>);
    for (const auto& block : m_blocks)
        bytes += block.size() * sizeof(TaskState);
    return bytes;
}

auto TaskTable::nextOwnState(std::size_t index) const -> std::size_t
{
    while (index < m_count && (m_blocks.empty() || m_blocks[index / blockSize].empty()))
        index = m_blocks.empty() ? m_count : std::min((index / blockSize + 1) * blockSize, m_count);
    return index;
}

} // namespace hemlockvane::scheduling
