#include "pooled_exchange.hpp"

#include "request_text.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <array>
#include <netinet/tcp.h>
#include <optional>

namespace hornbeamweir
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

constexpr std::uint32_t max_header_bytes = 32 * 1024;
constexpr std::size_t read_size = 16 * 1024;
/// A connection fails if sent bytes stay unacknowledged for this time: servers
/// that lost power or are disconnected from the network send no reset.
constexpr int unacknowledged_ms = 3000;
/// Maximum number of responses to earlier requests that are skipped before the
/// call fails.
constexpr int max_skipped = 3;
/// Maximum number of informational responses before the final one.
constexpr int max_informational = 8;
/// What a call holds beside the request: the connection, and a part of the
/// response.
constexpr std::size_t call_bytes = std::size_t{48} * 1024;

} // namespace

class pooled_exchange : public std::enable_shared_from_this<pooled_exchange>
{
public:
    using parser_type = http::response_parser<http::buffer_body>;

    pooled_exchange(
        std::shared_ptr<connection_pool::impl> pool,
        http_request_message request,
        pooled_call_options options,
        pooled_call_handlers handlers)
        : pool_{std::move(pool)}
        , options_{std::move(options)}
        , handlers_{std::move(handlers)}
        , timer_{pool_->context()}
        , charge_{pool_->budget()}
        , head_{serialize_head(request)}
        , body_{std::move(request.body)}
        , is_head_request_{request.method == "HEAD"}
    {
        charge_.set(call_bytes);
        if (!options_.correlation_header.empty())
        {
            std::string const* const id =
                find_header(request.headers, options_.correlation_header);
            if (id)
                expected_id_ = *id;
        }
    }

    void begin(tcp::endpoint const& server)
    {
        if (!abandoned_)
            start(server);
    }

    [[nodiscard]] asio::io_context& executor_context()
    {
        return pool_->context();
    }

    void pause(bool paused)
    {
        paused_ = paused;
        if (!paused_ && !reading_ && head_done_ && connection_)
            read_some();
    }

    /// Cancels the call without calling a handler.
    void abandon()
    {
        abandoned_ = true;
        handlers_ = {};
        close();
    }

private:
    void start(tcp::endpoint const& server);

    void start_timer(duration time)
    {
        timer_.expires_after(time);
        timer_.async_wait(
            [weak = weak_from_this()](boost::system::error_code ec)
            {
                std::shared_ptr<pooled_exchange> const self = weak.lock();
                if (!ec && self && self->connection_)
                    self->fail(result_code::deadline_exceeded, "timed out");
            });
    }

    void on_connected(boost::system::error_code ec)
    {
        if (!connection_)
            return;
        if (ec)
        {
            fail(result_code::backend_unreachable, ec.message());
            return;
        }
        boost::system::error_code ignored;
        connection_->socket.set_option(tcp::no_delay{true}, ignored);
        connection_->socket.set_option(
            asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>{
                unacknowledged_ms},
            ignored);
        start_timer(deadline_ - process_clock::now());
        send();
    }

    void send()
    {
        sent_ = true;
        asio::async_write(
            connection_->socket,
            std::array{asio::buffer(head_), asio::buffer(body_)},
            [self =
                 shared_from_this()](boost::system::error_code ec, std::size_t)
            {
                if (!self->connection_)
                    return;
                if (ec)
                    self->fail(result_code::backend_failed, ec.message());
                else
                    self->on_sent();
            });
    }

    // The response may last long, and the request is not needed any more.
    void on_sent()
    {
        head_ = {};
        body_ = {};
        read_head();
    }

    void read_head()
    {
        parser_.emplace();
        parser_->body_limit(boost::none);
        parser_->header_limit(max_header_bytes);
        parser_->skip(is_head_request_);
        http::async_read_header(
            connection_->socket,
            connection_->buffer,
            *parser_,
            [self =
                 shared_from_this()](boost::system::error_code ec, std::size_t)
            { self->on_head(ec); });
    }

    void on_head(boost::system::error_code ec)
    {
        if (!connection_)
            return;
        if (ec)
        {
            fail(result_code::backend_failed, ec.message());
            return;
        }
        constexpr unsigned first_final_status = 200;
        if (parser_->get().result_int() < first_final_status)
        {
            if (++informational_ > max_informational)
                fail(result_code::backend_failed, "no final response");
            else
                read_head();
            return;
        }
        if (expected_id_)
        {
            boost::beast::string_view const id =
                parser_->get()[options_.correlation_header];
            if (!connection_->accepts_response(!id.empty()))
                return fail(result_code::backend_failed, "no request id");
            skipping_ = !id.empty() && id != *expected_id_;
        }
        if (skipping_ && ++skipped_ > max_skipped)
        {
            fail(result_code::backend_failed, "answers to other requests");
            return;
        }
        head_done_ = true;
        if (skipping_)
            ++pool_->totals.skipped;
        else
            report_head();
        if (connection_)
            read_some();
    }

    void report_head()
    {
        header_list headers;
        for (auto it = parser_->get().begin(); it != parser_->get().end(); ++it)
        {
            headers.push_back(
                {std::string{it->name_string()}, std::string{it->value()}});
        }
        std::function<void(unsigned, header_list)> const head = handlers_.head;
        if (head)
            head(parser_->get().result_int(), std::move(headers));
    }

