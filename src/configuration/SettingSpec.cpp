#include "hemlockvane/configuration/SettingSpec.h"

#include <algorithm>
#include <array>

namespace hemlockvane {

namespace {

constexpr std::array specs {
    SettingSpec { "jobs.attempts", ScopeKind::Queue, 3, 1, 100, "attempts", "attempts before a job is parked" },
    SettingSpec { "jobs.backoff_ms", ScopeKind::Queue, 1000, 0, 3600000, "ms", "first delay before a retry" },
    SettingSpec { "jobs.keep_ended_s", ScopeKind::Fleet, 86400, 60, 2592000, "s", "how long ended jobs are kept" },
    SettingSpec { "pool.budget", ScopeKind::Pool, 1, 0, 100000, "instances", "instances that may be unavailable" },
    SettingSpec { "pool.demand", ScopeKind::Pool, 0, 0, 100000, "instances", "instances that the pool's load needs" },
    SettingSpec { "pool.spare", ScopeKind::Pool, 0, 0, 1, "flag", "1: the pool is drawn on first and runs no jobs" },
    SettingSpec { "queue.deadline_ms", ScopeKind::Queue, 10000, 10, 120000, "ms", "deadline of a request without one" },
    SettingSpec { "queue.depth", ScopeKind::Queue, 256, 1, 100000, "requests", "requests waiting at one entry" },
    SettingSpec { "queue.open", ScopeKind::Queue, 0, 0, 1, "flag", "1: work is taken without a key" },
    SettingSpec {
        "service.connections", ScopeKind::Service, 64, 1, 65536, "connections", "all entries to an executor" },
    SettingSpec { "service.slots", ScopeKind::Service, 8, 1, 1024, "requests", "concurrent requests an executor" },
    SettingSpec { "team.limit", ScopeKind::Team, 1000, 0, 1000000, "running", "upper limit on what runs fleet-wide" },
    SettingSpec { "team.share", ScopeKind::Team, 100, 1, 1000000, "weight", "weight in the fair share" },
    SettingSpec { "wave.cover", ScopeKind::Pool, 1, 0, 2, "level", "failure a drain leaves room for: 1 rack, 2 zone" },
    SettingSpec { "wave.drain_s", ScopeKind::Fleet, 1800, 1, 86400, "s", "longest time of a drain and its reboot" },
    SettingSpec { "wave.harm_limit", ScopeKind::Fleet, 2, 1, 1000, "instances", "lost in a wave before it pauses" },
    SettingSpec { "wave.width", ScopeKind::Fleet, 4, 1, 10000, "instances", "instances drained at once" },
    SettingSpec { "zone.evacuated", ScopeKind::Zone, 0, 0, 1, "flag", "1: nothing new is sent to the zone" },
};

} // namespace

auto settingSpecs() -> std::span<const SettingSpec> { return specs; }

auto findSetting(std::string_view name) -> const SettingSpec*
{
    const auto* found = std::lower_bound(
        specs.begin(), specs.end(), name, [](const auto& spec, auto searched) { return spec.m_name < searched; });
    return found == specs.end() || found->m_name != name ? nullptr : found;
}

} // namespace hemlockvane
