#include "Scene.hh"

#include <openssl/evp.h>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <fstream>

namespace scene {

using tcp = asio::ip::tcp;

Record::Record(const std::string& path)
    : m_file(std::fopen(path.c_str(), "w"))
{
}

Record::~Record()
{
    if (m_file != nullptr)
        std::fclose(m_file);
}

auto Record::now() const -> std::int64_t
{
    return std::chrono::duration_cast<Ms>(std::chrono::steady_clock::now() - m_begin).count();
}

auto Record::write(const std::string& who, const std::string& what) -> void
{
    if (m_file == nullptr)
        return;
    std::fprintf(m_file, "%8lld %s: %s\n", static_cast<long long>(now()), who.c_str(), what.c_str());
    std::fflush(m_file);
}

auto sleepMs(std::int64_t ms) -> Task<void>
{
    asio::steady_timer timer(co_await asio::this_coro::executor, Ms(ms));
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
}

auto unixMs() -> std::int64_t
{
    return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count();
}

auto textOf(const json::object& object, std::string_view name) -> std::string
{
    const auto* value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

auto numberOf(const json::object& object, std::string_view name) -> std::int64_t
{
    const auto* value = object.if_contains(name);
    return value != nullptr && value->is_number() ? value->to_number<std::int64_t>() : 0;
}

Server::Server(asio::io_context& context, Handler handler)
    : m_context(context)
    , m_acceptor(context)
    , m_handler(std::move(handler))
{
}

auto Server::listen(const std::string& ip, std::uint16_t port) -> bool
{
    boost::system::error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(ip), port);
    m_acceptor.open(endpoint.protocol(), error);
    m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    m_acceptor.bind(endpoint, error);
    if (!error)
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return false;
    asio::co_spawn(
        m_context, [self = shared_from_this()] { return self->accept(); }, asio::detached);
    return true;
}

auto Server::closeAll() -> void
{
    boost::system::error_code error;
    m_acceptor.close(error);
    for (const auto& stream : m_streams) {
        stream->socket().set_option(asio::socket_base::linger(true, 0), error);
        stream->close();
    }
}

auto Server::accept() -> Task<void>
{
    const auto self = shared_from_this();
    while (m_acceptor.is_open()) {
        boost::system::error_code error;
        auto socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted)
            co_return;
        if (error)
            continue;
        socket.set_option(tcp::no_delay(true), error);
        auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
        m_streams.insert(stream);
        asio::co_spawn(m_context, serve(stream), asio::detached);
    }
}

auto Server::serve(std::shared_ptr<beast::tcp_stream> stream) -> Task<void>
{
    const auto self = shared_from_this();
    beast::flat_buffer buffer;
    while (true) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(16U << 20U);
        boost::system::error_code error;
        co_await http::async_read(*stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            break;
        auto message = parser.release();
        Call call;
        call.m_method = std::string(message.method_string());
        call.m_target = std::string(message.target());
        for (const auto& field : message)
            call.m_headers[std::string(field.name_string())] = std::string(field.value());
        call.m_body = std::move(message.body());
        const auto keepAlive = message.keep_alive();
        const auto answer = co_await m_handler(std::move(call));
        if (answer.m_isNone)
            break;
        http::response<http::string_body> response;
        response.version(11);
        response.result(answer.m_status);
        response.set(http::field::content_type, "application/json");
        response.keep_alive(keepAlive);
        response.body() = answer.m_body;
        response.prepare_payload();
        co_await http::async_write(*stream, response, asio::redirect_error(asio::use_awaitable, error));
        if (error || !keepAlive)
            break;
    }
    stream->close();
    m_streams.erase(stream);
}

auto callOnce(std::string ip, std::uint16_t port, Call call, Ms timeout) -> Task<std::optional<Answer>>
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(timeout);
    boost::system::error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(ip), port);
    co_await stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return std::nullopt;
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(call.m_method);
    request.target(call.m_target);
    for (const auto& [name, value] : call.m_headers)
        request.set(name, value);
    request.body() = call.m_body;
    request.prepare_payload();
    co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return std::nullopt;
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    co_await http::async_read(stream, buffer, response, asio::redirect_error(asio::use_awaitable, error));
    stream.close();
    if (error)
        co_return std::nullopt;
    co_return Answer { response.result_int(), std::move(response.body()), false };
}

