// Stand-ins of the users' platform for review/11 and later: store, machines, executors and clients, as the pages
// PROTOCOL.md and DEPLOY.md describe them, and the processes of the product that run against them. One thread.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace scene {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;

using Ms = std::chrono::milliseconds;
template <typename T> using Task = asio::awaitable<T>;

// What was sent, answered and run; a line an event, with the milliseconds since the begin.
class Record {
public:
    explicit Record(const std::string& path);
    ~Record();
    Record(const Record&) = delete;
    auto operator=(const Record&) -> Record& = delete;
    auto now() const -> std::int64_t;
    auto write(const std::string& who, const std::string& what) -> void;

private:
    std::FILE* m_file;
    std::chrono::steady_clock::time_point m_begin = std::chrono::steady_clock::now();
};

auto sleepMs(std::int64_t ms) -> Task<void>;
auto unixMs() -> std::int64_t;

struct Answer {
    unsigned m_status = 200;
    std::string m_body;
    bool m_isNone = false; // The connection is closed without an answer.
};

struct Call {
    std::string m_method;
    std::string m_target;
    std::string m_body;
    std::map<std::string, std::string> m_headers;
};

// One HTTP server; `closeAll` is the end of its process.
class Server : public std::enable_shared_from_this<Server> {
public:
    using Handler = std::function<Task<Answer>(Call)>;
    Server(asio::io_context& context, Handler handler);
    auto listen(const std::string& ip, std::uint16_t port) -> bool;
    auto closeAll() -> void;

private:
    auto accept() -> Task<void>;
    auto serve(std::shared_ptr<beast::tcp_stream> stream) -> Task<void>;

    asio::io_context& m_context;
    asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
    std::set<std::shared_ptr<beast::tcp_stream>> m_streams;
};

// One call on a connection of its own; empty without a complete answer in time.
auto callOnce(std::string ip, std::uint16_t port, Call call, Ms timeout) -> Task<std::optional<Answer>>;

struct World;

// The platform's store: topics with one partition.
class Store {
public:
    Store(asio::io_context& context, Record& record);
    auto handle(Call call) -> Task<Answer>;
    auto put(const std::string& topic, const std::string& key, const std::string& value) -> void;
    auto lastRecord(const std::string& topic) const -> std::string;
    std::int64_t m_delayMs = 0;
    World* m_random = nullptr; // Draws the faults.
    auto newestValue(const std::string& topic, const std::string& key) const -> std::optional<std::string>;

private:
    struct Producer {
        std::int64_t m_epoch = -1;
        std::int64_t m_sequence = -1;
        std::deque<std::pair<std::int64_t, std::string>> m_answers; // Of the last five appends, by sequence number.
    };
    struct Topic {
        std::vector<std::string> m_records;
        std::map<std::string, std::pair<std::string, std::uint64_t>> m_newest; // By key: value and offset.
        std::map<std::string, Producer> m_producers;
    };

    auto append(const std::map<std::string, std::string>& query, const std::string& body) -> Answer;
    auto read(std::map<std::string, std::string> query) -> Task<Answer>;
    auto newest(const std::map<std::string, std::string>& query) -> Answer;
    auto add(const std::string& name, const std::string& bytes) -> void;

    asio::io_context& m_context;
    Record& m_record;
    std::map<std::string, Topic> m_topics;
    std::uint64_t m_changes = 0;
};

// What a step's tasks need and do, by "ID.STEP".
struct StepFacts {
    std::int64_t m_cpu = 0;
    std::int64_t m_memMb = 0;
    std::int64_t m_workMs = 0;
    bool m_lasts = false;
    int m_gang = 0; // Members; 0: no gang.
    bool m_mayRunTwice = false;
};

struct Run {
    std::string m_task;
    std::int64_t m_run = 0;
    std::string m_executor;
    std::int64_t m_startedAt = 0;
    std::int64_t m_endedAt = -1;
    std::string m_how;
    std::int64_t m_notedAt = -1; // When the end was taken note of.
    bool m_hasLapsed = false; // Whether the executor's lease lapsed between the end and that.
    bool m_isLate = false; // Carried out seconds after the call.
};

class Executor;

// A gang's members that are present, by "JOB.K.STEP/RUN".
struct Gang {
    std::map<std::string, std::shared_ptr<Executor>> m_members; // By task.
    bool m_hasBegun = false;
    bool m_isOver = false;
};

struct World {
    World(asio::io_context& context, Record& record)
        : m_context(context)
        , m_record(record)
        , m_store(context, record)
    {
    }

    asio::io_context& m_context;
    Record& m_record;
    Store m_store;
    std::map<std::string, StepFacts> m_facts;
    std::deque<Run> m_runs;
    std::vector<std::shared_ptr<Executor>> m_executors;
    std::map<std::string, Gang> m_gangs;
    bool m_isCloudBusy = false; // The service of the machines answers 503 to all calls.
    std::map<std::string, std::int64_t> m_upkeepBegan; // By machine.
    std::set<std::string> m_underUpkeep;
    std::map<std::string, std::int64_t> m_highestToken; // By machine.
    std::int64_t m_holdMaxMs = 6000;
    std::int64_t m_gangMs = 3000;
    double m_lateCalls = 0; // Share of the calls to executors that get no answer and are carried out later.
    double m_lostAnswers = 0; // Share of the orders whose answers are lost.
    double m_lostAppends = 0; // Share of the appends whose answers are lost.
    std::uint64_t m_random = 1;
    auto draw() -> double; // From 0 to 1.
};

