#include "FleetInstances.h"

#include "FleetRecord.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>
#include <utility>

namespace hemlockvane::fleetrun {

namespace {

constexpr int frontPort = 4;
constexpr int readinessPort = 5;
constexpr int firstInternalPort = 6;
constexpr int lastInternalPort = 7;
constexpr int firstInheritedDescriptor = 3;
constexpr int lastInheritedDescriptor = 4096;
constexpr int notStarted = 127;
constexpr int maximumDescriptors = 4100;
constexpr int kilobytesPerMb = 1024;

// Largest resident memory of a process since its start.
auto peakMb(pid_t process) -> int
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string word;
    while (status >> word) {
        int kilobytes = 0;
        if (word == "VmHWM:" && status >> kilobytes)
            return kilobytes / kilobytesPerMb;
    }
    return 0;
}

auto openDescriptors(pid_t process) -> std::ptrdiff_t
{
    std::error_code error;
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(process) + "/fd", error);
    return error ? 0 : std::distance(begin(entries), end(entries));
}

} // namespace

FleetInstances::FleetInstances(FleetRecord& record, std::string program, std::string folder, std::uint16_t basePort)
    : m_record(record)
    , m_program(std::move(program))
    , m_folder(std::move(folder))
    , m_basePort(basePort)
{
}

FleetInstances::~FleetInstances()
{
    for (std::size_t i = 0; i < m_instances.size(); ++i)
        signal(i, SIGKILL);
}

auto FleetInstances::port(int which) const -> std::string { return std::to_string(m_basePort + which); }

auto FleetInstances::frontAddress(std::size_t index) const -> std::string
{
    return m_instances[index].m_ip + ":" + port(frontPort);
}

auto FleetInstances::readinessAddress(std::size_t index) const -> std::string
{
    return m_instances[index].m_ip + ":" + port(readinessPort);
}

auto FleetInstances::addresses(std::size_t index) const -> std::vector<std::string>
{
    std::vector<std::string> all;
    for (const auto which : { frontPort, readinessPort, firstInternalPort, lastInternalPort })
        all.push_back(m_instances[index].m_ip + ":" + port(which));
    return all;
}

auto FleetInstances::findOverLimits() const -> std::vector<std::string>
{
    auto violations = m_overMemory;
    for (const auto& instance : m_instances) {
        if (instance.m_process <= 0 || kill(instance.m_process, 0) != 0) {
            violations.push_back(instance.m_name + " has ended by itself");
            continue;
        }
        const auto memory = peakMb(instance.m_process);
        if (memory > m_memoryMb)
            violations.push_back(instance.m_name + " took " + std::to_string(memory) + " MB");
        const auto descriptors = openDescriptors(instance.m_process);
        if (descriptors > maximumDescriptors)
            violations.push_back(instance.m_name + " has " + std::to_string(descriptors) + " descriptors open");
    }
    return violations;
}

auto FleetInstances::add(const FleetSite& site) -> void
{
    m_region = site.m_region;
    m_longestHoldMs = site.m_longestHoldMs;
    m_longestStopMs = site.m_longestStopMs;
    for (std::size_t i = 0; i < site.m_instances; ++i) {
        FleetInstance instance;
        instance.m_zone = site.m_zones[i % site.m_zones.size()];
        instance.m_name = "front-" + instance.m_zone + "-" + std::to_string(i / site.m_zones.size() + 1);
        instance.m_ip = "127.3.0." + std::to_string(i + 1);
        instance.m_settingsFile = m_folder + "/" + instance.m_name + ".conf";
        instance.m_logFile = m_folder + "/" + instance.m_name + ".log";
        m_instances.push_back(std::move(instance));
    }
}