    void read_some()
    {
        if (parser_->is_done())
        {
            end();
            return;
        }
        if (paused_)
            return;
        reading_ = true;
        chunk_.resize(read_size);
        parser_->get().body().data = chunk_.data();
        parser_->get().body().size = chunk_.size();
        http::async_read_some(
            connection_->socket,
            connection_->buffer,
            *parser_,
            [self =
                 shared_from_this()](boost::system::error_code ec, std::size_t)
            { self->on_data(ec); });
    }

    void on_data(boost::system::error_code ec)
    {
        reading_ = false;
        if (!connection_)
            return;
        if (ec == http::error::need_buffer)
            ec = {};
        if (ec)
        {
            fail(result_code::answer_incomplete, ec.message());
            return;
        }
        std::size_t const n = chunk_.size() - parser_->get().body().size;
        body_bytes_ += n;
        if (options_.max_body_bytes && body_bytes_ > *options_.max_body_bytes)
        {
            fail(result_code::answer_incomplete, "the body is too long");
            return;
        }
        if (n > 0 && !skipping_)
        {
            std::function<void(std::string)> const data = handlers_.data;
            if (data)
                data(chunk_.substr(0, n));
        }
        if (connection_)
            read_some();
    }

    void end()
    {
        if (skipping_)
        {
            skipping_ = false;
            head_done_ = false;
            if (parser_->need_eof())
                fail(result_code::backend_failed, "connection ended");
            else
                read_head();
            return;
        }
        std::function<void()> const ended = std::move(handlers_.ended);
        handlers_ = {};
        // Bytes after the response belong to no request.
        bool const reusable = parser_->keep_alive() && !parser_->need_eof() &&
                              connection_->buffer.size() == 0;
        duration const usable =
            keep_alive_time(parser_->get()[http::field::keep_alive]);
        timer_.cancel();
        charge_.set(0);
        std::shared_ptr<pooled_connection> connection = std::move(connection_);
        connection_ = nullptr;
        if (reusable)
            pool_->release(std::move(connection), usable);
        else
            close_socket(connection->socket);
        if (ended)
            ended();
    }

    void fail(result_code code, std::string message)
    {
        std::function<void(error, bool)> const failed =
            std::move(handlers_.failed);
        handlers_ = {};
        bool const sent = sent_;
        close();
        if (failed)
            failed({code, std::move(message)}, sent);
    }

    void close()
    {
        timer_.cancel();
        charge_.set(0);
        if (!connection_)
            return;
        close_socket(connection_->socket);
        // Pending completion handlers find connection_ null; the socket stays
        // alive until they have run.
        asio::post(
            pool_->context(),
            [self = shared_from_this(), connection = connection_] {});
        connection_ = nullptr;
    }

    std::shared_ptr<connection_pool::impl> pool_;
    pooled_call_options options_;
    pooled_call_handlers handlers_;
    asio::steady_timer timer_;
    memory_charge charge_;
    std::string head_;
    std::string body_;
    std::optional<std::string> expected_id_;
    /// Null before the start and after the end.
    std::shared_ptr<pooled_connection> connection_;
    std::optional<parser_type> parser_;
    std::string chunk_;
    time_point deadline_{};
    int skipped_ = 0;
    int informational_ = 0;
    std::size_t body_bytes_ = 0;
    bool is_head_request_ = false;
    bool sent_ = false;
    bool head_done_ = false;
    bool skipping_ = false;
    bool reading_ = false;
    bool paused_ = false;
    bool abandoned_ = false;
};

void pooled_exchange::start(tcp::endpoint const& server)
{
    deadline_ = process_clock::now() + options_.timeout;
    if (!options_.fresh_connection)
        connection_ = pool_->acquire(server);
    if (connection_)
    {
        ++pool_->totals.reused;
        start_timer(options_.timeout);
        send();
        return;
    }
    ++pool_->totals.opened;
    connection_ = pool_->open(server);
    start_timer(std::min(options_.connect_timeout, options_.timeout));
    connection_->socket.async_connect(
        server,
        [self = shared_from_this()](boost::system::error_code ec)
        { self->on_connected(ec); });
}

namespace
{

class exchange_handle final : public pooled_call
{
public:
    explicit exchange_handle(std::shared_ptr<pooled_exchange> exchange)
        : exchange_{std::move(exchange)}
    {
    }
    ~exchange_handle() override { exchange_->abandon(); }

    void pause(bool paused) override { exchange_->pause(paused); }

private:
    std::shared_ptr<pooled_exchange> exchange_;
};

} // namespace

std::unique_ptr<pooled_call> start_exchange(
    std::shared_ptr<connection_pool::impl> pool,
    tcp::endpoint const& server,
    http_request_message request,
    pooled_call_options options,
    pooled_call_handlers handlers)
{
    std::shared_ptr<pooled_exchange> const exchange =
        std::make_shared<pooled_exchange>(
            std::move(pool),
            std::move(request),
            std::move(options),
            std::move(handlers));
    // Deferred, so that no handler is called before the caller holds the
    // handle.
    asio::post(
        exchange->executor_context(),
        [exchange, server] { exchange->begin(server); });
    return std::make_unique<exchange_handle>(exchange);
}

} // namespace hornbeamweir
