#include "bounded_deployment.hpp"
#include "test/support/crowd.hpp"
#include "test/support/flood_server.hpp"

#include <catch2/catch.hpp>

// Each case sends one kind of crowd to one port of an entry or an agent, and
// guards against a process that ends, hangs or leaves the bounds in its
// settings, and against ordinary callers that get no answer while the crowd
// stays.

using namespace test;

namespace
{

crowd_script body(std::size_t size, std::size_t sent)
{
    std::string head = request_head(completions) +
                       "Content-Length: " + std::to_string(size) + "\r\n\r\n";
    std::size_t const bytes = head.size() + sent;
    return {std::move(head), "b", bytes};
}

crowd_script endless_trailer()
{
    return {
        request_head(completions) +
            "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n",
        "X-Trailer: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n",
        60 * megabyte};
}

/// \brief Connections that send nothing.
crowd_script silence()
{
    return {"", "", 0};
}

} // namespace

TEST_CASE("own entry callers: trailers without end")
{
    bounded_deployment it;
    crowd const present{it.system.entry_port(0), 4, endless_trailer()};
    it.check_serves(entry);
}

TEST_CASE("own entry callers: many bodies that stay incomplete")
{
    bounded_deployment it;
    crowd const present{it.system.entry_port(0), 1800, body(65'536, 60'000)};
    it.check_serves(entry);
}

TEST_CASE("own entry callers: more idle connections than descriptors")
{
    bounded_deployment it{low_descriptors};
    crowd const present{it.system.entry_port(0), over_descriptors, silence()};
    it.check_serves(entry);
}

TEST_CASE("own entry admin: large bodies")
{
    bounded_deployment it;
    constexpr std::size_t size = 4'000'000;
    crowd const present{it.system.admin_port(0), 60, body(size, size - 1)};
    CHECK(get(it.system.admin_port(0), "/metrics").status == 200);
    it.check_serves(entry);
}

TEST_CASE("own entry admin: more idle connections than descriptors")
{
    bounded_deployment it{low_descriptors};
    crowd const present{it.system.admin_port(0), over_descriptors, silence()};
    CHECK(get(it.system.admin_port(0), "/metrics").status == 200);
    it.check_serves(entry);
}

TEST_CASE("own agent admin: large bodies")
{
    bounded_deployment it;
    int const port = it.system.agent_admin_port("badges-0");
    constexpr std::size_t size = 4'000'000;
    crowd const present{port, 60, body(size, size - 1)};
    CHECK(get(port, "/metrics").status == 200);
    it.check_serves(agent);
}

TEST_CASE("own agent messages: more idle connections than descriptors")
{
    bounded_deployment it{low_descriptors};
    crowd const present{
        it.system.message_port("badges-0"), over_descriptors, silence()};
    it.check_serves(agent);
}

TEST_CASE("own agent backend server: trailers without end")
{
    bounded_deployment it;
    it.system.process("service-badges-0").kill();
    flood_server const backend{
        it.system.backend_port("badges-0"),
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
         "2\r\n{}\r\n0\r\n",
         "X-Trailer: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n",
         400 * megabyte}};
    REQUIRE(eventually([&] { return backend.sent_bytes() > 2 * megabyte; }));
    REQUIRE(it.system.process(agent).is_alive());
    CHECK(
        it.system.process(agent).peak_resident_bytes() / megabyte <= memory_mb);
    CHECK(
        it.system
            .call(
                0,
                "POST",
                completions,
                R"({"model":"stroke-coach","max_tokens":2})")
            .status == 200);
}