auto FleetInstances::settingsOf(const FleetInstance& instance) const -> std::string
{
    return "node=" + instance.m_name + "\nrole=entry\nmachineClass=front\nserves=front\nip=" + instance.m_ip
        + "\nzone=" + instance.m_zone + "\nregion=" + m_region + "\nlisten.front=" + instance.m_ip + ":"
        + port(frontPort) + "\nlisten.ready=" + instance.m_ip + ":" + port(readinessPort)
        + "\ninternalPorts=" + port(firstInternalPort) + "," + port(lastInternalPort)
        + "\nbootstrap=true\ncountsAsLoss=false\nlimits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb="
        + std::to_string(m_memoryMb)
        + "\n"
          "limits.maxFds=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\nentry=virtual_ip\n"
          "heartbeatMs=1500\n"
          "contracts=base,drain,config,cost,recover,sched,tenants,quota,platform,upkeep,sharing\n"
          "bounds.contactMs=3000\nbounds.ackMs=4000\nbounds.drainMs=2000\nbounds.graceS=6\n"
          "bounds.lossSlackMs=200\nbounds.configApplyMs=2000\nbounds.strictRevoke=true\nbounds.revokeMs=5000\n"
          "bounds.holdMaxMs="
        + std::to_string(m_longestHoldMs) + "\nbounds.shutdownMs=" + std::to_string(m_longestStopMs)
        + "\nbounds.gangMs=3000\nbounds.cancel_ms=3000\n"
          "bounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\n"
          "bounds.remoteFactor=2\nbounds.checkpointS=1\nbounds.restoreMs=600\nbounds.noticeMs=4500\n"
          "bounds.moveS=1.5\nbounds.upkeepS=2\nbounds.requireFence=true\nbounds.leaseMs=3000\n"
          "bounds.thawMs=300\nbounds.paceMs=100\nbounds.harmMs=4000\norders=invoke\nplatform.address="
        + m_storeAddress
        + "\nplatform.form=log\nplatform.writesPerS=800\nplatform.readsPerS=2000\nplatform.parts=12\n"
          "platform.appendMs=2.0\nplatform.partMbS=20.0\nplatform.readMbS=80.0\nplatform.recordBytes=262144\n"
          "platform.requestBytes=2097152\nplatform.keep_s=300\nplatform.partMb=200\nplatform.ttlMinMs=1000\n"
          "cloud.address="
        + m_machinesAddress + "\ncloud.ratePerS=64.0\ncloud.duties=\ncloud.dutyPerS=64.0\n";
}

auto FleetInstances::start(std::size_t index) -> void
{
    auto& instance = m_instances[index];
    if (instance.m_process > 0)
        return;
    std::ofstream(instance.m_settingsFile) << settingsOf(instance);
    const auto variable = "HEMLOCKVANE_NODE_FILE=" + instance.m_settingsFile;
    instance.m_process = fork();
    if (instance.m_process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const auto output = open(instance.m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        for (int descriptor = firstInheritedDescriptor; descriptor < lastInheritedDescriptor; ++descriptor)
            close(descriptor);
        const std::array<const char*, 5> environment { "PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C", variable.c_str(),
            nullptr };
        const std::array<const char*, 3> arguments { m_program.c_str(), "serve-platform", nullptr };
        execve(m_program.c_str(), const_cast<char**>(arguments.data()), const_cast<char**>(environment.data()));
        _exit(notStarted);
    }
    m_record.write(instance.m_name, "started");
    m_record.disturb(instance.m_name, m_record.now());
}

// Notes a process about to be killed that took more memory than its machine has.
auto FleetInstances::noteMemory(const FleetInstance& instance) -> void
{
    const auto memory = peakMb(instance.m_process);
    if (memory > m_memoryMb)
        m_overMemory.push_back(instance.m_name + " took " + std::to_string(memory) + " MB");
}

auto FleetInstances::signal(std::size_t index, int number) -> void
{
    auto& instance = m_instances[index];
    if (instance.m_process <= 0)
        return;
    if (number == SIGKILL)
        noteMemory(instance);
    kill(instance.m_process, number);
    m_record.write(instance.m_name, "signal " + std::to_string(number));
    m_record.disturb(instance.m_name, m_record.now());
    if (number != SIGKILL)
        return;
    waitpid(instance.m_process, nullptr, 0);
    instance.m_process = 0;
}

auto FleetInstances::reap() -> void
{
    for (auto& instance : m_instances) {
        int status = 0;
        if (instance.m_process <= 0 || waitpid(instance.m_process, &status, WNOHANG) <= 0)
            continue;
        instance.m_process = 0;
        m_record.write(instance.m_name, "ended with status " + std::to_string(status));
    }
}

} // namespace hemlockvane::fleetrun
