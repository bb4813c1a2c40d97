#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <sys/socket.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Request {
    std::string m_method;
    std::string m_path; ///< Without the query.
    std::map<std::string, std::string> m_query;
    std::map<std::string, std::string> m_headers; ///< Names in lower case.
    std::string m_body;

    auto header(const std::string& name) const -> std::string
    {
        const auto found = m_headers.find(name);
        return found == m_headers.end() ? std::string() : found->second;
    }

    auto number(const std::string& name, std::int64_t fallback) const -> std::int64_t
    {
        const auto found = m_query.find(name);
        return found == m_query.end() ? fallback : std::stoll(found->second);
    }
};

struct Response {
    unsigned m_status = 200;
    std::string m_body;
    std::string m_type = "application/json";
};

inline auto jsonResponse(unsigned status, const json::object& body) -> Response
{
    return { status, json::serialize(body), "application/json" };
}

inline auto lowerCase(std::string text) -> std::string
{
    for (auto& character : text)
        character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
    return text;
}

inline auto decodePercent(const std::string& text) -> std::string
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded.push_back(static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)));
            i += 2;
        } else {
            decoded.push_back(text[i]);
        }
    }
    return decoded;
}

inline auto toRequest(http::request<http::string_body>&& message) -> Request
{
    Request request;
    request.m_method = std::string(message.method_string());
    const std::string target(message.target());
    const auto mark = target.find('?');
    request.m_path = target.substr(0, mark);
    auto rest = mark == std::string::npos ? std::string() : target.substr(mark + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto field = rest.substr(0, end);
        const auto split = field.find('=');
        request.m_query[field.substr(0, split)]
            = split == std::string::npos ? std::string() : decodePercent(field.substr(split + 1));
        rest = end == std::string::npos ? std::string() : rest.substr(end + 1);
    }
    for (const auto& field : message)
        request.m_headers[lowerCase(std::string(field.name_string()))] = std::string(field.value());
    request.m_body = std::move(message.body());
    return request;
}

/// @brief An HTTP/1.1 server with a thread for each connection.
class Server {
public:
    using Handler = std::function<Response(const Request&)>;

    Server(std::string ip, std::uint16_t port, Handler handler)
        : m_endpoint(asio::ip::make_address(ip), port)
        , m_handler(std::move(handler))
    {
    }

    ~Server() { stop(); }
    Server(const Server&) = delete;
    auto operator=(const Server&) -> Server& = delete;

    auto start() -> void
    {
        m_isStopped = false;
        m_acceptor = std::make_unique<asio::ip::tcp::acceptor>(m_context);
        m_acceptor->open(m_endpoint.protocol());
        m_acceptor->set_option(asio::socket_base::reuse_address(true));
        m_acceptor->bind(m_endpoint);
        m_acceptor->listen(1024);
        m_thread = std::thread([this] { accept(); });
    }

    /// @brief Ends like a process that is killed: the port is closed and all connections are reset or closed.
    auto stop() -> void
    {
        if (!m_acceptor)
            return;
        m_isStopped = true;
        ::shutdown(m_acceptor->native_handle(), SHUT_RDWR);
        m_thread.join();
        beast::error_code error;
        m_acceptor->close(error);
        m_acceptor.reset();
        {
            const std::lock_guard lock(m_mutex);
            for (auto* socket : m_sockets)
                ::shutdown(socket->native_handle(), SHUT_RDWR);
        }
        for (auto& session : m_sessions)
            session.join();
        m_sessions.clear();
    }

    /// @brief Cut off: nothing that arrives is read or answered until this ends; connections stay open.
    auto setSilent(bool isSilent) -> void { m_isSilent = isSilent; }

private:
    auto accept() -> void
    {
        while (!m_isStopped) {
            beast::error_code error;
            auto socket = std::make_shared<asio::ip::tcp::socket>(m_context);
            m_acceptor->accept(*socket, error);
            if (error)
                continue;
            socket->set_option(asio::ip::tcp::no_delay(true), error);
            m_sessions.emplace_back([this, socket] { serve(*socket); });
        }
    }

    auto serve(asio::ip::tcp::socket& socket) -> void
    {
        {
            const std::lock_guard lock(m_mutex);
            m_sockets.push_back(&socket);
        }
        beast::flat_buffer buffer;
        beast::error_code error;
        while (!m_isStopped) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(64UL * 1024 * 1024);
            http::read(socket, buffer, parser, error);
            waitWhileSilent();
            if (error || m_isStopped)
                break;
            const auto keepAlive = parser.get().keep_alive();
            const auto response = m_handler(toRequest(parser.release()));
            waitWhileSilent();
            if (m_isStopped)
                break;
            http::response<http::string_body> message;
            message.version(11);
            message.result(response.m_status);
            message.set(http::field::content_type, response.m_type);
            message.body() = response.m_body;
            message.keep_alive(keepAlive);
            message.prepare_payload();
            http::write(socket, message, error);
            if (error || !keepAlive)
                break;
        }
        const std::lock_guard lock(m_mutex);
        std::erase(m_sockets, &socket);
        socket.close(error);
    }

    auto waitWhileSilent() -> void
    {
        while (m_isSilent && !m_isStopped)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }

    asio::io_context m_context;
    asio::ip::tcp::endpoint m_endpoint;
    Handler m_handler;
    std::unique_ptr<asio::ip::tcp::acceptor> m_acceptor;
    std::thread m_thread;
    std::list<std::thread> m_sessions;
    std::mutex m_mutex;
    std::vector<asio::ip::tcp::socket*> m_sockets;
    std::atomic<bool> m_isStopped { true };
    std::atomic<bool> m_isSilent { false };
};

/// @brief Sends one request on a connection of its own.
/// @result empty when there is no complete answer in time
inline auto call(const std::string& ip, std::uint16_t port, const std::string& method, const std::string& target,
    const Headers& headers, const std::string& body, std::int64_t timeoutMs) -> std::optional<Response>
{
    asio::io_context context;
    beast::tcp_stream stream(context);
    http::request<http::string_body> message(http::string_to_verb(method), target, 11);
    message.set(http::field::host, ip);
    for (const auto& [name, value] : headers)
        message.set(name, value);
    message.body() = body;
    message.prepare_payload();
    message.keep_alive(false);
    beast::flat_buffer buffer;
    http::response<http::string_body> answer;
    auto isComplete = false;
    stream.expires_after(std::chrono::milliseconds(timeoutMs));
    stream.async_connect({ asio::ip::make_address(ip), port }, [&](beast::error_code connectError) {
        if (connectError)
            return;
        http::async_write(stream, message, [&](beast::error_code writeError, std::size_t) {
            if (writeError)
                return;
            http::async_read(
                stream, buffer, answer, [&](beast::error_code readError, std::size_t) { isComplete = !readError; });
        });
    });
    context.run();
    if (!isComplete)
        return std::nullopt;
    return Response { answer.result_int(), answer.body(), {} };
}

} // namespace review
