// Sends requests beyond the limits of a server, prints "sent" once all clients have sent what they were told to or were
// closed, and keeps the connections open until it is ended.
#include "HostileClients.h"

#include "hemlockvane/detail/async/Signal.h"
#include "hemlockvane/detail/program/RunMain.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <string>
#include <vector>

namespace hemlockvane::hostile {

namespace {

constexpr Duration checkInterval { 50 };
constexpr Duration longestRun { 240000 }; // Ends by itself if the caller does not end it.

auto report(boost::asio::io_context& context, const HostileClients& clients) -> boost::asio::awaitable<void>
{
    while (clients.sending() > 0)
        co_await detail::sleepFor(checkInterval);
    std::printf("sent, %zu closed by the server\n", clients.closedByServer());
    std::fflush(stdout);
    co_await detail::sleepFor(longestRun);
    context.stop();
}

auto run(int count, char** arguments) -> int
{
    ::signal(SIGPIPE, SIG_IGN);
    std::vector<std::string> names;
    for (const auto& [name, kind] : hostileKinds)
        names.emplace_back(name);
    TCLAP::ValuesConstraint<std::string> kinds(names);
    TCLAP::CmdLine command("Sends requests beyond the limits of a server");
    const TCLAP::ValueArg<std::string> target("", "target", "address", true, "", "address", command);
    const TCLAP::ValueArg<std::string> path("", "path", "of the requests", false, "/v1/jobs", "path", command);
    const TCLAP::ValueArg<std::string> kindName("", "kind", "what they do", true, "", &kinds, command);
    const TCLAP::ValueArg<std::size_t> clients("", "clients", "", false, 1, "number", command);
    const TCLAP::ValueArg<std::size_t> bytes("", "bytes", "that each client sends", true, 0, "number", command);
    command.parse(count, arguments);
    const auto* kind = std::find_if(
        hostileKinds.begin(), hostileKinds.end(), [&](const auto& item) { return item.first == kindName.getValue(); });
    boost::asio::io_context context;
    HostileClients crowd(context, kind->second, target.getValue(), path.getValue(), bytes.getValue());
    crowd.start(clients.getValue());
    boost::asio::co_spawn(context, report(context, crowd), boost::asio::detached);
    context.run();
    return 0;
}

} // namespace

} // namespace hemlockvane::hostile

auto main(int argc, char** argv) -> int
{
    return hemlockvane::detail::runMain(
        argc, argv, [](int count, char** arguments) { return hemlockvane::hostile::run(count, arguments); });
}
