#include "http_session.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <sstream>

namespace hornbeamweir
{

namespace
{

namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

constexpr unsigned http_1_1 = 11;
/// Bytes that may wait to be parsed beside a header: a part of a body, a chunk
/// header, or a trailer.
constexpr std::size_t max_unparsed_bytes = std::size_t{32} * 1024;

struct read_error
{
    http::error cause;
    result_code code;
};

constexpr std::array<read_error, 3> read_errors{
    {{http::error::header_limit, result_code::header_too_large},
     {http::error::body_limit, result_code::body_too_large},
     {http::error::buffer_overflow, result_code::header_too_large}}};

/// Returns the result code to send for a failed read; ok if the connection was
/// lost and nothing can be sent.
result_code read_error_code(boost::system::error_code ec) noexcept
{
    for (read_error const& row : read_errors)
    {
        if (ec == row.cause)
            return row.code;
    }
    bool const malformed =
        ec.category() ==
            http::make_error_code(http::error::bad_method).category() &&
        ec != http::error::end_of_stream && ec != http::error::partial_message;
    return malformed ? result_code::malformed_request : result_code::ok;
}

} // namespace

http_session::http_session(
    tcp::socket socket, std::shared_ptr<http_session_shared> shared)
    : stream_{std::move(socket)}
    , shared_{std::move(shared)}
    , read_timer_{stream_.get_executor()}
{
    ++shared_->open;
}

http_session::~http_session()
{
    shared_->waiting.erase(this);
    --shared_->open;
}

void http_session::start()
{
    read_request();
}

// The stream's own timeout would close the socket before an error response
// could be sent.
void http_session::start_read_timer(duration limit)
{
    read_timer_.expires_after(limit);
    read_timer_.async_wait(
        [weak = weak_from_this()](boost::system::error_code ec)
        {
            std::shared_ptr<http_session> const self = weak.lock();
            if (ec || !self || self->phase_ != phase::reading)
                return;
            self->read_timed_out_ = true;
            boost::system::error_code ignored;
            self->stream_.socket().cancel(ignored);
        });
}

void http_session::read_request()
{
    phase_ = phase::reading;
    shared_->waiting.insert(this);
    reading_since_ = process_clock::now();
    finished_ = false;
    read_timed_out_ = false;
    written_ = nullptr;
    disconnected_ = nullptr;
    parser_.emplace();
    parser_->header_limit(shared_->limits.max_header_bytes);
    parser_->body_limit(shared_->limits.max_body_bytes);
    buffer_.max_size(std::max(
        buffer_.size(), shared_->limits.max_header_bytes + max_unparsed_bytes));
    // A new connection must send its request promptly; a reused one may be idle
    // between requests.
    stream_.expires_never();
    start_read_timer(
        first_request_ ? shared_->limits.first_request_timeout
                       : shared_->limits.idle_timeout);
    http::async_read_header(
        stream_,
        buffer_,
        *parser_,
        [self = shared_from_this()](boost::system::error_code ec, std::size_t)
        { self->on_header(ec); });
}

void http_session::on_header(boost::system::error_code ec)
{
    if (phase_ != phase::reading)
        return;
    if (ec)
    {
        on_request(ec);
        return;
    }
    take_head();
    start_read_timer(shared_->limits.read_timeout);
    if (same_header_name(parser_->get()[http::field::expect], "100-continue"))
        send_continue();
    else
        read_body();
}

// Taken before the body is read, as trailer fields are added to the same
// message: they must not count as header fields (RFC 9110, 6.5.1).
void http_session::take_head()
{
    http::request<http::string_body> const& message = parser_->get();
    version_ = message.version();
    keep_alive_ = message.keep_alive();
    head_request_ = message.method() == http::verb::head;
    request_ = {};
    request_.method = std::string{message.method_string()};
    request_.target = std::string{message.target()};
    for (auto it = message.begin(); it != message.end(); ++it)
    {
        request_.headers.push_back(
            {std::string{it->name_string()}, std::string{it->value()}});
    }
}

void http_session::send_continue()
{
    static constexpr std::string_view line = "HTTP/1.1 100 Continue\r\n\r\n";
    boost::asio::async_write(
        stream_,
        boost::asio::buffer(line),
        [self = shared_from_this()](boost::system::error_code ec, std::size_t)
        {
            if (self->phase_ != phase::reading)
                return;
            if (ec)
                self->close();
            else
                self->read_body();
        });
}

void http_session::read_body()
{
    http::async_read(
        stream_,
        buffer_,
        *parser_,
        [self = shared_from_this()](boost::system::error_code ec, std::size_t)
        { self->on_request(ec); });
}

void http_session::on_request(boost::system::error_code ec)
{
    if (phase_ != phase::reading)
        return;
    shared_->waiting.erase(this);
    read_timer_.cancel();
    bool const no_request_begun =
        !first_request_ && buffer_.size() == 0 && !parser_->is_header_done();
    first_request_ = false;
    if (ec)
    {
        result_code const code = read_timed_out_ ? result_code::request_timeout
                                                 : read_error_code(ec);
        if (code == result_code::ok ||
            (code == result_code::request_timeout && no_request_begun))
            close();
        else
            reject(code);
        return;
    }
    dispatch_request();
}

void http_session::reject(result_code code)
{
    ++shared_->malformed;
    phase_ = phase::responding;
    keep_alive_ = false;
    shared_->write_error(*this, code);
}

void http_session::dispatch_request()
{
    phase_ = phase::responding;
    ++served_requests_;
    http_request_message request = std::move(request_);
    request.body = std::move(parser_->get().body());
    stream_.expires_never();
    if (!shared_->handler)
    {
        close();
        return;
    }
    watch_caller();
    http_handler const handler = shared_->handler;
    handler(shared_from_this(), std::move(request));
}

// A socket that is readable without data was closed by the caller.
void http_session::watch_caller()
{
    stream_.socket().async_wait(
        tcp::socket::wait_read,
        [weak = weak_from_this()](boost::system::error_code ec)
        {
            std::shared_ptr<http_session> const self = weak.lock();
            if (ec || !self || self->phase_ != phase::responding)
                return;
            boost::system::error_code available_ec;
            std::size_t const n =
                self->stream_.socket().available(available_ec);
            if (!available_ec && n > 0)
                return;
            self->report_disconnect();
            self->close();
        });
}

void http_session::report_disconnect()
{
    std::function<void()> const disconnected = std::move(disconnected_);
    disconnected_ = nullptr;
    written_ = nullptr;
    if (disconnected && !finished_)
        disconnected();
}

void http_session::observe(
    std::function<void(std::size_t)> written,
    std::function<void()> disconnected)
{
    written_ = std::move(written);
    disconnected_ = std::move(disconnected);
}

void http_session::send_head(unsigned status, header_list const& headers)
{
    if (phase_ != phase::responding || finished_)
        return;
    http::response<http::empty_body> head{
        static_cast<http::status>(status), http_1_1};
    std::string const* const connection = find_header(headers, "Connection");
    if (connection && same_header_name(*connection, "close"))
        keep_alive_ = false;
    for (header_field const& field : headers)
    {
        if (!is_hop_by_hop(field.name))
            head.insert(field.name, field.value);
    }
    constexpr unsigned first_final_status = 200;
    constexpr unsigned no_content = 204;
    constexpr unsigned not_modified = 304;
    body_allowed_ = !head_request_ && status >= first_final_status &&
                    status != no_content && status != not_modified;
    bool const has_length = find_header(headers, "Content-Length") != nullptr;
    chunked_ = body_allowed_ && !has_length && version_ >= http_1_1;
    if (body_allowed_ && !has_length && !chunked_)
        keep_alive_ = false;
    if (chunked_)
        head.set(http::field::transfer_encoding, "chunked");
    if (shared_->closing)
        keep_alive_ = false;
    head.set(http::field::connection, keep_alive_ ? "keep-alive" : "close");
    std::ostringstream text;
    text << head.base();
    enqueue(std::move(text).str(), 0);
}

void http_session::send_data(std::string bytes)
{
    if (phase_ != phase::responding || finished_ || bytes.empty())
        return;
    std::size_t const n = bytes.size();
    if (!body_allowed_)
    {
        enqueue({}, n);
        return;
    }
    if (chunked_)
    {
        bytes = boost::beast::buffers_to_string(
            http::make_chunk(boost::asio::buffer(bytes)));
    }
    enqueue(std::move(bytes), n);
}

void http_session::finish()
{
    if (phase_ != phase::responding || finished_)
        return;
    std::string last;
    if (chunked_)
        last = boost::beast::buffers_to_string(http::make_chunk_last());
    enqueue(std::move(last), 0);
    finished_ = true;
}

void http_session::enqueue(std::string bytes, std::size_t data_bytes)
{
    writes_.push_back({std::move(bytes), data_bytes});
    if (writes_.size() == 1)
        write_next();
}

void http_session::write_next()
{
    stream_.expires_after(shared_->limits.read_timeout);
    boost::asio::async_write(
        stream_,
        boost::asio::buffer(writes_.front().bytes),
        [self = shared_from_this()](boost::system::error_code ec, std::size_t)
        { self->on_written(ec); });
}

void http_session::on_written(boost::system::error_code ec)
{
    if (phase_ == phase::closed)
        return;
    if (ec)
    {
        report_disconnect();
        close();
        return;
    }
    std::size_t const n = writes_.front().data_bytes;
    writes_.pop_front();
    if (written_ && n > 0)
        written_(n);
    if (phase_ == phase::closed)
        return;
    if (!writes_.empty())
        write_next();
    else if (finished_)
        on_response_complete();
    else
        stream_.expires_never();
}

void http_session::on_response_complete()
{
    // The header may have announced keep-alive before the server began to close
    // connections.
    if (!keep_alive_ || shared_->closing)
    {
        boost::system::error_code ignored;
        stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
        close();
        return;
    }
    boost::system::error_code ignored;
    stream_.socket().cancel(ignored);
    read_request();
}

void http_session::abort()
{
    if (phase_ != phase::responding || finished_)
        return;
    written_ = nullptr;
    disconnected_ = nullptr;
    close();
}

// A request has begun if received bytes are not parsed yet, or if its header
// has been read and its body has not.
void http_session::close_if_idle()
{
    boost::system::error_code ec;
    bool const arrived = buffer_.size() > 0 ||
                         (parser_ && parser_->is_header_done()) ||
                         stream_.socket().available(ec) > 0;
    if (phase_ == phase::reading && !arrived)
        close();
}

bool http_session::has_received() const noexcept
{
    return buffer_.size() > 0 || (parser_ && parser_->is_header_done());
}

bool http_session::has_unread_request() const
{
    boost::system::error_code ec;
    return !has_received() && stream_.socket().available(ec) > 0;
}

// Reads in progress end with an error, which finds another phase.
void http_session::evict()
{
    shared_->waiting.erase(this);
    read_timer_.cancel();
    if (!has_received())
    {
        close();
        return;
    }
    boost::system::error_code ignored;
    stream_.socket().cancel(ignored);
    reject(result_code::connection_limit);
}

void http_session::close()
{
    if (phase_ == phase::closed)
        return;
    phase_ = phase::closed;
    shared_->waiting.erase(this);
    written_ = nullptr;
    disconnected_ = nullptr;
    stream_.close();
}

} // namespace hornbeamweir