namespace {

auto parseQuery(const std::string& target) -> std::map<std::string, std::string>
{
    std::map<std::string, std::string> query;
    const auto mark = target.find('?');
    auto rest = mark == std::string::npos ? std::string() : target.substr(mark + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto item = rest.substr(0, end);
        const auto split = item.find('=');
        if (split != std::string::npos)
            query[item.substr(0, split)] = item.substr(split + 1);
        rest = end == std::string::npos ? std::string() : rest.substr(end + 1);
    }
    return query;
}

auto numberIn(const std::map<std::string, std::string>& query, const std::string& name, std::int64_t fallback)
    -> std::int64_t
{
    const auto found = query.find(name);
    return found == query.end() ? fallback : std::stoll(found->second);
}

auto bigEndian(std::uint64_t value, int bytes) -> std::string
{
    std::string text;
    for (auto shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
        text.push_back(static_cast<char>((value >> static_cast<unsigned>(shift)) & 0xffU));
    return text;
}

auto base64(const std::string& bytes) -> std::string
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const auto length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
        reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

constexpr std::size_t pageItems = 500;
constexpr std::size_t pageBytes = 1U << 20U;
constexpr std::size_t fetchLimit = 1024;
constexpr std::size_t keptAnswers = 5;
constexpr std::int64_t appendMs = 2;

} // namespace

Store::Store(asio::io_context& context, Record& record)
    : m_context(context)
    , m_record(record)
{
}

auto Store::add(const std::string& name, const std::string& bytes) -> void
{
    auto& topic = m_topics[name];
    topic.m_records.push_back(bytes);
    ++m_changes;
    if (!name.starts_with("keyed.") || bytes.empty())
        return;
    const auto length = static_cast<std::size_t>(static_cast<unsigned char>(bytes[0]));
    const auto key = bytes.substr(1, length);
    const auto value = bytes.substr(1 + length);
    if (value.empty())
        topic.m_newest.erase(key);
    else
        topic.m_newest[key] = { value, topic.m_records.size() - 1 };
}

auto Store::put(const std::string& topic, const std::string& key, const std::string& value) -> void
{
    add(topic, std::string(1, static_cast<char>(key.size())) + key + value);
}

auto Store::newestValue(const std::string& topic, const std::string& key) const -> std::optional<std::string>
{
    const auto found = m_topics.find(topic);
    if (found == m_topics.end() || !found->second.m_newest.contains(key))
        return std::nullopt;
    return found->second.m_newest.at(key).first;
}

auto Store::lastRecord(const std::string& topic) const -> std::string
{
    const auto found = m_topics.find(topic);
    return found == m_topics.end() || found->second.m_records.empty() ? std::string() : found->second.m_records.back();
}

auto Store::append(const std::map<std::string, std::string>& query, const std::string& body) -> Answer
{
    const auto name = query.at("topic");
    auto& topic = m_topics[name];
    const auto end = topic.m_records.size();
    if (query.contains("at") && static_cast<std::uint64_t>(numberIn(query, "at", 0)) != end)
        return { 412, json::serialize(json::object { { "end", end } }), false };
    auto* producer = query.contains("producer") ? &topic.m_producers[query.at("producer")] : nullptr;
    const auto epoch = numberIn(query, "epoch", 0);
    const auto sequence = numberIn(query, "seq", 0);
    if (producer != nullptr) {
        if (epoch < producer->m_epoch)
            return { 409, R"({"reason":"fenced"})", false };
        if (epoch == producer->m_epoch) {
            for (const auto& [known, answer] : producer->m_answers) {
                if (known == sequence)
                    return { 200, answer, false };
            }
            if (sequence != producer->m_sequence + 1)
                return { 409,
                    json::serialize(json::object { { "reason", "seq" }, { "seq", producer->m_sequence + 1 } }), false };
        } else {
            producer->m_answers.clear();
        }
        producer->m_epoch = epoch;
        producer->m_sequence = sequence;
    }
    std::size_t position = 0;
    while (position + 4 <= body.size()) {
        std::size_t length = 0;
        for (std::size_t i = 0; i < 4; ++i)
            length = length * 256 + static_cast<unsigned char>(body[position + i]);
        add(name, body.substr(position + 4, length));
        position += 4 + length;
    }
    auto answer = json::serialize(json::object { { "offset", end }, { "end", m_topics[name].m_records.size() } });
    if (producer != nullptr) {
        producer->m_answers.emplace_back(sequence, answer);
        if (producer->m_answers.size() > keptAnswers)
            producer->m_answers.pop_front();
    }
    return { 200, std::move(answer), false };
}

auto Store::read(std::map<std::string, std::string> query) -> Task<Answer>
{
    const auto name = query.at("topic");
    const auto from = static_cast<std::size_t>(numberIn(query, "from", 0));
    const auto until = std::chrono::steady_clock::now() + Ms(numberIn(query, "waitMs", 0));
    while (m_topics[name].m_records.size() <= from && std::chrono::steady_clock::now() < until)
        co_await sleepMs(2);
    const auto& records = m_topics[name].m_records;
    auto body = bigEndian(records.size(), 8) + bigEndian(0, 8);
    for (auto offset = from; offset < records.size() && offset < from + fetchLimit; ++offset)
        body += bigEndian(records[offset].size(), 4) + records[offset];
    co_return Answer { 200, std::move(body), false };
}

auto Store::newest(const std::map<std::string, std::string>& query) -> Answer
{
    const auto& topic = m_topics[query.at("topic")];
    const auto after = query.contains("after") ? query.at("after") : std::string();
    json::array items;
    std::size_t bytes = 0;
    auto hasMore = false;
    for (auto item = topic.m_newest.upper_bound(after); item != topic.m_newest.end(); ++item) {
        if (items.size() >= pageItems || bytes > pageBytes) {
            hasMore = true;
            break;
        }
        bytes += item->second.first.size();
        items.push_back(json::object {
            { "key", item->first }, { "value", base64(item->second.first) }, { "offset", item->second.second } });
    }
    return { 200,
        json::serialize(
            json::object { { "items", std::move(items) }, { "hasMore", hasMore }, { "end", topic.m_records.size() } }),
        false };
}

auto Store::handle(Call call) -> Task<Answer>
{
    auto query = parseQuery(call.m_target);
    const auto path = call.m_target.substr(0, call.m_target.find('?'));
    if (path == "/hemlockvane/log-append") {
        co_await sleepMs(appendMs + m_delayMs);
        auto answer = append(query, call.m_body);
        if (m_random != nullptr && m_random->draw() < m_random->m_lostAppends) {
            co_await sleepMs(1500);
            answer.m_isNone = true;
        }
        co_return answer;
    }
    if (path == "/hemlockvane/log-read") {
        auto answer = co_await read(std::move(query));
        co_return answer;
    }
    if (path == "/hemlockvane/log-newest")
        co_return newest(query);
    m_record.write("store", "unexpected " + call.m_method + " " + call.m_target);
    co_return Answer { 404, "{}", false };
}

namespace {

constexpr std::int64_t heartbeatMs = 1500;
constexpr std::int64_t executorCpu = 64000;
constexpr std::int64_t executorMemMb = 262144;
constexpr std::int64_t stopMs = 50;
constexpr std::size_t listedEnds = 500;

} // namespace

auto World::draw() -> double
{
    m_random ^= m_random << 13U;
    m_random ^= m_random >> 7U;
    m_random ^= m_random << 17U;
    return static_cast<double>(m_random >> 11U) / 9007199254740992.0;
}

namespace {

auto stepNameOf(const std::string& task) -> std::string { return task.substr(0, task.rfind('.')); }

// Ends all members of a gang but one in the same way.
auto endOthers(World& world, const std::string& name, const std::string& task, std::int64_t run, const std::string& how)
    -> void
{
    auto& gang = world.m_gangs[name];
    if (gang.m_isOver)
        return;
    gang.m_isOver = true;
    const auto members = gang.m_members;
    for (const auto& [member, executor] : members) {
        if (member != task)
            executor->endMember(member, run, how);
    }
}

} // namespace

Executor::Executor(World& world, std::string id, std::string machine, std::string service, std::string zone,
    std::string rack, std::string ip, std::uint16_t port)
    : m_world(world)
    , m_id(std::move(id))
    , m_machine(std::move(machine))
    , m_service(std::move(service))
    , m_zone(std::move(zone))
    , m_rack(std::move(rack))
    , m_ip(std::move(ip))
    , m_port(port)
{
}

auto Executor::start() -> bool
{
    if (m_isDark)
        m_server->closeAll();
    m_isDark = false;
    m_server = std::make_shared<Server>(
        m_world.m_context, [self = shared_from_this()](Call call) { return self->handle(std::move(call)); });
    if (!m_server->listen(m_ip, m_port)) {
        m_world.m_record.write(m_id, "cannot listen");
        return false;
    }
    ++m_life;
    m_isUp = true;
    m_born = unixMs();
    m_clockBase = m_world.m_record.now();
    m_fence = 0;
    m_lease = 0;
    m_nextEnd = 1;
    m_cpu = 0;
    m_memMb = 0;
    m_active.clear();
    m_ended.clear();
    m_highestEnded.clear();
    m_world.m_record.write(m_id, "up, born " + std::to_string(m_born));
    publish();
    asio::co_spawn(m_world.m_context, tick(m_life), asio::detached);
    return true;
}

auto Executor::crash() -> void
{
    endLife("crashes");
    m_server->closeAll();
}

auto Executor::goDark() -> void
{
    m_isDark = true;
    endLife("loses power");
}

auto Executor::endLife(const std::string& how) -> void
{
    m_isUp = false;
    ++m_life;
    m_world.m_record.write(m_id, how + " with " + std::to_string(m_active.size()) + " runs");
    const auto ended = std::move(m_active);
    m_active.clear();
    for (const auto& [key, active] : ended) {
        active.m_run->m_endedAt = m_world.m_record.now();
        active.m_run->m_how = "crash";
        if (!active.m_gang.empty())
            endOthers(m_world, active.m_gang, key.first, key.second, "broken");
    }
}

auto Executor::endMember(const std::string& task, std::int64_t run, const std::string& how) -> void
{
    const auto item = m_active.find({ task, run });
    if (item != m_active.end())
        endRun(item, how);
}

auto Executor::beginMember(const std::string& task, std::int64_t run) -> void
{
    const auto item = m_active.find({ task, run });
    if (item == m_active.end() || item->second.m_how != "alone")
        return;
    item->second.m_endsAt = clockMs() + item->second.m_facts.m_workMs;
    item->second.m_how = "done";
}

auto Executor::publish() -> void
{
    m_world.m_store.put("keyed.servers", m_id,
        json::serialize(json::object { { "service", m_service }, { "address", m_ip + ":" + std::to_string(m_port) },
            { "zone", m_zone }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "coldRemainingMs", 0 },
            { "seq", ++m_seq }, { "capacity", { { "cpu", executorCpu }, { "memMb", executorMemMb }, { "gpu", 0 } } },
            { "labels", json::array { "a", m_rack } }, { "born", m_born } }));
}

