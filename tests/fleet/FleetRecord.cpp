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

auto FleetRecord::disturb(std::string_view who, std::int64_t until) -> void
{
    m_disturbedUntil.insert_or_assign(std::string(who), until);
}

auto FleetRecord::beginDisruption() -> void
{
    if (!m_areDisruptionsOver && m_openDisruptions++ == 0)
        m_disruptedSince = now();
}

auto FleetRecord::endDisruption() -> void
{
    if (!m_areDisruptionsOver && --m_openDisruptions == 0)
        m_disruptions.push_back({ m_disruptedSince, now() });
}

auto FleetRecord::endDisruptions() -> void
{
    if (m_openDisruptions > 0)
        m_disruptions.push_back({ m_disruptedSince, now() });
    m_openDisruptions = 0;
    m_areDisruptionsOver = true;
}

auto FleetRecord::isInTouch(std::string_view instance) const -> bool
{
    for (const auto& who : { instance, store }) {
        const auto found = m_disturbedUntil.find(who);
        if (found != m_disturbedUntil.end() && now() <= found->second + contactMs)
            return false;
    }
    return true;
}

auto FleetRecord::write(std::string_view who, std::string_view what) -> void
{
    if (m_file != nullptr)
        std::fprintf(m_file, "%7lld %-20.*s %.*s\n", static_cast<long long>(now()), static_cast<int>(who.size()),
            who.data(), static_cast<int>(what.size()), what.data());
}

} // namespace hemlockvane::fleetrun
