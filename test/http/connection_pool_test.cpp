#include <hornbeamweir/http/connection_pool.hpp>

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <thread>

using namespace hornbeamweir;
namespace asio = boost::asio;
using tcp = boost::asio::ip::tcp;

namespace
{

/// \brief Accepts one connection for each list of responses; sends the next
/// response of the list for each request and closes the connection after the
/// last one.
class scripted_server
{
public:
    explicit scripted_server(std::vector<std::vector<std::string>> connections)
        : acceptor_{context_, {asio::ip::make_address("127.0.0.1"), 0}}
        , thread_{[this, script = std::move(connections)] { serve(script); }}
    {
    }
    ~scripted_server() { thread_.join(); }
    scripted_server(scripted_server const&) = delete;
    scripted_server& operator=(scripted_server const&) = delete;

    [[nodiscard]] tcp::endpoint endpoint() const
    {
        return acceptor_.local_endpoint();
    }

private:
    void serve(std::vector<std::vector<std::string>> const& script)
    {
        for (std::vector<std::string> const& responses : script)
        {
            tcp::socket socket{context_};
            acceptor_.accept(socket);
            asio::streambuf buffer;
            for (std::string const& text : responses)
            {
                boost::system::error_code ec;
                std::size_t const n =
                    asio::read_until(socket, buffer, "\r\n\r\n", ec);
                if (ec)
                    break;
                buffer.consume(n);
                asio::write(socket, asio::buffer(text), ec);
            }
        }
    }

    asio::io_context context_;
    tcp::acceptor acceptor_;
    std::thread thread_;
};

std::string response(std::string const& id, std::string const& body)
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

/// \brief A pool on which the test makes one call at a time.
struct client_fixture
{
    struct outcome
    {
        std::string body;
        bool ended = false;
        bool failed = false;
        bool sent = false;
    };

    outcome
    get(tcp::endpoint const& server, std::string const& id, bool fresh = false)
    {
        outcome out;
        pooled_call_options options;
        options.correlation_header = "X-Id";
        options.fresh_connection = fresh;
        options.timeout = std::chrono::seconds{2};
        pooled_call_handlers handlers;
        handlers.data = [&](std::string const& bytes) { out.body += bytes; };
        handlers.ended = [&] { out.ended = true; };
        handlers.failed = [&](error const&, bool sent)
        {
            out.failed = true;
            out.sent = sent;
        };
        std::unique_ptr<pooled_call> const call = pool.call(
            server,
            {"GET", "/", {{"Host", "h"}, {"X-Id", id}}, {}},
            options,
            handlers);
        while (!out.ended && !out.failed)
            context.run_one();
        // Lets the pool detect that the server has closed the connection.
        context.restart();
        context.run_for(std::chrono::milliseconds{20});
        context.restart();
        return out;
    }

    asio::io_context context;
    connection_pool pool{context, 4};
};

} // namespace

TEST_CASE("connections are reused", "[http]")
{
    scripted_server server{{{response("1", "one"), response("2", "two")}}};
    client_fixture client;
    CHECK(client.get(server.endpoint(), "1").body == "one");
    CHECK(client.get(server.endpoint(), "2").body == "two");
    CHECK(client.pool.totals().opened == 1);
    CHECK(client.pool.totals().reused == 1);
}

TEST_CASE("a response to another request is skipped", "[http]")
{
    scripted_server server{
        {{response("1", "one"),
          response("1", "again") + response("2", "two")}}};
    client_fixture client;
    CHECK(client.get(server.endpoint(), "1").body == "one");
    CHECK(client.get(server.endpoint(), "2").body == "two");
    CHECK(client.pool.totals().skipped == 1);
}

// Guards against an earlier refusal that a replica sends once more, and that
// would be taken for the answer of a request which runs.
TEST_CASE(
    "a refusal without an id is no answer on a reused connection", "[http]")
{
    std::string const refusal =
        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
        "Content-Length: 0\r\n\r\n";
    scripted_server server{
        {{response("1", "one"), refusal + response("2", "two")}}};
    client_fixture client;
    CHECK(client.get(server.endpoint(), "1").body == "one");
    client_fixture::outcome const second = client.get(server.endpoint(), "2");
    CHECK(second.failed);
    CHECK(second.sent);
    CHECK_FALSE(second.ended);
}

TEST_CASE("bytes after a response close its connection", "[http]")
{
    scripted_server server{
        {{response("1", "one") + response("1", "extra")},
         {response("2", "two")}}};
    client_fixture client;
    CHECK(client.get(server.endpoint(), "1").body == "one");
    CHECK(client.get(server.endpoint(), "2").body == "two");
    CHECK(client.pool.totals().opened == 2);
}

TEST_CASE("a call fails on a truncated or invalid response", "[http]")
{
    struct row
    {
        char const* text;
        bool ended;
    };
    std::vector<row> const rows{
        {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", false},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
         false},
        // Without a length, the end of the connection ends the body.
        {"HTTP/1.1 200 OK\r\n\r\nuntil the end", true},
        {"no protocol", false},
        {"", false},
    };
    for (row const& it : rows)
    {
        CAPTURE(it.text);
        scripted_server server{{{it.text}}};
        client_fixture client;
        client_fixture::outcome const out = client.get(server.endpoint(), "1");
        CHECK(out.ended == it.ended);
        CHECK(out.failed != it.ended);
        CHECK(out.sent != it.ended);
    }
}

TEST_CASE("a call with fresh_connection opens a new connection", "[http]")
{
    scripted_server server{{{response("1", "one")}, {response("2", "two")}}};
    client_fixture client;
    CHECK(client.get(server.endpoint(), "1").body == "one");
    CHECK(client.get(server.endpoint(), "2", true).body == "two");
    CHECK(client.pool.totals().opened == 2);
}

TEST_CASE("a call to an unreachable server fails as not sent", "[http]")
{
    tcp::endpoint unreachable;
    {
        asio::io_context context;
        tcp::acceptor const acceptor{
            context, {asio::ip::make_address("127.0.0.1"), 0}};
        unreachable = acceptor.local_endpoint();
    }
    client_fixture client;
    client_fixture::outcome const out = client.get(unreachable, "1");
    CHECK(out.failed);
    CHECK_FALSE(out.sent);
}

// Guards against idle connections to many servers that use up the descriptors
// of the process.
TEST_CASE("idle connections make room for new ones", "[http]")
{
    constexpr std::size_t max_connections = 3;
    constexpr std::size_t server_count = 6;
    // The servers end when the pool closes its connections.
    std::vector<std::unique_ptr<scripted_server>> servers;
    asio::io_context context;
    connection_pool pool{context, server_count, nullptr, max_connections};
    std::size_t ended = 0;
    for (std::size_t n = 0; n < server_count; ++n)
    {
        servers.push_back(std::make_unique<scripted_server>(
            std::vector<std::vector<std::string>>{
                {response("a", "x"), response("a", "x")}}));
        pooled_call_handlers handlers;
        handlers.ended = [&] { ++ended; };
        std::unique_ptr<pooled_call> const call = pool.call(
            servers.back()->endpoint(), {"GET", "/", {}, ""}, {}, handlers);
        while (ended <= n)
            context.run_one();
    }
    CHECK(pool.totals().opened == server_count);
    CHECK(pool.totals().evicted == server_count - max_connections);
}