auto Executor::expire() -> Task<void>
{
    const auto self = shared_from_this();
    co_await sleepMs(3 * heartbeatMs);
    if (m_isUp)
        co_return;
    m_world.m_record.write(m_id, "entry removed");
    m_world.m_store.put("keyed.servers", m_id, {});
}

auto Executor::beat() -> Task<void>
{
    const auto self = shared_from_this();
    while (true) {
        co_await sleepMs(heartbeatMs);
        if (m_isUp)
            publish();
    }
}

auto Executor::row() const -> json::object
{
    const auto isAway = m_world.m_underUpkeep.contains(m_machine);
    return { { "machine", m_machine }, { "pool", m_service },
        { "state",
            isAway       ? "upkeep"
                : m_isUp ? "up"
                         : "down" },
        { "zone", m_zone }, { "labels", json::array { "a", m_rack } },
        { "capacity", { { "cpu", executorCpu }, { "memMb", executorMemMb }, { "gpu", 0 } } }, { "id", m_id } };
}

auto Executor::clockMs() const -> std::int64_t { return m_world.m_record.now() - m_clockBase + 1; }

auto Executor::answer(unsigned status, json::object more) const -> Answer
{
    more["clockMs"] = clockMs();
    more["born"] = m_born;
    return { status, json::serialize(more), false };
}

