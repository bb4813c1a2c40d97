#include "Commands.h"
#include "ExitCode.h"
#include "FormatAnswer.h"
#include "ParseArguments.h"

#include "hemlockvane/detail/client/EntryClient.h"
#include "hemlockvane/detail/client/UuidV7.h"
#include "hemlockvane/detail/text/JsonFields.h"

#include <boost/json.hpp>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <thread>

namespace hemlockvane::app {

namespace {

constexpr unsigned firstErrorStatus = 400;
constexpr std::chrono::milliseconds callMargin { 5000 }; // Added to the request's own timeout.
constexpr std::chrono::milliseconds pollInterval { 200 };

struct SubmitOptions {
    std::vector<std::string> m_addresses;
    std::string m_key;
    std::string m_method;
    std::string m_body;
    std::string m_idempotencyKey;
    std::string m_job;
    std::string m_command;
    std::int64_t m_timeoutMs = 0;
    std::int64_t m_cores = 0;
    std::int64_t m_memoryMb = 0;
    std::int64_t m_accelerators = 0;
    std::int64_t m_runSeconds = 0;
    std::int64_t m_maximumAttempts = 0;
    std::int64_t m_deadlineMs = 0;
    std::int64_t m_waitSeconds = 0;
    bool m_isUrgent = false;
    bool m_isRepeatable = false;
    std::vector<std::string> m_words;
};

auto splitAddresses(std::string_view text) -> std::vector<std::string>
{
    std::vector<std::string> addresses;
    while (!text.empty()) {
        const auto comma = std::min(text.find(','), text.size());
        addresses.emplace_back(text.substr(0, comma));
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return addresses;
}

auto readOptions(int argc, char** argv) -> SubmitOptions
{
    using Text = TCLAP::ValueArg<std::string>;
    using Number = TCLAP::ValueArg<std::int64_t>;
    const auto* const environmentKey = std::getenv("HEMLOCKVANE_KEY");
    TCLAP::CmdLine line("Callers' command line");
    Text addresses("", "address", "callers' addresses, tried in turn", false, "127.0.0.1:8080", "IP:port,...", line);
    Text key(
        "", "key", "team's key (default: HEMLOCKVANE_KEY)", false, environmentKey ? environmentKey : "", "KEY", line);
    Text method("", "method", "HTTP method of a request", false, "POST", "METHOD", line);
    Text body("", "body", "body of a request", false, "", "TEXT", line);
    Text idempotency(
        "", "idempotency-key", "UUIDv7 under which a request runs once (default: a new one)", false, "", "UUID", line);
    Text job("", "job", "id of a job (default: a new one)", false, "", "ID", line);
    Text command("", "command", "command that a job runs", false, "", "TEXT", line);
    Number timeout("", "timeout-ms", "deadline of a request", false, 10000, "MS", line);
    Number cores("", "cores", "CPU cores that a job declares", false, 1, "CORES", line);
    Number memory("", "memory-mb", "memory that a job declares", false, 256, "MB", line);
    Number accelerators("", "accelerators", "accelerators that a job declares", false, 0, "NUMBER", line);
    Number run("", "run-seconds", "declared run time of a job", false, 60, "SECONDS", line);
    Number attempts("", "max-attempts", "attempts of a job (default: the queue's setting)", false, 0, "NUMBER", line);
    Number deadline("", "deadline-ms", "time after which a job is given up (0: never)", false, 0, "MS", line);
    Number wait("", "wait", "time to wait for a job to end", false, 0, "SECONDS", line);
    TCLAP::SwitchArg urgent("", "urgent", "run before work that is not urgent", line);
    TCLAP::SwitchArg repeatable("", "repeatable", "may run more than once", line);
    TCLAP::UnlabeledMultiArg<std::string> words("command-words", "command and its arguments", true, "COMMAND", line);
    parseArguments(line, argc, argv);
    return { splitAddresses(addresses.getValue()), key.getValue(), method.getValue(), body.getValue(),
        idempotency.getValue(), job.getValue(), command.getValue(), timeout.getValue(), cores.getValue(),
        memory.getValue(), accelerators.getValue(), run.getValue(), attempts.getValue(), deadline.getValue(),
        wait.getValue(), urgent.getValue(), repeatable.getValue(), words.getValue() };
}

auto printUsage() -> int
{
    std::fputs("usage: hemlockvane submit [--address IP:port,...] [--key KEY] COMMAND\n"
               "  request QUEUE PATH [--method M] [--body TEXT] [--repeatable] [--idempotency-key UUID]"
               " [--timeout-ms MS] [--urgent]\n"
               "  job QUEUE --command TEXT [--job ID] [--cores N] [--memory-mb N] [--accelerators N]"
               " [--run-seconds N] [--max-attempts N] [--deadline-ms N] [--urgent] [--repeatable] [--wait SECONDS]\n"
               "  status JOB [--wait SECONDS]\n"
               "  cancel JOB...\n",
        stderr);
    return ExitUsage;
}

auto send(const SubmitOptions& options, detail::HttpRequest request, bool isIdempotent, FailureReason& reason)
    -> std::optional<detail::HttpResponse>
{
    if (!options.m_key.empty())
        request.m_headers.push_back({ "Authorization", "Bearer " + options.m_key });
    const auto timeout = std::chrono::milliseconds(options.m_timeoutMs) + callMargin;
    return detail::callEntries(options.m_addresses, request, isIdempotent, timeout, reason);
}

auto printResponse(const std::optional<detail::HttpResponse>& response, const FailureReason& reason) -> int
{
    if (!response) {
        const auto isAnswerLost = reason.m_kind == ErrorKind::AnswerLost;
        std::fprintf(
            stderr, "no entry answered (%s): %s\n", isAnswerLost ? "may have run" : "not run", reason.m_text.c_str());
        return ExitNotReachable;
    }
    std::fputs(response->m_body.c_str(), stdout);
    if (const auto refusal = detail::readRefusal(*response))
        std::fputs(formatRefusal(*refusal).c_str(), stderr);
    return response->m_status < firstErrorStatus ? ExitAccepted : ExitRefused;
}

auto sendRequest(const SubmitOptions& options) -> int
{
    const auto isRead = options.m_method == "GET" || options.m_method == "HEAD";
    const auto path = options.m_words[2].starts_with('/') ? options.m_words[2] : "/" + options.m_words[2];
    detail::HttpRequest request { options.m_method, "/v1/requests/" + options.m_words[1] + path, {}, options.m_body };
    request.m_headers.push_back({ "X-Request-Timeout-Ms", std::to_string(options.m_timeoutMs) });
    request.m_headers.push_back({ "X-Priority", options.m_isUrgent ? "urgent" : "normal" });
    if (!isRead && !options.m_isRepeatable) {
        const auto key = options.m_idempotencyKey.empty() ? detail::makeUuidV7() : options.m_idempotencyKey;
        request.m_headers.push_back({ "Idempotency-Key", key });
    }
    FailureReason reason;
    const auto response = send(options, std::move(request), true, reason);
    return printResponse(response, reason);
}

auto hasEnded(const detail::HttpResponse& response) -> bool
{
    const auto body = detail::parseObject(response.m_body);
    const auto status = body ? detail::textOf(*body, "status") : std::string();
    return status != "queued" && status != "running";
}

auto showStatus(const SubmitOptions& options, const std::string& job) -> int
{
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(options.m_waitSeconds);
    while (true) {
        FailureReason reason;
        const auto response = send(options, { "GET", "/v1/jobs/" + job, {}, {} }, true, reason);
        if (!response || hasEnded(*response) || std::chrono::steady_clock::now() >= until)
            return printResponse(response, reason);
        std::this_thread::sleep_for(pollInterval);
    }
}

// The client chooses the job id, so that a retry through another entry submits the same job.
auto sendJob(const SubmitOptions& options) -> int
{
    const auto job = options.m_job.empty() ? "job-" + detail::makeUuidV7() : options.m_job;
    boost::json::object body { { "job", job }, { "queue", options.m_words[1] }, { "command", options.m_command },
        { "cores", options.m_cores }, { "memory_mb", options.m_memoryMb }, { "accelerators", options.m_accelerators },
        { "run_seconds", options.m_runSeconds }, { "urgent", options.m_isUrgent },
        { "repeatable", options.m_isRepeatable }, { "deadline_ms", options.m_deadlineMs } };
    if (options.m_maximumAttempts > 0)
        body["max_attempts"] = options.m_maximumAttempts;
    FailureReason reason;
    const auto response = send(options,
        { "POST", "/v1/jobs", { { "Content-Type", "application/json" } }, boost::json::serialize(body) }, true, reason);
    const auto code = printResponse(response, reason);
    if (code != ExitAccepted || options.m_waitSeconds == 0)
        return code;
    return showStatus(options, job);
}

auto cancelJobs(const SubmitOptions& options) -> int
{
    boost::json::array jobs(options.m_words.begin() + 1, options.m_words.end());
    const auto body = boost::json::serialize(boost::json::object { { "jobs", std::move(jobs) } });
    FailureReason reason;
    const auto response
        = send(options, { "POST", "/v1/jobs/cancel", { { "Content-Type", "application/json" } }, body }, true, reason);
    return printResponse(response, reason);
}

} // namespace

} // namespace hemlockvane::app

auto runSubmit(int argc, char** argv) -> int
{
    using namespace hemlockvane::app;
    if (argc < 2)
        return printUsage();
    const auto options = readOptions(argc, argv);
    const auto& words = options.m_words;
    if (words[0] == "request" && words.size() == 3)
        return sendRequest(options);
    if (words[0] == "job" && words.size() == 2)
        return sendJob(options);
    if (words[0] == "status" && words.size() == 2)
        return showStatus(options, words[1]);
    if (words[0] == "cancel" && words.size() > 1)
        return cancelJobs(options);
    return printUsage();
}
