#include <hornbeamweir/http/http_server.hpp>

#include "test/support/child_process.hpp"
#include "test/support/mutation.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace hornbeamweir;
using tcp = boost::asio::ip::tcp;

namespace
{

/// Header of a request with a body in chunks.
std::string const chunked_head =
    "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
std::string const chunks = "2;e=1\r\nok\r\n3\r\nabc\r\n0\r\nX-Late: 1\r\n\r\n";
std::string const expecting =
    "POST /x HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nok";

std::vector<std::string> const corpus{
    "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello",
    chunked_head + chunks,
    chunked_head + "fff\r\n" + std::string(600, 'a'),
    expecting,
    "GET /a HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.0\r\n\r\n"};

} // namespace

// Guards against bytes at which the reading of a request ends the process, or
// goes on without reading any more.
TEST_CASE("mutated requests are read or rejected", "[http]")
{
    boost::asio::io_context context;
    http_limits limits;
    limits.max_header_bytes = 1024;
    limits.max_body_bytes = 256;
    http_server const server{
        context,
        "127.0.0.1:" + std::to_string(test::free_port()),
        limits,
        [](std::shared_ptr<http_exchange> const& exchange,
           http_request_message request)
        { send_response(*exchange, 200, "text/plain", request.body); },
        [](http_exchange& exchange, result_code code)
        { send_response(exchange, http_status_of(code), "text/plain", ""); },
        std::make_shared<memory_budget>(100'000)};
    test::fuzz(
        corpus,
        [&](std::string const& bytes)
        {
            tcp::socket caller{context};
            caller.connect(
                {boost::asio::ip::make_address("127.0.0.1"), server.port()});
            boost::system::error_code ignored;
            boost::asio::write(caller, boost::asio::buffer(bytes), ignored);
            caller.shutdown(tcp::socket::shutdown_send, ignored);
            std::uint64_t const accepted = server.totals().accepted;
            while (server.totals().accepted == accepted)
                context.run_one_for(std::chrono::seconds{1});
            while (server.totals().open > 0 &&
                   context.run_one_for(std::chrono::seconds{1}) > 0)
            {
            }
        });
    CHECK(server.totals().open == 0);
}