auto Executor::handle(Call call) -> Task<Answer>
{
    const auto self = shared_from_this();
    const auto life = m_life;
    while (m_isDark && m_life == life)
        co_await sleepMs(5);
    if (!m_isUp || m_life != life)
        co_return Answer { 0, {}, true };
    while (m_isHung && m_life == life)
        co_await sleepMs(5);
    if (m_life != life)
        co_return Answer { 0, {}, true };
    endDue();
    const auto expected = call.m_headers.find("Hemlockvane-Expect-Instance");
    if (expected != call.m_headers.end() && expected->second != m_id)
        co_return answer(421, {});
    auto body = json::parse(call.m_body).as_object();
    if (m_world.draw() < m_world.m_lateCalls) {
        asio::co_spawn(m_world.m_context, carryOutLate(call.m_target, std::move(body)), asio::detached);
        co_await sleepMs(2500);
        co_return Answer { 0, {}, true };
    }
    auto result = co_await carryOut(call.m_target, std::move(body), false);
    while (m_isDark)
        co_await sleepMs(5);
    if (life != m_life)
        co_return Answer { 0, {}, true };
    if (call.m_target != "/hemlockvane/hold" && m_world.draw() < m_world.m_lostAnswers) {
        m_world.m_record.write(m_id, "loses the answer of " + call.m_target + " " + call.m_body);
        co_await sleepMs(1000);
        co_return Answer { 0, {}, true };
    }
    co_return result;
}

