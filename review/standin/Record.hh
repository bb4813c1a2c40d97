#pragma once

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <mutex>
#include <string>
#include <string_view>

namespace review {

inline auto steadyMs() -> std::int64_t
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

inline auto unixMs() -> std::int64_t
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

/// @brief What was sent, answered and run, one line an event, with the milliseconds since the start.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(std::fopen(path.c_str(), "w"))
        , m_startedAt(steadyMs())
    {
    }

    ~Record()
    {
        if (m_file != nullptr)
            std::fclose(m_file);
    }

    Record(const Record&) = delete;
    auto operator=(const Record&) -> Record& = delete;

    auto now() const -> std::int64_t { return steadyMs() - m_startedAt; }

    auto write(std::string_view who, const std::string& what) -> void
    {
        const std::lock_guard lock(m_mutex);
        if (m_file != nullptr)
            std::fprintf(m_file, "%7lld %-12.*s %s\n", static_cast<long long>(now()), static_cast<int>(who.size()),
                who.data(), what.c_str());
    }

    /// @brief Writes a line of the check, here and to the standard output.
    auto say(const std::string& what) -> void
    {
        write("check", what);
        std::printf("%s\n", what.c_str());
        std::fflush(stdout);
    }

private:
    std::FILE* m_file = nullptr;
    std::int64_t m_startedAt = 0;
    std::mutex m_mutex;
};

} // namespace review
