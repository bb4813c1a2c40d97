// A small HTTP/1.1 server and client for the stand-ins: one thread for each connection, blocking sockets.
#pragma once

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace stage {

inline auto nowMs() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

inline auto unixMs() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline auto pause(std::int64_t ms) -> void { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

struct Address {
    std::string m_ip;
    std::uint16_t m_port = 0;

    [[nodiscard]] auto text() const -> std::string { return m_ip + ":" + std::to_string(m_port); }
};

inline auto endpointOf(const Address& address) -> sockaddr_in
{
    sockaddr_in endpoint {};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(address.m_port);
    inet_pton(AF_INET, address.m_ip.c_str(), &endpoint.sin_addr);
    return endpoint;
}

// Whether a port of the given loopback address can be listened at now.
inline auto isFree(const Address& address) -> bool
{
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto endpoint = endpointOf(address);
    const auto isBound = bind(handle, reinterpret_cast<sockaddr*>(&endpoint), sizeof endpoint) == 0;
    close(handle);
    return isBound;
}

// The first of two ports in a row that are free on the given loopback address now, below those of outgoing connections.
inline auto freePort(const std::string& ip) -> std::uint16_t
{
    static std::mt19937 random { std::random_device {}() };
    for (int tries = 0; tries < 1000; ++tries) {
        const auto port = static_cast<std::uint16_t>(std::uniform_int_distribution<int> { 10000, 30000 }(random));
        if (isFree({ ip, port }) && isFree({ ip, static_cast<std::uint16_t>(port + 1) }))
            return port;
    }
    return 0;
}

struct Request {
    std::string m_method;
    std::string m_path; // Without the query.
    std::map<std::string, std::string> m_query;
    std::map<std::string, std::string> m_headers; // Names in lower case.
    std::string m_body;

    [[nodiscard]] auto query(const std::string& name) const -> std::string
    {
        const auto found = m_query.find(name);
        return found == m_query.end() ? std::string() : found->second;
    }
    [[nodiscard]] auto header(const std::string& name) const -> std::string
    {
        const auto found = m_headers.find(name);
        return found == m_headers.end() ? std::string() : found->second;
    }
};

struct Response {
    int m_status = 200;
    std::string m_body;
    std::string m_type = "application/json";
};

inline auto lower(std::string text) -> std::string
{
    for (auto& character : text)
        character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
    return text;
}

// Reads one message; `head` receives the first line and the headers. False when the connection ends or time runs out.
inline auto readMessage(int handle, std::string& buffer, std::string& head, std::string& body,
    std::map<std::string, std::string>& headers, std::int64_t deadline) -> bool
{
    std::size_t length = 0;
    std::size_t headEnd = std::string::npos;
    while (true) {
        if (headEnd == std::string::npos) {
            headEnd = buffer.find("\r\n\r\n");
            if (headEnd != std::string::npos) {
                head = buffer.substr(0, headEnd);
                headers.clear();
                auto line = head.find("\r\n");
                while (line != std::string::npos) {
                    const auto next = head.find("\r\n", line + 2);
                    const auto text = head.substr(line + 2, next == std::string::npos ? next : next - line - 2);
                    const auto colon = text.find(':');
                    if (colon != std::string::npos) {
                        auto value = text.substr(colon + 1);
                        value.erase(0, value.find_first_not_of(' '));
                        headers[lower(text.substr(0, colon))] = value;
                    }
                    line = next;
                }
                const auto found = headers.find("content-length");
                length = found == headers.end() ? 0 : std::strtoul(found->second.c_str(), nullptr, 10);
            }
        }
        if (headEnd != std::string::npos && buffer.size() >= headEnd + 4 + length) {
            body = buffer.substr(headEnd + 4, length);
            buffer.erase(0, headEnd + 4 + length);
            return true;
        }
        const auto left = deadline - nowMs();
        pollfd wait { handle, POLLIN, 0 };
        if (left <= 0 || poll(&wait, 1, static_cast<int>(std::min<std::int64_t>(left, 1000000))) <= 0)
            return false;
        char bytes[65536];
        const auto received = recv(handle, bytes, sizeof bytes, 0);
        if (received <= 0)
            return false;
        buffer.append(bytes, static_cast<std::size_t>(received));
    }
}

inline auto sendAll(int handle, const std::string& text) -> bool
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto count = send(handle, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// Answers with what the handler returns; nothing is answered to a request for which it returns nothing.
class Server {
public:
    using Handler = std::function<std::optional<Response>(const Request&)>;

    Server(Address address, Handler handler)
        : m_address(std::move(address))
        , m_handler(std::move(handler))
    {
    }
    ~Server() { stop(); }

    auto start() -> bool
    {
        m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto endpoint = endpointOf(m_address);
        if (bind(m_listener, reinterpret_cast<sockaddr*>(&endpoint), sizeof endpoint) != 0
            || listen(m_listener, 256) != 0)
            return false;
        m_isRunning = true;
        std::thread([this, listener = m_listener] { acceptAll(listener); }).detach();
        return true;
    }

    // Ends all connections and refuses new ones.
    auto stop() -> void
    {
        if (!m_isRunning)
            return;
        m_isRunning = false;
        shutdown(m_listener, SHUT_RDWR);
        close(m_listener);
        closeConnections();
    }

    auto closeConnections() -> void
    {
        const std::lock_guard lock(m_mutex);
        for (const auto handle : m_handles) {
            const linger reset { 1, 0 };
            setsockopt(handle, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            shutdown(handle, SHUT_RDWR);
        }
    }

    [[nodiscard]] auto address() const -> const Address& { return m_address; }

private:
    auto acceptAll(int listener) -> void
    {
        while (m_isRunning) {
            const int handle = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (handle < 0) {
                if (errno == EMFILE || errno == ENFILE || errno == EINTR || errno == ECONNABORTED)
                    continue;
                return;
            }
            const int on = 1;
            setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::lock_guard lock(m_mutex);
                m_handles.insert(handle);
            }
            std::thread([this, handle] { serve(handle); }).detach();
        }
    }

    auto serve(int handle) -> void
    {
        std::string buffer;
        std::string head;
        Request request;
        while (readMessage(handle, buffer, head, request.m_body, request.m_headers, nowMs() + 600000)) {
            const auto line = head.substr(0, head.find("\r\n"));
            const auto first = line.find(' ');
            const auto second = line.find(' ', first + 1);
            request.m_method = line.substr(0, first);
            auto target = line.substr(first + 1, second - first - 1);
            request.m_query.clear();
            const auto mark = target.find('?');
            request.m_path = target.substr(0, mark);
            while (mark != std::string::npos && target.size() > mark + 1) {
                const auto rest = target.substr(mark + 1);
                const auto end = rest.find('&');
                const auto pair = rest.substr(0, end);
                const auto equals = pair.find('=');
                request.m_query[pair.substr(0, equals)] = equals == std::string::npos ? "" : pair.substr(equals + 1);
                target = end == std::string::npos ? target.substr(0, mark + 1) : "?" + rest.substr(end + 1);
                if (end == std::string::npos)
                    break;
                target = std::string(mark, ' ') + target;
            }
            const auto response = m_handler(request);
            if (!response)
                continue;
            const auto text = "HTTP/1.1 " + std::to_string(response->m_status) + " X\r\nContent-Type: "
                + response->m_type + "\r\nContent-Length: " + std::to_string(response->m_body.size()) + "\r\n\r\n"
                + response->m_body;
            if (!sendAll(handle, text))
                break;
        }
        const std::lock_guard lock(m_mutex);
        m_handles.erase(handle);
        close(handle);
    }

    Address m_address;
    Handler m_handler;
    int m_listener = -1;
    std::atomic<bool> m_isRunning { false };
    std::mutex m_mutex;
    std::set<int> m_handles;
};

struct Reply {
    int m_status = 0; // 0: no complete answer.
    std::string m_body;
};

// One call on a connection of its own.
inline auto call(const Address& address, const std::string& method, const std::string& target,
    const std::map<std::string, std::string>& headers, const std::string& body, std::int64_t timeoutMs) -> Reply
{
    Reply reply;
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto endpoint = endpointOf(address);
    std::string head;
    std::string buffer;
    std::map<std::string, std::string> answered;
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    if (connect(handle, reinterpret_cast<sockaddr*>(&endpoint), sizeof endpoint) == 0 && sendAll(handle, text)
        && readMessage(handle, buffer, head, reply.m_body, answered, nowMs() + timeoutMs))
        reply.m_status = std::atoi(head.c_str() + 9);
    close(handle);
    return reply;
}

} // namespace stage