auto Executor::carryOut(std::string target, json::object body, bool isLate) -> Task<Answer>
{
    const auto fence = numberOf(body, "fence");
    if (fence < m_fence)
        co_return answer(409, { { "reason", "fence" } });
    m_fence = fence;
    if (target == "/hemlockvane/run-start")
        co_return startRun(body, isLate);
    if (target == "/hemlockvane/hold") {
        auto report = co_await hold(std::move(body));
        co_return report;
    }
    if (target == "/hemlockvane/run-stop")
        stopRun(body);
    co_return answer(200, {});
}

auto Executor::carryOutLate(std::string target, json::object body) -> Task<void>
{
    const auto self = shared_from_this();
    const auto delay = 300 + static_cast<std::int64_t>(m_world.draw() * 11000);
    co_await sleepMs(delay);
    if (!m_isUp)
        co_return;
    endDue();
    m_world.m_record.write(m_id, "carries out late " + target + " " + json::serialize(body));
    co_await carryOut(std::move(target), std::move(body), true);
}

auto Executor::extend(const json::object& body) -> void
{
    m_lease = std::max(m_lease, std::min(numberOf(body, "deadlineMs"), clockMs() + m_world.m_holdMaxMs));
}

auto Executor::startRun(const json::object& body, bool isLate) -> Answer
{
    const std::pair key(textOf(body, "task"), numberOf(body, "run"));
    const auto name = key.first + " run " + std::to_string(key.second);
    if (m_active.contains(key)) {
        extend(body);
        return answer(200, {});
    }
    if (numberOf(body, "deadlineMs") <= clockMs())
        return answer(409, { { "reason", "late" } });
    extend(body);
    if (m_highestEnded.contains(key.first) && key.second <= m_highestEnded.at(key.first))
        return answer(409, { { "reason", "old" } });
    // ID.STEP of ID.K.STEP.INDEX.
    const auto first = key.first.find('.');
    const auto second = key.first.find('.', first + 1);
    const auto third = key.first.rfind('.');
    const auto found = m_world.m_facts.find(key.first.substr(0, first) + key.first.substr(second, third - second));
    if (found == m_world.m_facts.end()) {
        m_world.m_record.write(m_id, "start of a task that nobody sent: " + name);
        return answer(400, {});
    }
    const auto& facts = found->second;
    if (m_cpu + facts.m_cpu > executorCpu || m_memMb + facts.m_memMb > executorMemMb)
        return answer(409, { { "reason", "room" } });
    m_cpu += facts.m_cpu;
    m_memMb += facts.m_memMb;
    m_world.m_runs.push_back({ key.first, key.second, m_id, m_world.m_record.now(), -1, {}, -1, false, isLate });
    Active active;
    active.m_run = &m_world.m_runs.back();
    active.m_facts = facts;
    active.m_endsAt = facts.m_lasts ? INT64_MAX : clockMs() + facts.m_workMs;
    if (facts.m_gang > 0) {
        active.m_gang = stepNameOf(key.first) + "/" + std::to_string(key.second);
        active.m_endsAt = clockMs() + m_world.m_gangMs;
        active.m_how = "alone";
    }
    m_active.emplace(key, active);
    if (facts.m_gang > 0) {
        auto& gang = m_world.m_gangs[active.m_gang];
        gang.m_members[key.first] = shared_from_this();
        if (!gang.m_isOver && static_cast<int>(gang.m_members.size()) == facts.m_gang) {
            gang.m_hasBegun = true;
            for (const auto& [member, executor] : gang.m_members)
                executor->beginMember(member, key.second);
        }
    }
    m_world.m_record.write(m_id, "start " + name + " fence " + std::to_string(m_fence));
    return answer(200, {});
}

auto Executor::stopRun(const json::object& body) -> void
{
    const std::pair key(textOf(body, "task"), numberOf(body, "run"));
    m_world.m_record.write(m_id, "stop " + key.first + " run " + std::to_string(key.second));
    const auto active = m_active.find(key);
    if (active == m_active.end()) {
        m_highestEnded[key.first] = std::max(m_highestEnded[key.first], key.second);
        return;
    }
    if (active->second.m_endsAt <= clockMs() + stopMs)
        return;
    active->second.m_endsAt = clockMs() + stopMs;
    active->second.m_how = "stopped";
}

