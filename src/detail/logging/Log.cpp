#include "hemlockvane/detail/logging/Log.h"

#include "hemlockvane/detail/logging/BoundedSink.h"

#include <spdlog/sinks/stdout_sinks.h>

#include <memory>
#include <mutex>
#include <unistd.h>
#include <unordered_map>

namespace hemlockvane::detail {

namespace {

constexpr std::size_t bufferBytes = 256UL * 1024; // Holds about one second of the busiest instance's lines.

auto sharedSink() -> spdlog::sink_ptr&
{
    static spdlog::sink_ptr sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    return sink;
}

auto makeLogger(const std::string& component) -> std::shared_ptr<spdlog::logger>
{
    static std::mutex mutex;
    const std::lock_guard lock(mutex);
    if (auto existing = spdlog::get(component))
        return existing;
    auto logger = std::make_shared<spdlog::logger>(component, sharedSink());
    spdlog::initialize_logger(logger);
    return logger;
}

} // namespace

auto startLogging(std::string_view instance, std::string_view level) -> void
{
    spdlog::set_level(spdlog::level::from_str(std::string(level)));
    spdlog::set_pattern(
        "%Y-%m-%dT%H:%M:%S.%eZ %L " + std::string(instance) + " %n: %v", spdlog::pattern_time_type::utc);
}

auto startBoundedLogging(std::string_view instance, std::string_view level) -> void
{
    sharedSink() = std::make_shared<BoundedSink>(STDOUT_FILENO, bufferBytes);
    startLogging(instance, level);
}

auto flushLogging() -> void { sharedSink()->flush(); }

auto logOf(std::string_view component) -> spdlog::logger&
{
    thread_local std::unordered_map<std::string, std::shared_ptr<spdlog::logger>> loggers;
    auto& logger = loggers[std::string(component)];
    if (!logger)
        logger = makeLogger(std::string(component));
    return *logger;
}

} // namespace hemlockvane::detail
