#include <hornbeamweir/http/connection_pool.hpp>

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <thread>

using namespace hornbeamweir;
namespace asio = boost::asio;
using tcp = boost::asio::ip::tcp;
using std::chrono::seconds;

namespace
{

/// \brief Answers one request with a text, and then repeats another one until
/// the caller closes the connection.
class endless_server
{
public:
    endless_server(std::string begin, std::string repeated)
        : acceptor_{context_, {asio::ip::make_address("127.0.0.1"), 0}}
        , thread_{
              [this, begin = std::move(begin), repeated = std::move(repeated)]
              { serve(begin, repeated); }}
    {
    }
    ~endless_server() { thread_.join(); }
    endless_server(endless_server const&) = delete;
    endless_server& operator=(endless_server const&) = delete;

    [[nodiscard]] tcp::endpoint endpoint() const
    {
        return acceptor_.local_endpoint();
    }

private:
    void serve(std::string const& begin, std::string const& repeated)
    {
        tcp::socket socket{context_};
        acceptor_.accept(socket);
        asio::streambuf buffer;
        boost::system::error_code ec;
        asio::read_until(socket, buffer, "\r\n\r\n", ec);
        asio::write(socket, asio::buffer(begin), ec);
        std::string block;
        while (block.size() < std::size_t{16} * 1024)
            block += repeated;
        while (!ec)
            asio::write(socket, asio::buffer(block), ec);
    }

    asio::io_context context_;
    tcp::acceptor acceptor_;
    std::thread thread_;
};

} // namespace

TEST_CASE("a response without end fails the call", "[http]")
{
    struct row
    {
        char const* name;
        std::string begin;
        std::string repeated;
        std::optional<std::size_t> max_body_bytes;
    };
    std::string const head = "HTTP/1.1 200 OK\r\n";
    std::vector<row> const rows{
        {"status line", "HTTP/1.1 200 ", "x", {}},
        {"header field", head + "A: ", "x", {}},
        {"header fields", head, "A: x\r\n", {}},
        {"no HTTP", "", "x", {}},
        {"informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n", {}},
        {"chunk size",
         head + "Transfer-Encoding: chunked\r\n\r\n1;a=",
         "x",
         {}},
        {"trailer",
         head + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
         "A: x\r\n",
         {}},
        {"body", head + "\r\n", "x", std::size_t{100'000}},
        {"chunks",
         head + "Transfer-Encoding: chunked\r\n\r\n",
         "1\r\nx\r\n",
         std::size_t{100'000}},
    };
    for (row const& it : rows)
    {
        CAPTURE(it.name);
        endless_server const server{it.begin, it.repeated};
        asio::io_context context;
        connection_pool pool{context, 4};
        pooled_call_options options;
        options.timeout = seconds{10};
        options.max_body_bytes = it.max_body_bytes;
        bool ended = false;
        std::optional<error> failure;
        std::size_t received = 0;
        pooled_call_handlers handlers;
        handlers.data = [&](std::string const& bytes)
        { received += bytes.size(); };
        handlers.ended = [&] { ended = true; };
        handlers.failed = [&](error const& reason, bool)
        {
            failure = reason;
            context.stop();
        };
        std::unique_ptr<pooled_call> const call = pool.call(
            server.endpoint(),
            {"GET", "/", {{"Host", "h"}}, {}},
            options,
            handlers);
        context.run_for(seconds{3});
        CHECK(failure);
        CHECK_FALSE(ended);
        CHECK(received <= it.max_body_bytes.value_or(0));
    }
}
