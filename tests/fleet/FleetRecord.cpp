#include "FleetRecord.h"

#include "hemlockvane/detail/clock/Clock.h"

namespace hemlockvane::fleetrun {

namespace {

auto clockMs() -> std::int64_t { return detail::monotonicNow().time_since_epoch().count(); }

} // namespace

FleetRecord::FleetRecord(const std::string& path)
    : m_file(std::fopen(path.c_str(), "w"))
    , m_startedAt(clockMs())
{
}

FleetRecord::~FleetRecord()
{
    if (m_file != nullptr)
        std::fclose(m_file);
}

auto FleetRecord::now() const -> std::int64_t { return clockMs() - m_startedAt; }

auto FleetRecord::write(std::string_view who, std::string_view what) -> void
{
    if (m_file != nullptr)
        std::fprintf(m_file, "%7lld %-20.*s %.*s\n", static_cast<long long>(now()), static_cast<int>(who.size()),
            who.data(), static_cast<int>(what.size()), what.data());
}

} // namespace hemlockvane::fleetrun
