#include "session_eviction.hpp"

#include <boost/asio/write.hpp>

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
/// Size of the buffer that an idle connection keeps.
constexpr std::size_t max_idle_buffer = std::size_t{4} * 1024;

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
    head_taken_ = false;
    head_bytes_ = 0;
    written_ = nullptr;
    disconnected_ = nullptr;
    parser_.emplace();
    parser_->header_limit(shared_->limits.max_header_bytes);
    parser_->body_limit(shared_->limits.max_body_bytes);
    buffer_.max_size(std::max(
        buffer_.size(), shared_->limits.max_header_bytes + max_unparsed_bytes));
    // A connection may stay idle for long after a large request.
    if (buffer_.capacity() > max_idle_buffer)
        buffer_.shrink_to_fit();
    update_charge();
    // A new connection must send its request promptly; a reused one may be idle
    // between requests.
    stream_.expires_never();
    start_read_timer(
        first_request_ ? shared_->limits.first_request_timeout
                       : shared_->limits.idle_timeout);
    // Callers may send a request before they have read the last response.
    if (buffer_.size() > 0)
        parse();
    else
        read_more();
}

std::size_t http_session::next_read_size() const
{
    constexpr std::size_t min_read = 512;
    constexpr std::size_t max_read = std::size_t{16} * 1024;
    std::size_t const room = buffer_.max_size() - buffer_.size();
    std::size_t expected = buffer_.capacity() - buffer_.size();
    if (head_taken_)
    {
        std::size_t const announced = parser_->content_length().value_or(0);
        std::size_t const received = parser_->get().body().size();
        expected = announced > received ? announced - received : max_read;
    }
    return std::min(room, std::clamp(expected, min_read, max_read));
}

void http_session::read_more()
{
    std::size_t const n = next_read_size();
    if (n == 0)
    {
        on_request(http::error::buffer_overflow);
        return;
    }
    stream_.async_read_some(
        buffer_.prepare(n),
        [self = shared_from_this()](
            boost::system::error_code ec, std::size_t received)
        { self->on_received(ec, received); });
}

void http_session::on_received(boost::system::error_code ec, std::size_t n)
{
    if (phase_ != phase::reading)
        return;
    if (ec)
    {
        on_request(ec);
        return;
    }
    buffer_.commit(n);
    last_received_at_ = process_clock::now();
    parse();
}

void http_session::parse()
{
    boost::system::error_code ec;
    while (!ec && buffer_.size() > 0 && !parser_->is_done())
    {
        std::size_t const n = parser_->put(buffer_.data(), ec);
        buffer_.consume(n);
        if (!head_taken_)
            head_bytes_ += n;
        if (!ec && !head_taken_ && parser_->is_header_done())
        {
            on_header();
            return;
        }
    }
    if (ec && ec != http::error::need_more)
        on_request(ec);
    else if (!reserve_request())
        evict(result_code::memory_limit);
    else if (parser_->is_done())
        on_request({});
    else
        read_more();
}

// The body is counted with its announced length at once, as a request that will
// not find room is better rejected before its body is sent.
bool http_session::reserve_request()
{
    std::size_t const announced =
        head_taken_ ? parser_->content_length().value_or(0) : 0;
    std::size_t const body =
        std::max<std::size_t>(announced, parser_->get().body().capacity());
    request_bytes_ = 2 * (head_bytes_ + body);
    std::size_t const wanted = held_bytes_without_request() + request_bytes_;
    if (charge_.try_set(wanted))
        return true;
    return make_room(*shared_, *this, wanted) && charge_.try_set(wanted);
}

void http_session::on_header()
{
    take_head();
    head_taken_ = true;
    start_read_timer(shared_->limits.read_timeout);
    if (!reserve_request())
        evict(result_code::memory_limit);
    else if (same_header_name(
                 parser_->get()[http::field::expect], "100-continue"))
        send_continue();
    else
        parse();
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
    sending_continue_ = true;
    boost::asio::async_write(
        stream_,
        boost::asio::buffer(line),
        [self = shared_from_this()](boost::system::error_code ec, std::size_t)
        {
            self->sending_continue_ = false;
            if (self->phase_ != phase::reading)
                return;
            if (ec)
                self->close();
            else
                self->parse();
        });
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
        {
            ++shared_->malformed;
            reject(code);
        }
        return;
    }
    dispatch_request();
}

void http_session::reject(result_code code)
{
    phase_ = phase::responding;
    keep_alive_ = false;
    shared_->write_error(*this, code);
}

} // namespace hornbeamweir
