#include <hornbeamweir/http/http_server.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace hornbeamweir;
namespace asio = boost::asio;
using tcp = boost::asio::ip::tcp;

namespace
{

/// \brief Returns a loopback address with a port that is currently unused.
std::string free_address()
{
    asio::io_context context;
    tcp::acceptor const acceptor{
        context, {asio::ip::make_address("127.0.0.1"), 0}};
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

constexpr char const* request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// \brief A server whose responses are sent by the test.
struct closing_fixture
{
    void run()
    {
        context.restart();
        context.run_for(std::chrono::milliseconds{30});
    }

    tcp::socket connect()
    {
        tcp::socket out{client};
        out.connect({asio::ip::make_address("127.0.0.1"), server.port()});
        run();
        return out;
    }

    [[nodiscard]] static bool is_closed(tcp::socket& socket)
    {
        socket.non_blocking(true);
        std::array<char, 4096> buf{};
        boost::system::error_code ec;
        while (!ec)
            socket.read_some(asio::buffer(buf), ec);
        return ec == asio::error::eof || ec == asio::error::connection_reset;
    }

    asio::io_context context;
    asio::io_context client;
    std::shared_ptr<http_exchange> exchange;
    http_server server{
        context,
        free_address(),
        http_limits{},
        [this](
            std::shared_ptr<http_exchange> started, http_request_message const&)
        { exchange = std::move(started); },
        [](http_exchange&, result_code) {}};
};

} // namespace

// A response that begins before close_after_responses() may announce
// keep-alive. Its connection must close nevertheless: one that did not accepted
// another request seven seconds later, which was then aborted.
TEST_CASE("a connection closes after the response in progress", "[http]")
{
    closing_fixture it;
    tcp::socket caller = it.connect();
    asio::write(caller, asio::buffer(std::string_view{request}));
    it.run();
    REQUIRE(it.exchange);
    it.exchange->send_head(200, {{"Content-Length", "2"}});
    it.run();
    it.server.close_after_responses();
    it.exchange->send_data("ok");
    it.exchange->finish();
    it.run();
    CHECK(closing_fixture::is_closed(caller));
}

TEST_CASE("only connections without a request are closed as idle", "[http]")
{
    closing_fixture it;
    tcp::socket idle = it.connect();
    tcp::socket busy = it.connect();
    asio::write(busy, asio::buffer(std::string_view{request}));
    it.run();
    it.server.stop_accepting();
    it.server.close_idle();
    it.run();
    CHECK(closing_fixture::is_closed(idle));
    CHECK_FALSE(closing_fixture::is_closed(busy));
}

// The header has been read and the body has not arrived yet.
TEST_CASE("a connection in the middle of a request is not idle", "[http]")
{
    closing_fixture it;
    tcp::socket caller = it.connect();
    std::string_view const head =
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n";
    asio::write(caller, asio::buffer(head));
    it.run();
    it.server.stop_accepting();
    it.server.close_idle();
    it.run();
    CHECK_FALSE(closing_fixture::is_closed(caller));
    asio::write(caller, asio::buffer(std::string_view{"ok"}));
    it.run();
    REQUIRE(it.exchange);
    it.exchange->send_head(200, {{"Content-Length", "0"}});
    it.exchange->finish();
    it.run();
    CHECK(closing_fixture::is_closed(caller));
}
