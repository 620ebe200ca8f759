#include <hornbeamweir/platform/etcd_gateway.hpp>

#include "test/support/child_process.hpp"
#include "test/support/flood_server.hpp"
#include "test/support/http_client.hpp"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <thread>

using namespace hornbeamweir;
using namespace test;

// Guards against a platform whose watch sends a line without end, which the
// process would keep, and search again for its end with each read.
TEST_CASE("a watch ends at a line without end")
{
    constexpr std::size_t flood_bytes = 60'000'000;
    constexpr std::size_t chunk_size = 0x8000;
    int const port = free_port();
    flood_server const platform{
        port,
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
         "8000\r\n" + std::string(chunk_size, 'a') + "\r\n",
         flood_bytes}};
    boost::asio::io_context context;
    etcd_gateway gateway{
        context,
        {"127.0.0.1:" + std::to_string(port)},
        std::chrono::seconds{5}};
    bool ended = false;
    std::unique_ptr<watch_handle> const watch = gateway.watch_prefix(
        "x",
        1,
        [](std::vector<watch_event> const&) {},
        [&](error const&) { ended = true; });
    CHECK(eventually(
        [&]
        {
            context.run_for(std::chrono::milliseconds{10});
            return ended;
        }));
    CHECK(platform.sent_bytes() < flood_bytes);
}
