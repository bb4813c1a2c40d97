// The record of a case: what was sent, answered and run, with the time since the start of the case.
#pragma once

#include "Http.hh"

#include <cstdio>
#include <fstream>

namespace stage {

class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path)
        , m_startedAt(nowMs())
    {
    }

    auto write(const std::string& who, const std::string& what) -> void
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f ", static_cast<double>(nowMs() - m_startedAt) / 1000);
        m_file << time << who << ": " << what << "\n" << std::flush;
    }

    [[nodiscard]] auto now() const -> std::int64_t { return nowMs() - m_startedAt; }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::int64_t m_startedAt;
};

} // namespace stage
