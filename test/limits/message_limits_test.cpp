#include "bounded_deployment.hpp"
#include "test/support/crowd.hpp"
#include "test/support/flood_server.hpp"
#include "test/support/returning_crowd.hpp"

#include <catch2/catch.hpp>
#include <zmq.hpp>

// Crowds at the message ports of entries and agents, and answers of backend
// servers that are larger than what their callers read.

using namespace test;

namespace
{

/// More than the descriptors of a process and the connections that its system
/// accepts ahead.
constexpr std::size_t returning = 1000;

/// As if the crowd's requests were those of many customers.
constexpr char const* many_customers =
    "requests_per_second: 100000, burst: 100000, concurrency: 100000";

/// \brief Waits until a crowd has used all descriptors several times, if it
/// can.
void wait_for_returns(returning_crowd const& present)
{
    constexpr std::size_t rounds = 3;
    constexpr std::chrono::seconds limit{60};
    REQUIRE(eventually(
        [&] { return present.attempts() >= rounds * returning; }, limit));
}

/// \brief Restarts the entry, which then needs a new connection to each agent,
/// and waits until it has one.
void restart_entry(bounded_deployment& it)
{
    constexpr std::chrono::seconds limit{60};
    it.system.process(entry).kill();
    it.system.start_entry(0);
    CHECK(eventually(
        [&] { return it.system.call(0, "POST", award, "{}").status == 200; },
        limit));
}

/// \brief Sends messages to an agent with the key of the entry, until the agent
/// ends the connection or has received them.
void send_messages(
    bounded_deployment const& it, std::size_t count, std::size_t size)
{
    constexpr int timeout_ms = 3000;
    hornbeamweir::curve_keys const keys = it.system.entry_keys(0);
    zmq::context_t context{1};
    zmq::socket_t socket{context, zmq::socket_type::dealer};
    socket.set(zmq::sockopt::linger, timeout_ms);
    socket.set(zmq::sockopt::sndtimeo, timeout_ms);
    socket.set(zmq::sockopt::sndhwm, 1);
    socket.set(zmq::sockopt::curve_publickey, keys.public_key);
    socket.set(zmq::sockopt::curve_secretkey, keys.secret_key);
    socket.set(
        zmq::sockopt::curve_serverkey, it.system.message_key("badges-0"));
    socket.connect(
        "tcp://127.0.0.1:" +
        std::to_string(it.system.message_port("badges-0")));
    for (std::size_t n = 0; n < count; ++n)
    {
        zmq::message_t message{size};
        std::fill_n(message.data<char>(), size, 'a');
        static_cast<void>(socket.send(message, zmq::send_flags::none));
    }
}

crowd_script award_request(std::string const& key)
{
    std::string const more =
        key.empty() ? "" : "Idempotency-Key: " + key + "\r\n";
    std::string begin =
        request_head(award) + more + "Content-Length: 2\r\n\r\n{}";
    std::size_t const bytes = begin.size();
    return {std::move(begin), "", bytes};
}

crowd_script large_answer(std::size_t size)
{
    std::string const begin =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) +
        "\r\n\r\n";
    return {begin, "x", begin.size() + size};
}

} // namespace

TEST_CASE("own agent messages: connections again and again")
{
    bounded_deployment it{low_descriptors};
    returning_crowd const present{
        it.system.message_port("badges-0"), returning};
    wait_for_returns(present);
    it.check_serves(agent);
}

TEST_CASE("own entry messages: connections again and again")
{
    bounded_deployment it{low_descriptors};
    returning_crowd const present{it.system.entry_message_port(0), returning};
    wait_for_returns(present);
    it.check_serves(entry);
}

// A crowd of another machine must leave room for entries that connect.
TEST_CASE("own agent messages: an entry connects beside returning connections")
{
    bounded_deployment it{low_descriptors};
    returning_crowd const present{
        it.system.message_port("badges-0"), returning, "127.0.0.2"};
    wait_for_returns(present);
    restart_entry(it);
    it.check_within(agent);
}

TEST_CASE("own agent messages: large messages of a process with a key")
{
    constexpr std::size_t size = 60 * megabyte;
    constexpr std::size_t count = 4;
    bounded_deployment it;
    send_messages(it, count, size);
    it.check_serves(agent);
}

TEST_CASE("own entry callers: answers that are not read")
{
    constexpr std::size_t requests = 500;
    bounded_deployment it{0, many_customers};
    it.system.process("service-badges-0").kill();
    flood_server const backend{
        it.system.backend_port("badges-0"), large_answer(400 * megabyte)};
    crowd const present{it.system.entry_port(0), requests, award_request("")};
    REQUIRE(eventually([&] { return backend.sent_bytes() > megabyte; }));
    it.check_rank_serves(agent);
    it.check_rank_serves(entry);
}

TEST_CASE("own agent backend server: large answers to requests with keys")
{
    constexpr std::size_t requests = 60;
    bounded_deployment it{0, many_customers};
    it.system.process("service-badges-0").kill();
    flood_server const backend{
        it.system.backend_port("badges-0"), large_answer(400 * megabyte)};
    std::vector<std::unique_ptr<crowd>> callers;
    for (std::size_t n = 0; n < requests; ++n)
        callers.push_back(std::make_unique<crowd>(
            it.system.entry_port(0),
            1,
            award_request("key-" + std::to_string(n))));
    REQUIRE(eventually([&] { return backend.sent_bytes() > megabyte; }));
    it.check_rank_serves(agent);
    it.check_rank_serves(entry);
}

TEST_CASE("own entry callers: requests sent ahead of answers")
{
    constexpr std::size_t connections = 1200;
    bounded_deployment it{0, many_customers};
    it.system.process("service-badges-0").kill();
    flood_server const backend{
        it.system.backend_port("badges-0"), {"HTTP/1.1 200 OK\r\n", "", 17}};
    crowd_script script = award_request("");
    script.repeated = script.begin;
    script.max_bytes = megabyte;
    crowd const present{
        it.system.entry_port(0), connections, std::move(script)};
    CHECK(
        (it.system.process(entry).peak_resident_bytes() +
         queued_bytes(it.system.entry_port(0))) /
            megabyte <=
        memory_mb);
    it.check_rank_serves(entry);
}
