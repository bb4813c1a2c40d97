#pragma once

#include "Http.hh"
#include "Record.hh"

#include <boost/beast/core/detail/base64.hpp>

#include <condition_variable>
#include <deque>

namespace review {

/// @brief The platform's store, as PROTOCOL.md tells it: a log with keyed topics, each of one partition. It is sound
/// and loses nothing; records and calls beyond their size are refused.
class Store {
public:
    explicit Store(Record& record)
        : m_record(record)
    {
    }

    auto handle(const Request& request) -> Response
    {
        if (request.m_path == "/hemlockvane/log-append")
            return append(request);
        if (request.m_path == "/hemlockvane/log-read")
            return read(request);
        if (request.m_path == "/hemlockvane/log-newest")
            return newest(request);
        return jsonResponse(404, {});
    }

    /// @brief Stores a record of the operator or of an executor.
    auto put(const std::string& topicName, const std::string& key, const std::string& value) -> void
    {
        const std::lock_guard lock(m_mutex);
        addRecord(m_topics[topicName], topicName, char(key.size()) + key + value);
        m_changed.notify_all();
    }

    /// @brief Newest record of a topic; empty if there is none.
    auto newestRecord(const std::string& topicName) -> std::string
    {
        const std::lock_guard lock(m_mutex);
        const auto& records = m_topics[topicName].m_records;
        return records.empty() ? std::string() : records.back();
    }

    /// @brief Number of calls that were refused because of the size of a record or of the call.
    auto refusedForSize() const -> int { return m_refusedForSize; }

private:
    struct Producer {
        std::int64_t m_epoch = -1;
        std::int64_t m_sequence = -1;
        std::deque<std::pair<std::int64_t, json::object>> m_answers; ///< Of the last five appends.
    };

    struct Topic {
        std::vector<std::string> m_records;
        std::map<std::string, std::pair<std::string, std::uint64_t>> m_newest; ///< Value and offset of each key.
        std::map<std::string, Producer> m_producers;
        std::mutex m_turn; ///< A partition carries out its appends one at a time.
    };

    static constexpr std::size_t recordBytes = 262144;
    static constexpr std::size_t requestBytes = 2097152;
    static constexpr std::chrono::milliseconds appendTime { 2 };
    static constexpr std::size_t pageItems = 500;
    static constexpr std::size_t pageBytes = 1000000;

    auto addRecord(Topic& topic, const std::string& name, const std::string& content) -> void
    {
        if (name.starts_with("keyed.")) {
            const auto length = static_cast<unsigned char>(content[0]);
            const auto key = content.substr(1, length);
            const auto value = content.substr(1 + length);
            if (value.empty())
                topic.m_newest.erase(key);
            else
                topic.m_newest[key] = { value, topic.m_records.size() };
        }
        topic.m_records.push_back(content);
    }

    static auto loadNumber(const std::string& bytes, std::size_t from, std::size_t count) -> std::uint64_t
    {
        std::uint64_t number = 0;
        for (std::size_t i = 0; i < count; ++i)
            number = number << 8 | static_cast<unsigned char>(bytes[from + i]);
        return number;
    }

    static auto storeNumber(std::string& bytes, std::uint64_t number, std::size_t count) -> void
    {
        for (auto i = count; i-- > 0;)
            bytes.push_back(static_cast<char>(number >> (8 * i) & 255));
    }

    auto refuseSize(const std::string& name, std::size_t bytes) -> Response
    {
        ++m_refusedForSize;
        if (m_refusedForSize <= 5 || m_refusedForSize % 100 == 0)
            m_record.write("store",
                "append to " + name + " refused: " + std::to_string(bytes) + " bytes are beyond its limit (refusal "
                    + std::to_string(m_refusedForSize) + ")");
        return jsonResponse(413, {});
    }

