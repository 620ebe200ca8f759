#include <hornbeamweir/http/http_server.hpp>

#include "test/support/child_process.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace hornbeamweir;
using tcp = boost::asio::ip::tcp;

// Guards against callers that set fields such as an API key behind the body,
// where nothing that has judged the header sees them.
TEST_CASE("trailer fields of a request are not header fields", "[http]")
{
    boost::asio::io_context context;
    std::optional<http_request_message> received;
    http_server const server{
        context,
        "127.0.0.1:" + std::to_string(test::free_port()),
        {},
        [&](std::shared_ptr<http_exchange> const& exchange,
            http_request_message request)
        {
            received = std::move(request);
            exchange->abort();
        },
        [](http_exchange&, result_code) {}};
    tcp::socket caller{context};
    caller.connect({boost::asio::ip::make_address("127.0.0.1"), server.port()});
    std::string_view const request =
        "POST /x HTTP/1.1\r\nHost: a\r\nX-Kept: 1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
        "2\r\nok\r\n0\r\nX-Late: 1\r\nX-Kept: 2\r\n\r\n";
    boost::asio::write(caller, boost::asio::buffer(request));
    while (!received)
        context.run_one_for(std::chrono::seconds{1});
    CHECK(received->body == "ok");
    CHECK_FALSE(find_header(received->headers, "X-Late"));
    std::size_t kept = 0;
    for (header_field const& it : received->headers)
        kept += same_header_name(it.name, "X-Kept") ? 1 : 0;
    CHECK(kept == 1);
}
