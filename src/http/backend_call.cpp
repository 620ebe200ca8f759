#include <hornbeamweir/http/backend_call.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <optional>

namespace hornbeamweir
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::uint32_t max_header_bytes = 64 * 1024;
constexpr std::size_t read_size = 16 * 1024;
/// Bytes that are kept until they are parsed.
constexpr std::size_t max_unparsed_bytes = std::size_t{192} * 1024;
/// Maximum number of informational responses before the final one.
constexpr int max_informational = 8;
/// Pause after no connection could be opened, as the process has no descriptor
/// left.
constexpr duration connect_pause = std::chrono::milliseconds{50};

http::request<http::string_body> make_request(http_request_message message)
{
    http::request<http::string_body> request;
    request.method_string(message.method);
    request.target(message.target);
    request.version(11);
    for (header_field const& field : message.headers)
    {
        bool const is_replaced =
            is_hop_by_hop(field.name) ||
            same_header_name(field.name, "Content-Length") ||
            same_header_name(field.name, "Host");
        if (!is_replaced)
            request.insert(field.name, field.value);
    }
    request.set(http::field::host, "backend");
    request.set(http::field::connection, "close");
    request.body() = std::move(message.body);
    request.prepare_payload();
    return request;
}

} // namespace

class backend_call::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(
        asio::io_context& context,
        http_request_message message,
        backend_call_handlers handlers)
        : stream_{context}
        , connect_timer_{context}
        , handlers_{std::move(handlers)}
        , request_{make_request(std::move(message))}
    {
    }

    void start(asio::ip::tcp::endpoint const& endpoint, duration timeout)
    {
        server_ = endpoint;
        deadline_ = process_clock::now() + timeout;
        stream_.expires_after(timeout);
        connect();
    }

    void grant_credit(std::size_t bytes)
    {
        credit_ += bytes;
        if (!reading_ && head_done_ && !closed_)
            read_some();
    }

    void close()
    {
        closed_ = true;
        connect_timer_.cancel();
        handlers_ = {};
        stream_.close();
    }

private:
    void connect()
    {
        stream_.async_connect(
            server_,
            [self = shared_from_this()](boost::system::error_code ec)
            {
                if (self->closed_)
                    return;
                if (ec == asio::error::no_descriptors &&
                    process_clock::now() + connect_pause < self->deadline_)
                    self->connect_later();
                else if (ec == asio::error::no_descriptors)
                    self->fail(result_code::connection_limit, ec, false);
                else if (ec)
                    self->fail(result_code::backend_unreachable, ec, false);
                else
                    self->send();
            });
    }

    // Connections of others that use up the descriptors end soon, as they must
    // prove themselves.
    void connect_later()
    {
        connect_timer_.expires_after(connect_pause);
        connect_timer_.async_wait(
            [self = shared_from_this()](boost::system::error_code ec)
            {
                if (!ec && !self->closed_)
                    self->connect();
            });
    }

    void send()
    {
        http::async_write(
            stream_,
            request_,
            [self =
                 shared_from_this()](boost::system::error_code ec, std::size_t)
            {
                if (ec)
                    self->fail(result_code::backend_failed, ec, true);
                else
                    self->read_head();
            });
    }

    void read_head()
    {
        parser_.emplace();
        parser_->body_limit(boost::none);
        parser_->header_limit(max_header_bytes);
        parser_->skip(request_.method() == http::verb::head);
        http::async_read_header(
            stream_,
            buffer_,
            *parser_,
            [self =
                 shared_from_this()](boost::system::error_code ec, std::size_t)
            { self->on_head(ec); });
    }

    void on_head(boost::system::error_code ec)
    {
        if (closed_)
            return;
        if (ec)
        {
            fail(result_code::backend_failed, ec, true);
            return;
        }
        constexpr unsigned first_final_status = 200;
        if (parser_->get().result_int() < first_final_status)
        {
            if (++informational_ > max_informational)
                fail(
                    result_code::backend_failed,
                    http::make_error_code(http::error::bad_status),
                    true);
            else
                read_head();
            return;
        }
        header_list headers;
        for (auto it = parser_->get().begin(); it != parser_->get().end(); ++it)
        {
            if (!is_hop_by_hop(it->name_string()))
            {
                headers.push_back(
                    {std::string{it->name_string()}, std::string{it->value()}});
            }
        }
        head_done_ = true;
        reading_ = true;
        handlers_.head(parser_->get().result_int(), std::move(headers));
        reading_ = false;
        if (!closed_)
            read_some();
    }

    void read_some()
    {
        if (parser_->is_done())
        {
            end();
            return;
        }
        if (credit_ == 0)
            return;
        reading_ = true;
        chunk_.resize(std::min(credit_, read_size));
        parser_->get().body().data = chunk_.data();
        parser_->get().body().size = chunk_.size();
        http::async_read_some(
            stream_,
            buffer_,
            *parser_,
            [self =
                 shared_from_this()](boost::system::error_code ec, std::size_t)
            { self->on_data(ec); });
    }

    // Handlers may grant credit, which must not start a second read.
    void on_data(boost::system::error_code ec)
    {
        if (closed_)
            return;
        if (ec == http::error::need_buffer)
            ec = {};
        if (ec)
        {
            fail(result_code::answer_incomplete, ec, true);
            return;
        }
        std::size_t const n = chunk_.size() - parser_->get().body().size;
        if (n > 0)
        {
            credit_ -= n;
            handlers_.data(chunk_.substr(0, n));
        }
        reading_ = false;
        if (!closed_)
            read_some();
    }

    void end()
    {
        std::function<void()> const ended = std::move(handlers_.ended);
        close();
        if (ended)
            ended();
    }

    void fail(result_code code, boost::system::error_code ec, bool sent)
    {
        std::function<void(error, bool)> const failed =
            std::move(handlers_.failed);
        close();
        if (failed)
            failed({code, ec.message()}, sent);
    }

    beast::tcp_stream stream_;
    asio::steady_timer connect_timer_;
    asio::ip::tcp::endpoint server_;
    time_point deadline_{};
    backend_call_handlers handlers_;
    http::request<http::string_body> request_;
    std::optional<http::response_parser<http::buffer_body>> parser_;
    beast::flat_buffer buffer_{max_unparsed_bytes};
    std::string chunk_;
    std::size_t credit_ = 0;
    int informational_ = 0;
    bool head_done_ = false;
    bool reading_ = false;
    bool closed_ = false;
};

backend_call::backend_call(
    asio::io_context& context,
    asio::ip::tcp::endpoint const& endpoint,
    http_request_message request,
    duration timeout,
    backend_call_handlers handlers)
    : impl_{std::make_shared<impl>(
          context, std::move(request), std::move(handlers))}
{
    impl_->start(endpoint, timeout);
}

backend_call::~backend_call()
{
    impl_->close();
}

void backend_call::grant_credit(std::size_t bytes)
{
    impl_->grant_credit(bytes);
}

} // namespace hornbeamweir
