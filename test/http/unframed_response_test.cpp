#include <hornbeamweir/http/connection_pool.hpp>

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <thread>

using namespace hornbeamweir;
namespace asio = boost::asio;
using tcp = boost::asio::ip::tcp;

namespace
{

/// \brief Answers one request, and then closes or resets the connection.
void serve(tcp::acceptor& acceptor, std::string const& response, bool reset)
{
    tcp::socket socket = acceptor.accept();
    asio::streambuf buffer;
    boost::system::error_code ec;
    asio::read_until(socket, buffer, "\r\n\r\n", ec);
    asio::write(socket, asio::buffer(response), ec);
    // Lets the caller read what was sent: a reset discards it.
    std::this_thread::sleep_for(std::chrono::milliseconds{50});
    if (reset)
        socket.set_option(asio::socket_base::linger{true, 0});
    socket.close();
}

} // namespace

TEST_CASE("a response that ends with its connection is whole unless reset")
{
    struct row
    {
        char const* name;
        std::string response;
        bool reset;
        bool whole;
        std::string body;
    };
    std::string const head = "HTTP/1.1 200 OK\r\n";
    std::string const events = "id: 1\ndata: x\n\nid: 2\nda";
    std::vector<row> const rows{
        {"closed", head + "\r\nhello", false, true, "hello"},
        {"closed, empty", head + "\r\n", false, true, ""},
        {"closed, stream", head + "\r\n" + events, false, true, events},
        {"reset", head + "\r\nhello", true, false, "hello"},
        {"reset, empty", head + "\r\n", true, false, ""},
        {"closed within its length",
         head + "Content-Length: 9\r\n\r\nhello",
         false,
         false,
         "hello"},
        {"closed within a chunk",
         head + "Transfer-Encoding: chunked\r\n\r\n9\r\nhello",
         false,
         false,
         "hello"},
    };
    for (row const& it : rows)
    {
        CAPTURE(it.name);
        asio::io_context context;
        asio::io_context server;
        tcp::acceptor acceptor{
            server, {asio::ip::make_address("127.0.0.1"), 0}};
        std::thread thread{[&] { serve(acceptor, it.response, it.reset); }};
        connection_pool pool{context, 4};
        bool ended = false;
        bool failed = false;
        std::string body;
        pooled_call_handlers handlers;
        handlers.data = [&](std::string const& bytes) { body += bytes; };
        handlers.ended = [&] { ended = true; };
        handlers.failed = [&](error const&, bool) { failed = true; };
        std::unique_ptr<pooled_call> const call = pool.call(
            acceptor.local_endpoint(),
            {"GET", "/", {{"Host", "h"}}, {}},
            {},
            handlers);
        while (!ended && !failed)
            context.run_one();
        thread.join();
        CHECK(ended == it.whole);
        CHECK(body == it.body);
    }
}