    auto append(const Request& request) -> Response
    {
        const auto name = request.m_query.at("topic");
        auto& topic = topicOf(name);
        const std::lock_guard turn(topic.m_turn);
        std::this_thread::sleep_for(appendTime);
        std::vector<std::string> records;
        std::size_t total = 0;
        for (std::size_t at = 0; at + 4 <= request.m_body.size();) {
            const auto length = loadNumber(request.m_body, at, 4);
            if (length > recordBytes)
                return refuseSize(name, length);
            records.push_back(request.m_body.substr(at + 4, length));
            at += 4 + length;
            total += length;
        }
        if (total > requestBytes)
            return refuseSize(name, total);
        const std::lock_guard lock(m_mutex);
        const auto end = topic.m_records.size();
        if (request.m_query.contains("producer")) {
            auto& producer = topic.m_producers[request.m_query.at("producer")];
            const auto epoch = request.number("epoch", 0);
            const auto sequence = request.number("seq", 0);
            if (epoch < producer.m_epoch)
                return jsonResponse(409, { { "reason", "fenced" } });
            if (epoch == producer.m_epoch) {
                for (const auto& [known, answer] : producer.m_answers) {
                    if (known == sequence)
                        return jsonResponse(200, answer);
                }
                if (sequence != producer.m_sequence + 1)
                    return jsonResponse(409, { { "reason", "seq" }, { "seq", producer.m_sequence + 1 } });
            } else {
                producer.m_answers.clear();
            }
            producer.m_epoch = epoch;
            producer.m_sequence = sequence;
            producer.m_answers.emplace_back(
                sequence, json::object { { "offset", end }, { "end", end + records.size() } });
            if (producer.m_answers.size() > 5)
                producer.m_answers.pop_front();
        }
        if (request.m_query.contains("at") && request.number("at", 0) != static_cast<std::int64_t>(end))
            return jsonResponse(412, { { "end", end } });
        for (const auto& content : records)
            addRecord(topic, name, content);
        m_changed.notify_all();
        return jsonResponse(200, { { "offset", end }, { "end", topic.m_records.size() } });
    }

    auto read(const Request& request) -> Response
    {
        auto& topic = topicOf(request.m_query.at("topic"));
        const auto from = static_cast<std::size_t>(request.number("from", 0));
        const auto limit = static_cast<std::size_t>(request.number("fetchLimit", 1024));
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, std::chrono::milliseconds(request.number("waitMs", 0)),
            [&] { return topic.m_records.size() > from; });
        std::string body;
        storeNumber(body, topic.m_records.size(), 8);
        storeNumber(body, 0, 8);
        for (auto i = from; i < topic.m_records.size() && i < from + limit; ++i) {
            storeNumber(body, topic.m_records[i].size(), 4);
            body.append(topic.m_records[i]);
        }
        return { 200, std::move(body), "application/octet-stream" };
    }

    auto newest(const Request& request) -> Response
    {
        auto& topic = topicOf(request.m_query.at("topic"));
        const std::lock_guard lock(m_mutex);
        const auto after = request.m_query.find("after");
        auto item = after == request.m_query.end() ? topic.m_newest.begin() : topic.m_newest.upper_bound(after->second);
        json::array items;
        std::size_t bytes = 0;
        for (; item != topic.m_newest.end() && items.size() < pageItems && bytes < pageBytes; ++item) {
            const auto& [value, offset] = item->second;
            std::string text(beast::detail::base64::encoded_size(value.size()), '\0');
            text.resize(beast::detail::base64::encode(text.data(), value.data(), value.size()));
            bytes += text.size();
            items.push_back(json::object { { "key", item->first }, { "value", text }, { "offset", offset } });
        }
        return jsonResponse(200,
            { { "items", std::move(items) }, { "hasMore", item != topic.m_newest.end() },
                { "end", topic.m_records.size() } });
    }

    auto topicOf(const std::string& name) -> Topic&
    {
        const std::lock_guard lock(m_mutex);
        return m_topics[name];
    }

    Record& m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Topic> m_topics;
    std::atomic<int> m_refusedForSize { 0 };
};

} // namespace review
