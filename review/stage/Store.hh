// Stand-in of the platform's metadata store, in its form of a log.
#pragma once

#include "Http.hh"
#include "Record.hh"

#include <boost/json.hpp>

#include <condition_variable>
#include <deque>

namespace stage {

namespace json = boost::json;

class Store {
public:
    Store(Address address, Record& record)
        : m_record(record)
        , m_server(std::move(address), [this](const Request& request) { return handle(request); })
    {
    }

    auto start() -> bool { return m_server.start(); }
    [[nodiscard]] auto address() const -> const Address& { return m_server.address(); }

    // Writes a record as the operator or an executor does.
    auto put(const std::string& topic, const std::string& key, const std::string& value) -> void
    {
        const std::lock_guard lock(m_mutex);
        std::string bytes(1, static_cast<char>(key.size()));
        add(topic, bytes + key + value);
        m_changed.notify_all();
    }

    // Newest value of a key; empty if there is none.
    auto newest(const std::string& topic, const std::string& key) -> std::string
    {
        const std::lock_guard lock(m_mutex);
        const auto& keys = m_topics[topic].m_newest;
        const auto found = keys.find(key);
        return found == keys.end() ? std::string() : found->second.first;
    }

    // Called with each call before it is carried out; may wait. False: the call gets no answer and is not carried out.
    std::function<bool(const Request&)> m_before;

private:
    struct Producer {
        std::uint64_t m_epoch = 0;
        std::uint64_t m_sequence = 0;
        std::deque<std::pair<std::uint64_t, std::string>> m_answers;
    };

    struct Topic {
        std::vector<std::string> m_records;
        std::map<std::string, std::pair<std::string, std::uint64_t>> m_newest; // Of a keyed topic: value and offset.
        std::map<std::string, Producer> m_producers;
    };

    static auto bigEndian(std::uint64_t number, int bytes) -> std::string
    {
        std::string text;
        while (bytes-- > 0)
            text.push_back(static_cast<char>(number >> (8 * bytes)));
        return text;
    }

    static auto base64(const std::string& bytes) -> std::string
    {
        constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            std::uint32_t group = 0;
            for (std::size_t j = 0; j < 3; ++j)
                group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
            for (std::size_t j = 0; j < 4; ++j)
                text.push_back(i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63] : '=');
        }
        return text;
    }

    auto add(const std::string& name, const std::string& bytes) -> void
    {
        auto& topic = m_topics[name];
        topic.m_records.push_back(bytes);
        if (name.rfind("keyed.", 0) != 0 || bytes.empty())
            return;
        const auto length = static_cast<unsigned char>(bytes.front());
        const auto key = bytes.substr(1, length);
        const auto value = bytes.substr(1U + length);
        if (value.empty())
            topic.m_newest.erase(key);
        else
            topic.m_newest[key] = { value, topic.m_records.size() - 1 };
    }

    auto handle(const Request& request) -> std::optional<Response>
    {
        if (m_before && !m_before(request))
            return std::nullopt;
        pause(3);
        if (request.m_path == "/hemlockvane/log-append")
            return append(request);
        if (request.m_path == "/hemlockvane/log-read")
            return read(request);
        if (request.m_path == "/hemlockvane/log-newest")
            return listNewest(request);
        return Response { 404, "{}" };
    }

    auto append(const Request& request) -> Response
    {
        const std::lock_guard lock(m_mutex);
        auto& topic = m_topics[request.query("topic")];
        const auto end = topic.m_records.size();
        const auto numberOf
            = [&](const char* name) { return std::strtoull(request.query(name).c_str(), nullptr, 10); };
        if (request.m_query.count("at") > 0 && numberOf("at") != end)
            return { 412, json::serialize(json::object { { "end", end } }) };
        auto* producer = request.m_query.count("producer") > 0 ? &topic.m_producers[request.query("producer")] : nullptr;
        const auto sequence = numberOf("seq");
        if (producer != nullptr) {
            const auto epoch = numberOf("epoch");
            if (epoch < producer->m_epoch)
                return { 409, R"({"reason":"fenced"})" };
            if (epoch > producer->m_epoch) {
                *producer = {};
                producer->m_epoch = epoch;
            } else {
                for (const auto& [earlier, answer] : producer->m_answers) {
                    if (earlier == sequence)
                        return { 200, answer };
                }
                if (sequence != producer->m_sequence + 1)
                    return { 409,
                        json::serialize(json::object { { "reason", "seq" }, { "seq", producer->m_sequence + 1 } }) };
            }
        }
        std::size_t position = 0;
        while (position + 4 <= request.m_body.size()) {
            std::uint32_t length = 0;
            for (int i = 0; i < 4; ++i)
                length = length << 8 | static_cast<unsigned char>(request.m_body[position + static_cast<std::size_t>(i)]);
            add(request.query("topic"), request.m_body.substr(position + 4, length));
            position += 4 + length;
        }
        auto answer = json::serialize(json::object { { "offset", end }, { "end", topic.m_records.size() } });
        if (producer != nullptr) {
            producer->m_sequence = sequence;
            producer->m_answers.emplace_back(sequence, answer);
            if (producer->m_answers.size() > 5)
                producer->m_answers.pop_front();
        }
        m_changed.notify_all();
        return { 200, answer };
    }

    auto read(const Request& request) -> Response
    {
        std::unique_lock lock(m_mutex);
        auto& topic = m_topics[request.query("topic")];
        const auto from = std::strtoull(request.query("from").c_str(), nullptr, 10);
        const auto waitMs = std::strtoll(request.query("waitMs").c_str(), nullptr, 10);
        m_changed.wait_for(
            lock, std::chrono::milliseconds(waitMs), [&] { return topic.m_records.size() > from; });
        Response response;
        response.m_type = "application/octet-stream";
        response.m_body = bigEndian(topic.m_records.size(), 8) + bigEndian(0, 8);
        for (auto offset = from; offset < topic.m_records.size() && response.m_body.size() < 1000000; ++offset)
            response.m_body += bigEndian(topic.m_records[offset].size(), 4) + topic.m_records[offset];
        return response;
    }

    auto listNewest(const Request& request) -> Response
    {
        const std::lock_guard lock(m_mutex);
        auto& topic = m_topics[request.query("topic")];
        json::array items;
        auto hasMore = false;
        for (const auto& [key, newest] : topic.m_newest) {
            if (request.m_query.count("after") > 0 && key <= request.query("after"))
                continue;
            if (items.size() == 500) {
                hasMore = true;
                break;
            }
            items.push_back(
                json::object { { "key", key }, { "value", base64(newest.first) }, { "offset", newest.second } });
        }
        return { 200,
            json::serialize(json::object {
                { "items", std::move(items) }, { "hasMore", hasMore }, { "end", topic.m_records.size() } }) };
    }

    Record& m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Topic> m_topics;
    Server m_server;
};

} // namespace stage
