#include "http_session.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <array>

namespace hornbeamweir
{

namespace
{

namespace http = boost::beast::http;

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

} // namespace hornbeamweir