auto Executor::hold(json::object body) -> Task<Answer>
{
    const auto life = m_life;
    extend(body);
    const auto seen = numberOf(body, "lastSeen");
    while (!m_ended.empty() && m_ended.front().m_number <= seen) {
        m_ended.front().m_record->m_notedAt = m_world.m_record.now();
        m_ended.pop_front();
    }
    const auto until = m_world.m_record.now() + numberOf(body, "waitMs");
    while (m_ended.empty() && m_life == life && m_world.m_record.now() < until)
        co_await sleepMs(3);
    json::array running;
    for (const auto& [key, active] : m_active)
        running.push_back(json::array { key.first, key.second, "", active.m_facts.m_lasts ? 100 : 50, 0 });
    json::array finished;
    for (const auto& ended : m_ended) {
        if (finished.size() < listedEnds)
            finished.push_back(json::array { ended.m_number, ended.m_task, ended.m_run, ended.m_how, "" });
    }
    co_return answer(200, { { "running", std::move(running) }, { "finished", std::move(finished) } });
}

auto Executor::endRun(Actives::iterator item, const std::string& how) -> void
{
    const auto key = item->first;
    const auto active = item->second;
    m_active.erase(item);
    active.m_run->m_endedAt = m_world.m_record.now();
    active.m_run->m_how = how;
    m_ended.push_back({ m_nextEnd++, key.first, key.second, how, active.m_run });
    m_highestEnded[key.first] = std::max(m_highestEnded[key.first], key.second);
    m_cpu -= active.m_facts.m_cpu;
    m_memMb -= active.m_facts.m_memMb;
    m_world.m_record.write(m_id, "end " + key.first + " run " + std::to_string(key.second) + " " + how);
    if (!active.m_gang.empty())
        endOthers(m_world, active.m_gang, key.first, key.second, how == "done" ? "done" : "broken");
}

auto Executor::endDue() -> void
{
    const auto now = clockMs();
    if (now > m_lease) {
        for (const auto& ended : m_ended)
            ended.m_record->m_hasLapsed = true;
    }
    for (auto isFound = true; isFound;) {
        isFound = false;
        for (auto item = m_active.begin(); item != m_active.end(); ++item) {
            const auto hasLapsed = now > m_lease && item->second.m_endsAt > m_lease;
            if (item->second.m_endsAt > now && !hasLapsed)
                continue;
            endRun(item, hasLapsed ? std::string("lapsed") : item->second.m_how);
            isFound = true;
            break;
        }
    }
}

auto Executor::tick(std::uint64_t life) -> Task<void>
{
    const auto self = shared_from_this();
    while (m_life == life) {
        endDue();
        co_await sleepMs(4);
    }
}

auto Executor::nextLife(std::string id) const -> std::shared_ptr<Executor>
{
    return std::make_shared<Executor>(m_world, std::move(id), m_machine, m_service, m_zone, m_rack, m_ip, m_port);
}

namespace {

constexpr std::int64_t upkeepMs = 2000;

// Everything on the machine ends; a new executor joins the pool after the upkeep.
auto carryOutUpkeep(World& world, std::size_t index) -> Task<void>
{
    const auto before = world.m_executors[index];
    world.m_underUpkeep.insert(before->machine());
    world.m_upkeepBegan[before->machine()] = world.m_record.now();
    before->crash();
    world.m_store.put("keyed.servers", before->id(), {});
    co_await sleepMs(upkeepMs);
    world.m_underUpkeep.erase(before->machine());
    auto next = before->nextLife(before->id() + "b");
    world.m_executors[index] = next;
    next->start();
    asio::co_spawn(world.m_context, next->beat(), asio::detached);
}

auto orderUpkeep(World& world, const Call& call) -> Answer
{
    const auto body = json::parse(call.m_body).as_object();
    const auto machine = textOf(body, "machine");
    const auto token = call.m_headers.find("Hemlockvane-Fencing-Token");
    const auto value = token == call.m_headers.end() ? 0 : std::stoll(token->second);
    for (std::size_t index = 0; index < world.m_executors.size(); ++index) {
        if (world.m_executors[index]->machine() != machine)
            continue;
        if (value < world.m_highestToken[machine])
            return { 409, R"({"reason":"fence"})", false };
        world.m_highestToken[machine] = value;
        if (world.m_upkeepBegan.contains(machine))
            return { 200, "{}", false };
        if (!world.m_executors[index]->isUp())
            return { 409, R"({"reason":"busy"})", false };
        asio::co_spawn(world.m_context, carryOutUpkeep(world, index), asio::detached);
        return { 200, "{}", false };
    }
    return { 400, "{}", false };
}

} // namespace

