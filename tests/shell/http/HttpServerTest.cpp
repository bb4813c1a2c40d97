#include "hemlockvane/detail/http/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <sys/socket.h>
#include <sys/time.h>

#include <future>
#include <memory>
#include <stdexcept>
#include <thread>

namespace hemlockvane::detail {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr timeval receiveLimit { 10, 0 };
const std::string chunkedRequest = "POST /echo HTTP/1.1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";

auto smallLimits() -> HttpLimits
{
    HttpLimits limits;
    limits.m_maximumConnections = 8;
    limits.m_maximumHeaderBytes = 2048;
    limits.m_maximumBodyBytes = 4096;
    limits.m_readTimeout = std::chrono::milliseconds(300);
    return limits;
}

// A raw TCP connection, for requests that an HTTP library would not send.
class RawClient {
public:
    explicit RawClient(std::uint16_t port)
        : m_socket(m_context)
    {
        m_socket.connect({ asio::ip::make_address("127.0.0.1"), port });
        ::setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &receiveLimit, sizeof receiveLimit);
    }

    // Errors are ignored: the server may close the connection early, and its response can still be read.
    auto send(std::string_view bytes) -> void
    {
        boost::system::error_code error;
        asio::write(m_socket, asio::buffer(bytes.data(), bytes.size()), error);
    }

    auto endSending() -> void
    {
        boost::system::error_code error;
        m_socket.shutdown(tcp::socket::shutdown_send, error);
    }

    // Reads until the server closes the connection.
    auto readAll() -> std::string
    {
        std::string text;
        boost::system::error_code error;
        asio::read(m_socket, asio::dynamic_buffer(text), error);
        return text;
    }

private:
    asio::io_context m_context;
    tcp::socket m_socket;
};

} // namespace

class HttpServerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HttpServerTest);
    CPPUNIT_TEST(completeRequest_isAnswered);
    CPPUNIT_TEST(twoRequestsAtOnce_areAnsweredInOrder);
    CPPUNIT_TEST(malformedRequest_isBadRequest);
    CPPUNIT_TEST(binaryNoise_isBadRequest);
    CPPUNIT_TEST(truncatedRequest_isBadRequest);
    CPPUNIT_TEST(hugeHeader_isTooLarge);
    CPPUNIT_TEST(oversizedDeclaredBody_isTooLarge);
    CPPUNIT_TEST(oversizedBody_clientStillSending_isTooLarge);
    CPPUNIT_TEST(oversizedChunkedBody_isTooLarge);
    CPPUNIT_TEST(chunkedBodyAtTheLimit_inLargeChunks_isAnswered);
    CPPUNIT_TEST(chunkedBodyAtTheLimit_inChunksOfOneByteWithTrailer_isAnswered);
    CPPUNIT_TEST(endlessTrailer_isTooLarge);
    CPPUNIT_TEST(endlessChunkExtension_isTooLarge);
    CPPUNIT_TEST(slowRequest_isDeadlinePassed);
    CPPUNIT_TEST(throwingHandler_isInternalAndServerKeepsServing);
    CPPUNIT_TEST(connectionOverLimit_isNoCapacity);
    CPPUNIT_TEST(connectionFlood_isBoundedAndServerRecovers);
    CPPUNIT_TEST(drain_answersRequestInFlight);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        m_context = std::make_unique<asio::io_context>();
        m_server = std::make_unique<HttpServer>(
            *m_context, smallLimits(), [](HttpRequest request) { return handle(std::move(request)); });
        FailureReason reason;
        m_port = m_server->listen("127.0.0.1:0", reason).value();
        m_thread = std::thread([this]() { m_context->run(); });
    }

    auto tearDown() -> void override
    {
        m_context->stop();
        m_thread.join();
        m_server.reset();
        m_context.reset();
    }

    auto completeRequest_isAnswered() -> void
    {
        assertAnswer(
            exchange("POST /echo HTTP/1.1\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello"), "200", "hello");
    }

    auto twoRequestsAtOnce_areAnsweredInOrder() -> void
    {
        const auto answer = exchange("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\none"
                                     "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 3\r\n\r\ntwo");
        CPPUNIT_ASSERT(answer.find("one") < answer.find("two"));
        CPPUNIT_ASSERT(answer.find("two") != std::string::npos);
    }

    auto malformedRequest_isBadRequest() -> void
    {
        assertAnswer(exchange("WHAT IS THIS\r\n\r\n"), "400", "bad_request");
        assertAnswer(exchange("GET / HTTP/1.1\r\nContent-Length: minus\r\n\r\n"), "400", "bad_request");
    }

    auto binaryNoise_isBadRequest() -> void
    {
        assertAnswer(exchange(std::string("\x16\x03\x01\x00\xff\x00\x01", 7) + "\r\n\r\n"), "400", "bad_request");
    }

    auto truncatedRequest_isBadRequest() -> void
    {
        RawClient client(m_port);
        client.send("POST / HTTP/1.1\r\nContent-Length: 50\r\n\r\nhalf");
        client.endSending();
        assertAnswer(client.readAll(), "400", "bad_request");
    }

    auto hugeHeader_isTooLarge() -> void
    {
        const auto header = "X-Large: " + std::string(100000, 'a');
        assertAnswer(exchange("GET / HTTP/1.1\r\n" + header + "\r\n\r\n"), "413", "too_large");
    }

    auto oversizedDeclaredBody_isTooLarge() -> void
    {
        assertAnswer(exchange("POST / HTTP/1.1\r\nContent-Length: 999999999999\r\n\r\n"), "413", "too_large");
    }

    auto oversizedBody_clientStillSending_isTooLarge() -> void
    {
        const std::string body(1000000, 'b');
        assertAnswer(exchange("POST / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n" + body), "413", "too_large");
    }

    auto oversizedChunkedBody_isTooLarge() -> void
    {
        const auto chunk = "1000\r\n" + std::string(4096, 'c') + "\r\n";
        assertAnswer(
            exchange("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + chunk), "413", "too_large");
    }

    // Guards against limits that refuse a single request within the documented ones.
    auto chunkedBodyAtTheLimit_inLargeChunks_isAnswered() -> void
    {
        const std::string body(4096, 'x');
        assertAnswer(exchange(chunkedRequest + "800\r\n" + body.substr(2048) + "\r\n800\r\n" + body.substr(2048)
                         + "\r\n0\r\n\r\n"),
            "200", body);
    }

    auto chunkedBodyAtTheLimit_inChunksOfOneByteWithTrailer_isAnswered() -> void
    {
        auto request = chunkedRequest;
        for (int i = 0; i < 4096; ++i)
            request += "1\r\nx\r\n";
        assertAnswer(exchange(request + "0\r\nX-Trailer: " + std::string(1000, 'y') + "\r\n\r\n"), "200",
            std::string(4096, 'x'));
    }

    // Guards against memory that grows with a trailer or an extension that is never complete.
    auto endlessTrailer_isTooLarge() -> void
    {
        assertAnswer(
            exchange(chunkedRequest + "1\r\nx\r\n0\r\nX-Trailer: " + std::string(100000, 'y')), "413", "too_large");
    }

    auto endlessChunkExtension_isTooLarge() -> void
    {
        assertAnswer(exchange(chunkedRequest + "1;x=" + std::string(100000, 'y')), "413", "too_large");
    }

    auto slowRequest_isDeadlinePassed() -> void
    {
        RawClient client(m_port);
        client.send("POST / HTTP/1.1\r\nContent-Le");
        const auto answer = client.readAll();
        assertAnswer(answer, "504", "deadline_passed");
        CPPUNIT_ASSERT(answer.find("\"not_run\":true") != std::string::npos);
    }

    auto throwingHandler_isInternalAndServerKeepsServing() -> void
    {
        assertAnswer(exchange("GET /throw HTTP/1.1\r\nConnection: close\r\n\r\n"), "500", "internal");
        completeRequest_isAnswered();
    }

    auto connectionOverLimit_isNoCapacity() -> void
    {
        std::vector<std::unique_ptr<RawClient>> holders;
        for (std::size_t i = 0; i < smallLimits().m_maximumConnections; ++i)
            holders.push_back(std::make_unique<RawClient>(m_port));
        assertAnswer(exchange("GET / HTTP/1.1\r\n\r\n"), "503", "no_capacity");
    }

    auto connectionFlood_isBoundedAndServerRecovers() -> void
    {
        std::vector<std::unique_ptr<RawClient>> flood;
        for (int i = 0; i < 300; ++i)
            flood.push_back(std::make_unique<RawClient>(m_port));
        CPPUNIT_ASSERT(connectionCount() <= smallLimits().m_maximumConnections);
        flood.clear();
        for (int i = 0; i < 500 && connectionCount() > 0; ++i)
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, connectionCount());
        completeRequest_isAnswered();
    }

    auto drain_answersRequestInFlight() -> void
    {
        RawClient client(m_port);
        client.send("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhel");
        for (int i = 0; i < 500 && connectionCount() == 0; ++i)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        onServer([this]() {
            m_server->drain();
            return 0;
        });
        client.send("lo");
        const auto answer = client.readAll();
        assertAnswer(answer, "200", "hello");
        CPPUNIT_ASSERT(answer.find("Connection: close") != std::string::npos);
    }

private:
    static auto handle(HttpRequest request) -> asio::awaitable<HttpResponse>
    {
        if (request.m_target == "/throw")
            throw std::runtime_error("on purpose");
        co_return HttpResponse { 200, {}, request.m_body };
    }

    auto exchange(std::string_view bytes) const -> std::string
    {
        RawClient client(m_port);
        client.send(bytes);
        return client.readAll();
    }

    template <typename Function> auto onServer(Function function) -> decltype(function())
    {
        std::packaged_task<decltype(function())()> task(std::move(function));
        auto result = task.get_future();
        asio::post(*m_context, [&task]() { task(); });
        return result.get();
    }

    auto connectionCount() -> std::size_t
    {
        return onServer([this]() { return m_server->connectionCount(); });
    }

    static auto assertAnswer(const std::string& answer, const std::string& status, const std::string& content) -> void
    {
        CPPUNIT_ASSERT_EQUAL("HTTP/1.1 " + status, answer.substr(0, 12));
        CPPUNIT_ASSERT_MESSAGE(answer, answer.find(content) != std::string::npos);
    }

    std::unique_ptr<asio::io_context> m_context;
    std::unique_ptr<HttpServer> m_server;
    std::thread m_thread;
    std::uint16_t m_port = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);

} // namespace hemlockvane::detail
