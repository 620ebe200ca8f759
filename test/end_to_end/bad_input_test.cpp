#include "test/support/deployment.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <thread>

using test::deployment;
using test::http_answer;
using tcp = boost::asio::ip::tcp;

namespace
{

/// Sends raw bytes and returns everything received until the connection closes.
std::string send_raw(int port, std::string const& bytes)
{
    boost::asio::io_context context;
    tcp::socket socket{context};
    socket.connect(
        {boost::asio::ip::address_v4::loopback(),
         static_cast<std::uint16_t>(port)});
    boost::system::error_code ec;
    boost::asio::write(socket, boost::asio::buffer(bytes), ec);
    std::string answer;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), ec);
    return answer;
}

void check_serves(deployment const& system)
{
    http_answer const answer = system.call(
        0,
        "POST",
        "/v1/chat/completions",
        R"({"model":"stroke-coach","max_tokens":2})");
    CHECK(answer.status == 200);
    CHECK(answer.whole);
}

} // namespace

TEST_CASE(
    "invalid requests get a specific error and do not affect later requests")
{
    deployment system{{1, 1, 1, 5}};
    system.apply_first_note();
    struct row
    {
        std::string method;
        std::string target;
        std::string body;
        hornbeamweir::header_list headers;
        unsigned status;
        std::string contains;
    };
    std::string const completions = "/v1/chat/completions";
    std::vector<row> const rows{
        {"POST", completions, "{", {}, 400, "\"code\":100"},
        {"POST", completions, "[]", {}, 400, "no JSON object"},
        {"POST", completions, "{}", {}, 400, "no 'model'"},
        {"POST", completions, R"({"model":"x"})", {}, 404, "no model x"},
        {"GET", completions, "", {}, 405, "expected POST"},
        {"GET", "/nothing", "", {}, 404, "\"execution\":\"not run\""},
        {"POST", "/services/none/x", "", {}, 503, "\"execution\":\"not run\""},
        {"POST",
         completions,
         "{}",
         {{"Authorization", "Bearer no"}},
         401,
         "101"},
        {"POST", completions, "{}", {{"Authorization", "x"}}, 401, "Bearer"},
        {"POST",
         "/services/badges/x",
         "",
         {{"Idempotency-Key", std::string(300, 'k')}},
         400,
         "300 characters"},
        {"POST",
         "/services/badges/x",
         "",
         {{"X-Request-Timeout-Ms", "soon"}},
         400,
         "\\\"soon\\\""},
        {"POST", "/services/badges/\xc3\x28", "", {}, 200, "execution"},
        {"POST", completions, std::string(70'000, ' '), {}, 413, "104"},
    };
    for (row const& it : rows)
    {
        http_answer const answer =
            system.call(0, it.method, it.target, it.body, it.headers);
        INFO(it.method << ' ' << it.target << ": " << answer.body);
        CHECK(answer.status == it.status);
        CHECK(answer.body.find(it.contains) != std::string::npos);
    }
    check_serves(system);
}

TEST_CASE("malformed, oversized and slow HTTP requests are rejected")
{
    deployment system{{1, 1, 1, 5}};
    system.apply_first_note();
    int const port = system.entry_port(0);
    std::string const head = "GET / HTTP/1.1\r\nHost: x\r\n";
    CHECK(send_raw(port, "no http\r\n\r\n").find(" 400 ") != std::string::npos);
    CHECK(
        send_raw(port, head + "X: " + std::string(20'000, 'x') + "\r\n\r\n")
            .find(" 431 ") != std::string::npos);
    // A slow sender is disconnected after the read timeout of one second.
    CHECK(send_raw(port, head).find(" 408 ") != std::string::npos);
    CHECK(
        send_raw(
            port, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nab")
            .find(" 408 ") != std::string::npos);
    check_serves(system);
}

TEST_CASE("pipelined requests on one connection do not block other connections")
{
    deployment system{{1, 1, 1, 5}};
    system.apply_first_note();
    std::string pipelined;
    for (int n = 0; n < 2'000; ++n)
        pipelined += "GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n";
    pipelined +=
        "GET /nothing HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    std::string answers;
    std::thread pipelining_client{
        [&] { answers = send_raw(system.entry_port(0), pipelined); }};
    for (int n = 0; n < 10; ++n)
        check_serves(system);
    pipelining_client.join();
    CHECK(answers.find(" 401 ") != std::string::npos);
}

TEST_CASE("the message port rejects random bytes and unknown keys")
{
    deployment system{{1, 1, 1, 5}};
    system.apply_first_note();
    std::string garbage(100'000, '\0');
    std::uint32_t state = 1;
    for (char& c : garbage)
    {
        state = state * 1664525U + 1013904223U;
        c = static_cast<char>(state >> 24U);
    }
    int const port = system.message_port("badges-0");
    static_cast<void>(send_raw(port, garbage));
    static_cast<void>(send_raw(port, std::string(64, '\xff')));

    boost::asio::io_context context;
    hornbeamweir::curve_keys const stranger = hornbeamweir::make_curve_keys();
    int answers = 0;
    hornbeamweir::message_socket socket{
        context,
        {"127.0.0.1:" + std::to_string(test::free_port()),
         stranger.public_key,
         stranger.secret_key,
         {}},
        hornbeamweir::process_name{"stranger"},
        1,
        [&](hornbeamweir::peer const&, hornbeamweir::wire::envelope const&)
        { ++answers; }};
    socket.listen();
    socket.dial(
        "agent",
        "127.0.0.1:" + std::to_string(port),
        system.message_key("badges-0"));
    hornbeamweir::wire::envelope ping;
    ping.mutable_membership()->mutable_ping()->set_sequence(1);
    static_cast<void>(
        socket.send({hornbeamweir::peer_side::dialled, "agent"}, ping));
    context.run_for(std::chrono::milliseconds{700});
    CHECK(answers == 0);
    http_answer const status =
        test::get(system.agent_admin_port("badges-0"), "/status");
    CHECK(status.body.find("\"refused\":0") == std::string::npos);
    check_serves(system);
}