class Executor : public std::enable_shared_from_this<Executor> {
public:
    Executor(World& world, std::string id, std::string machine, std::string service, std::string zone, std::string rack,
        std::string ip, std::uint16_t port);
    auto start() -> bool; // Begins a life and registers it.
    auto crash() -> void;
    auto goDark() -> void; // Loses power: its connections stay open without a word until its next life.
    auto expire() -> Task<void>; // Its entry is removed after three heartbeats of silence.
    auto beat() -> Task<void>; // Writes its entry about every heartbeat while it is up.
    auto isUp() const -> bool { return m_isUp; }
    bool m_isHung = false; // Its calls get no answer and are not carried out; it goes on to write its entry.
    auto row() const -> json::object; // Of the list of machines.
    auto id() const -> const std::string& { return m_id; }
    auto machine() const -> const std::string& { return m_machine; }
    auto nextLife(std::string id) const -> std::shared_ptr<Executor>; // Of the same machine.
    auto activeRuns() const -> std::size_t { return m_active.size(); }
    // Of a member of a gang.
    auto endMember(const std::string& task, std::int64_t run, const std::string& how) -> void;
    auto beginMember(const std::string& task, std::int64_t run) -> void;

private:
    struct Active {
        Run* m_run = nullptr;
        StepFacts m_facts;
        std::int64_t m_endsAt = 0;
        std::string m_how = "done";
        std::string m_gang;
    };
    struct Ended {
        std::int64_t m_number;
        std::string m_task;
        std::int64_t m_run;
        std::string m_how;
        Run* m_record;
    };
    using Actives = std::map<std::pair<std::string, std::int64_t>, Active>;

    auto handle(Call call) -> Task<Answer>;
    auto carryOut(std::string target, json::object body, bool isLate) -> Task<Answer>;
    auto carryOutLate(std::string target, json::object body) -> Task<void>;
    auto startRun(const json::object& body, bool isLate) -> Answer;
    auto endRun(Actives::iterator item, const std::string& how) -> void;
    auto stopRun(const json::object& body) -> void;
    auto hold(json::object body) -> Task<Answer>;
    auto answer(unsigned status, json::object more) const -> Answer;
    auto extend(const json::object& body) -> void;
    auto clockMs() const -> std::int64_t;
    auto endDue() -> void;
    auto tick(std::uint64_t life) -> Task<void>;
    auto publish() -> void;
    auto endLife(const std::string& how) -> void;

    World& m_world;
    std::string m_id, m_machine, m_service, m_zone, m_rack, m_ip;
    std::uint16_t m_port;
    std::shared_ptr<Server> m_server;
    bool m_isUp = false;
    bool m_isDark = false;
    std::uint64_t m_life = 0;
    std::int64_t m_born = 0, m_clockBase = 0, m_fence = 0, m_lease = 0, m_nextEnd = 1, m_seq = 0, m_cpu = 0,
                 m_memMb = 0;
    Actives m_active;
    std::deque<Ended> m_ended;
    std::map<std::string, std::int64_t> m_highestEnded;
};

// The service of the machines: lists them and carries upkeeps out; there is one pool, so that none moves.
auto handleCloud(World& world, Call call) -> Task<Answer>;

// The processes of the product.
class Processes {
public:
    Processes(Record& record, std::string program, std::string folder, std::uint16_t basePort, int count);
    ~Processes();
    Processes(const Processes&) = delete;
    auto operator=(const Processes&) -> Processes& = delete;
    auto startAll() -> void;
    auto start(int index) -> void;
    auto send(int index, int signal) -> void;
    auto endAll() -> void;
    auto areAlive() -> bool;
    auto count() const -> int { return static_cast<int>(m_pids.size()); }
    auto ip(int index) const -> std::string { return "127.3.0." + std::to_string(index + 1); }
    auto frontPort() const -> std::uint16_t { return static_cast<std::uint16_t>(m_basePort + 2); }
    auto readyPort() const -> std::uint16_t { return static_cast<std::uint16_t>(m_basePort + 3); }

private:
    auto settings(int index) const -> std::string;

    Record& m_record;
    std::string m_program, m_folder;
    std::uint16_t m_basePort;
    std::vector<int> m_pids;
};

class Clients {
public:
    Clients(World& world, Processes& processes, std::string host, std::string key);
    // Hands a job in, up to five attempts at other instances in turn, as clients do after no answer, 502, 503 and 504.
    auto submit(std::string prefix, std::string id, json::object body) -> Task<unsigned>;
    auto get(std::string target) -> Task<std::optional<Answer>>;
    auto del(std::string target) -> Task<std::optional<Answer>>;
    auto isReady(int index) -> Task<bool>;

private:
    auto call(std::string method, std::string target, std::string body) -> Task<std::optional<Answer>>;

    World& m_world;
    Processes& m_processes;
    std::string m_host, m_key;
    int m_next = 0;
};

auto textOf(const json::object& object, std::string_view name) -> std::string;
auto numberOf(const json::object& object, std::string_view name) -> std::int64_t;

} // namespace scene