auto handleCloud(World& world, Call call) -> Task<Answer>
{
    if (world.m_isCloudBusy) {
        world.m_record.write("cloud", call.m_method + " " + call.m_target + " -> 503");
        co_return Answer { 503, "{}", false };
    }
    if (call.m_method == "GET") {
        json::array machines;
        for (const auto& executor : world.m_executors)
            machines.push_back(executor->row());
        co_return Answer { 200,
            json::serialize(json::object { { "machines", std::move(machines) }, { "nextToken", nullptr } }), false };
    }
    auto answer = call.m_target == "/hemlockvane/machine-upkeep" ? orderUpkeep(world, call)
                                                                 : Answer { 409, R"({"reason":"busy"})", false };
    world.m_record.write("cloud", call.m_target + " " + call.m_body + " -> " + std::to_string(answer.m_status));
    co_return answer;
}

Processes::Processes(Record& record, std::string program, std::string folder, std::uint16_t basePort, int count)
    : m_record(record)
    , m_program(std::move(program))
    , m_folder(std::move(folder))
    , m_basePort(basePort)
    , m_pids(static_cast<std::size_t>(count), 0)
{
}

Processes::~Processes() { endAll(); }

auto Processes::settings(int index) const -> std::string
{
    const auto zone = std::string("ro-centru-") + static_cast<char>('a' + index % 3);
    const auto port = [&](int offset) { return std::to_string(m_basePort + offset); };
    return "node=front-" + std::to_string(index + 1) + "\nrole=entry\nmachineClass=front\nserves=front\nip=" + ip(index)
        + "\nzone=" + zone + "\nregion=ro-centru\nlisten.front=" + ip(index) + ":" + port(2)
        + "\nlisten.ready=" + ip(index) + ":" + port(3) + "\ninternalPorts=" + port(4) + "," + port(7)
        + "\nbootstrap=true\ncountsAsLoss=false\nlimits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\n"
          "limits.maxFds=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\nentry=virtual_ip\n"
          "heartbeatMs=1500\ncontracts=base,drain,config,cost,recover,sched,tenants,quota,platform,advice,upkeep,"
          "sharing\n"
          "tolerate.machines=2\ntolerate.zones=0\ntolerate.regions=0\nbounds.seedLagS=3\nbounds.reuseAfterS=2\n"
          "bounds.contactMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4\nbounds.drainMs=2000\nbounds.graceS=6\n"
          "bounds.lossSlackMs=200\nbounds.configApplyMs=2000\nbounds.rollbackSlackMs=250\nbounds.maxStretchMs=5000\n"
          "bounds.strictRevoke=true\nbounds.revokeMs=5000\nbounds.quotaWindowS=5\nbounds.quotaOverage=0.1\n"
          "bounds.quotaSlack=20\nbounds.recoveryS=12\nbounds.holdMaxMs=6000\nbounds.shutdownMs=900\n"
          "bounds.gangMs=3000\nbounds.cancel_ms=3000\nbounds.visible_ms=3000\nbounds.early_ms=250\n"
          "bounds.finish_s=14\nbounds.status_s=120\nbounds.remoteFactor=2\nbounds.checkpointS=1\n"
          "bounds.restoreMs=600\nbounds.noticeMs=4500\nbounds.moveS=1.5\nbounds.upkeepS=2\nbounds.requireFence=true\n"
          "bounds.leaseMs=3000\nbounds.thawMs=300\nbounds.paceMs=100\nbounds.harmMs=4000\norders=invoke\n"
          "platform.address=127.1.0.1:"
        + port(0)
        + "\nplatform.form=log\nplatform.writesPerS=800\nplatform.readsPerS=2000\nplatform.parts=12\n"
          "platform.appendMs=2.0\nplatform.partMbS=20.0\nplatform.readMbS=80.0\nplatform.recordBytes=262144\n"
          "platform.requestBytes=2097152\nplatform.keep_s=300\nplatform.partMb=200\nplatform.ttlMinMs=1000\n"
          "cloud.address=127.1.0.1:"
        + port(1) + "\ncloud.ratePerS=64.0\ncloud.duties=\ncloud.dutyPerS=64.0\n";
}

