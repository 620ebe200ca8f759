#include <hornbeamweir/http/backend_call.hpp>
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

constexpr duration timeout = std::chrono::seconds{2};

struct outcome
{
    /// 0 if no head was reported.
    unsigned status = 0;
    bool ended = false;
    bool failed = false;
    bool sent = false;
};

template <typename Handlers>
Handlers handlers_for(outcome& out)
{
    Handlers handlers;
    handlers.head = [&](unsigned status, header_list const&)
    { out.status = status; };
    handlers.ended = [&] { out.ended = true; };
    handlers.failed = [&](error const&, bool sent)
    {
        out.failed = true;
        out.sent = sent;
    };
    return handlers;
}

void run_until_done(asio::io_context& context, outcome const& out)
{
    while (!out.ended && !out.failed)
        context.run_one();
}

outcome
call_from_pool(tcp::endpoint const& server, http_request_message request)
{
    asio::io_context context;
    connection_pool pool{context, 1};
    outcome out;
    pooled_call_options options;
    options.timeout = timeout;
    std::unique_ptr<pooled_call> const call = pool.call(
        server,
        std::move(request),
        options,
        handlers_for<pooled_call_handlers>(out));
    run_until_done(context, out);
    return out;
}

outcome
call_backend_server(tcp::endpoint const& server, http_request_message request)
{
    asio::io_context context;
    outcome out;
    backend_call const call{
        context,
        server,
        std::move(request),
        timeout,
        handlers_for<backend_call_handlers>(out)};
    run_until_done(context, out);
    return out;
}

/// \brief Sends the given bytes to one caller and closes the connection.
void answer(tcp::acceptor& acceptor, std::string const& bytes)
{
    tcp::socket socket = acceptor.accept();
    asio::streambuf buffer;
    boost::system::error_code ec;
    asio::read_until(socket, buffer, "\r\n\r\n", ec);
    asio::write(socket, asio::buffer(bytes), ec);
}

} // namespace

// Guards against an answer that stops in the middle of its head and is passed
// on as a whole one with an empty or short body.
TEST_CASE("a response that stops within its head fails the call", "[http]")
{
    using client = outcome (*)(tcp::endpoint const&, http_request_message);
    struct row
    {
        char const* name;
        client call;
    };
    std::vector<row> const clients{
        {"pool", call_from_pool}, {"backend call", call_backend_server}};
    std::vector<std::string> const heads{
        "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        // Without a length, the end of the connection ends the body.
        "HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n"};
    for (row const& it : clients)
    {
        CAPTURE(it.name);
        for (std::string const& head : heads)
        {
            for (std::size_t n = 0; n < head.size(); ++n)
            {
                std::string const cut = head.substr(0, n);
                CAPTURE(cut);
                asio::io_context context;
                tcp::acceptor acceptor{
                    context, {asio::ip::make_address("127.0.0.1"), 0}};
                std::thread server{[&] { answer(acceptor, cut); }};
                outcome const out = it.call(
                    acceptor.local_endpoint(),
                    {"GET", "/", {{"Host", "h"}}, {}});
                server.join();
                CHECK(out.status == 0);
                CHECK_FALSE(out.ended);
                CHECK(out.sent);
            }
        }
    }
}

// Guards against an informational response that is passed on as the answer: the
// caller got status 100 with an empty body as a whole response.
TEST_CASE("an informational response is followed by the final one", "[http]")
{
    using client = outcome (*)(tcp::endpoint const&, http_request_message);
    for (client const call : {call_from_pool, call_backend_server})
    {
        asio::io_context context;
        tcp::acceptor acceptor{
            context, {asio::ip::make_address("127.0.0.1"), 0}};
        std::thread server{
            [&]
            {
                answer(
                    acceptor,
                    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
                    "Content-Length: 0\r\n\r\n");
            }};
        outcome const out =
            call(acceptor.local_endpoint(), {"GET", "/", {{"Host", "h"}}, {}});
        server.join();
        CHECK(out.status == 200);
        CHECK(out.ended);
    }
}
