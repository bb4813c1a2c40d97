// Plays a deployment with real processes of the product and checks TWICE, LOST and EVAC as the users' pages word them.
// Exit codes: 0 the rules held, 1 a rule was broken, 2 the play could not be run.
#include "FleetPlay.h"

#include "hemlockvane/detail/program/RunMain.h"

#include <tclap/CmdLine.h>

#include <string>
#include <vector>

namespace hemlockvane::fleetrun {

namespace {

auto parse(int count, char** arguments) -> FleetOptions
{
    std::vector<std::string> siteNames { "roata", "maraval" };
    TCLAP::CmdLine command("Plays a deployment with real processes, and checks TWICE, LOST and EVAC");
    const TCLAP::ValueArg<std::string> program("", "program", "path of hemlockvane", true, "", "path", command);
    const TCLAP::ValueArg<std::string> folder("", "folder", "for records and logs", true, "", "path", command);
    const TCLAP::ValueArg<std::uint64_t> seed("", "seed", "", false, 1, "number", command);
    const TCLAP::ValueArg<int> seconds("", "seconds", "of traffic", false, 30, "s", command);
    const TCLAP::ValueArg<int> basePort("", "port", "first of eight free ports", false, 21000, "number", command);
    const TCLAP::ValueArg<std::string> troubles(
        "", "troubles", "names, joined by commas; see FleetTroubles", false, "", "names", command);
    TCLAP::ValuesConstraint<std::string> sites(siteNames);
    const TCLAP::ValueArg<std::string> site("", "site", "deployment", false, "roata", &sites, command);
    const TCLAP::ValueArg<double> load("", "load", "share of the site's rates", false, 0.5, "share", command);
    const TCLAP::ValueArg<double> work("", "work", "factor of the time that a task takes", false, 1, "factor", command);
    const TCLAP::ValueArg<double> hopeless(
        "", "hopeless", "share of jobs that always fail", false, 0.05, "share", command);
    const TCLAP::ValueArg<double> cancelled(
        "", "cancelled", "share of jobs that are cancelled", false, 0, "share", command);
    const TCLAP::ValueArg<double> longJobs(
        "", "long", "share of jobs that take 12 times as long", false, 0, "share", command);
    const TCLAP::ValueArg<int> memory("", "memory", "of each machine", false, 260, "MB", command);
    const TCLAP::SwitchArg lasting("", "lasting", "also tasks that last", command);
    const TCLAP::SwitchArg watch("", "watch-requests", "also requests on connections that are kept open", command);
    command.parse(count, arguments);
    FleetOptions options;
    options.m_program = program.getValue();
    options.m_folder = folder.getValue();
    options.m_seed = seed.getValue();
    options.m_seconds = seconds.getValue();
    options.m_basePort = static_cast<std::uint16_t>(basePort.getValue());
    options.m_troubles = troubles.getValue();
    options.m_site = site.getValue();
    options.m_work = work.getValue();
    options.m_load.m_scale = load.getValue();
    options.m_load.m_hopeless = hopeless.getValue();
    options.m_load.m_cancelled = cancelled.getValue();
    options.m_load.m_long = longJobs.getValue();
    options.m_load.m_hasLasting = lasting.getValue();
    options.m_memoryMb = memory.getValue();
    options.m_watchesRequests = watch.getValue();
    return options;
}

} // namespace

} // namespace hemlockvane::fleetrun

auto main(int argc, char** argv) -> int
{
    return hemlockvane::detail::runMain(argc, argv, [](int count, char** arguments) {
        hemlockvane::fleetrun::FleetPlay play(hemlockvane::fleetrun::parse(count, arguments));
        return play.run();
    });
}