auto Processes::startAll() -> void
{
    for (int index = 0; index < count(); ++index)
        start(index);
}

auto Processes::start(int index) -> void
{
    const auto file = m_folder + "/node-" + std::to_string(index + 1) + ".conf";
    std::ofstream(file) << settings(index);
    const auto log = m_folder + "/node-" + std::to_string(index + 1) + ".log";
    const auto variable = "HEMLOCKVANE_NODE_FILE=" + file;
    const auto pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const auto output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        for (int descriptor = 3; descriptor < 1024; ++descriptor)
            close(descriptor);
        const std::array<const char*, 4> environment { "PATH=/usr/bin:/bin", "HOME=/tmp", variable.c_str(), nullptr };
        const std::array<const char*, 3> arguments { m_program.c_str(), "serve-platform", nullptr };
        execve(m_program.c_str(), const_cast<char**>(arguments.data()), const_cast<char**>(environment.data()));
        _exit(127);
    }
    m_pids[static_cast<std::size_t>(index)] = pid;
    m_record.write("node-" + std::to_string(index + 1), "started");
}

auto Processes::send(int index, int signal) -> void
{
    auto& pid = m_pids[static_cast<std::size_t>(index)];
    if (pid <= 0)
        return;
    m_record.write("node-" + std::to_string(index + 1), "signal " + std::to_string(signal));
    kill(pid, signal);
    if (signal != SIGKILL)
        return;
    waitpid(pid, nullptr, 0);
    pid = 0;
}

auto Processes::endAll() -> void
{
    for (int index = 0; index < count(); ++index)
        send(index, SIGKILL);
}

auto Processes::areAlive() -> bool
{
    for (const auto pid : m_pids) {
        if (pid > 0 && waitpid(pid, nullptr, WNOHANG) == pid)
            return false;
    }
    return true;
}

Clients::Clients(World& world, Processes& processes, std::string host, std::string key)
    : m_world(world)
    , m_processes(processes)
    , m_host(std::move(host))
    , m_key(std::move(key))
{
}

auto Clients::call(std::string method, std::string target, std::string body) -> Task<std::optional<Answer>>
{
    const auto index = m_next++ % m_processes.count();
    Call call;
    call.m_method = method;
    call.m_target = target;
    call.m_body = std::move(body);
    call.m_headers = { { "Host", m_host }, { "Content-Type", "application/json" }, { "Hemlockvane-Key", m_key },
        { "Hemlockvane-Deadline-Ms", "3000" } };
    auto ip = m_processes.ip(index);
    auto answer = co_await callOnce(std::move(ip), m_processes.frontPort(), std::move(call), Ms(3000));
    m_world.m_record.write("client",
        method + " " + target + " at node-" + std::to_string(index + 1) + " -> "
            + (answer ? std::to_string(answer->m_status) + " " + answer->m_body : "no answer"));
    co_return answer;
}

auto Clients::submit(std::string prefix, std::string id, json::object body) -> Task<unsigned>
{
    const auto text = json::serialize(body);
    unsigned status = 0;
    for (int attempt = 0; attempt < 5; ++attempt) {
        auto method = std::string("POST");
        auto target = prefix + id;
        auto copy = text;
        const auto answer = co_await call(std::move(method), std::move(target), std::move(copy));
        status = answer ? answer->m_status : 0;
        if (status != 0 && status != 502 && status != 503 && status != 504)
            break;
        co_await sleepMs(300);
    }
    co_return status;
}

auto Clients::get(std::string target) -> Task<std::optional<Answer>>
{
    auto method = std::string("GET");
    auto body = std::string();
    auto answer = co_await call(std::move(method), std::move(target), std::move(body));
    co_return answer;
}

auto Clients::del(std::string target) -> Task<std::optional<Answer>>
{
    auto method = std::string("DELETE");
    auto body = std::string();
    auto answer = co_await call(std::move(method), std::move(target), std::move(body));
    co_return answer;
}

auto Clients::isReady(int index) -> Task<bool>
{
    Call call;
    call.m_method = "GET";
    call.m_target = "/hemlockvane/readiness";
    auto ip = m_processes.ip(index);
    const auto answer = co_await callOnce(std::move(ip), m_processes.readyPort(), std::move(call), Ms(800));
    co_return answer && answer->m_status == 200;
}

} // namespace scene
