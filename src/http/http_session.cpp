#include "http_session.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <sstream>

namespace hornbeamweir
{

namespace
{

namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

constexpr unsigned http_1_1 = 11;

struct read_fault
{
    http::error fault;
    result_code code;
};

constexpr std::array<read_fault, 3> read_faults{
    {{http::error::header_limit, result_code::header_too_large},
     {http::error::body_limit, result_code::body_too_large},
     {http::error::buffer_overflow, result_code::header_too_large}}};

/// Returns the code of a malformed request, or ok for a lost connection.
result_code code_of(boost::system::error_code ec) noexcept
{
    for (read_fault const& row : read_faults)
    {
        if (ec == row.fault)
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

// The stream's own timeout closes the socket, so that no answer could follow.
void http_session::limit_read(duration limit)
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
    finished_ = false;
    read_timed_out_ = false;
    written_ = nullptr;
    gone_ = nullptr;
    parser_.emplace();
    parser_->header_limit(shared_->limits.max_header_bytes);
    parser_->body_limit(shared_->limits.max_body_bytes);
    // A new connection must send at once; a kept one may rest between requests.
    stream_.expires_never();
    limit_read(
        first_request_ ? shared_->limits.first_request_timeout
                       : shared_->limits.idle_timeout);
    http::async_read_header(
        stream_,
        buffer_,
        *parser_,
        [self = shared_from_this()](boost::system::error_code ec, std::size_t)
        {
            if (ec)
            {
                self->on_request(ec);
                return;
            }
            self->limit_read(self->shared_->limits.read_timeout);
            if (same_header_name(
                    self->parser_->get()[http::field::expect], "100-continue"))
                self->send_continue();
            else
                self->read_body();
        });
}

void http_session::send_continue()
{
    static constexpr std::string_view line = "HTTP/1.1 100 Continue\r\n\r\n";
    boost::asio::async_write(
        stream_,
        boost::asio::buffer(line),
        [self = shared_from_this()](boost::system::error_code ec, std::size_t)
        {
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
    shared_->waiting.erase(this);
    read_timer_.cancel();
    bool const idle =
        !first_request_ && buffer_.size() == 0 && !parser_->is_header_done();
    first_request_ = false;
    if (ec)
    {
        result_code const code =
            read_timed_out_ ? result_code::request_timeout : code_of(ec);
        if (code == result_code::ok ||
            (code == result_code::request_timeout && idle))
            close();
        else
            refuse(code);
        return;
    }
    version_ = parser_->get().version();
    keep_alive_ = parser_->get().keep_alive();
    head_request_ = parser_->get().method() == http::verb::head;
    deliver();
}

void http_session::refuse(result_code code)
{
    ++shared_->malformed;
    phase_ = phase::answering;
    keep_alive_ = false;
    shared_->refuse(*this, code);
}

void http_session::deliver()
{
    phase_ = phase::answering;
    http::request<http::string_body> message = parser_->release();
    http_request_message request;
    request.method = std::string{message.method_string()};
    request.target = std::string{message.target()};
    for (auto it = message.begin(); it != message.end(); ++it)
    {
        request.headers.push_back(
            {std::string{it->name_string()}, std::string{it->value()}});
    }
    request.body = std::move(message.body());
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

// Readable without data means that the caller has closed its side.
void http_session::watch_caller()
{
    stream_.socket().async_wait(
        tcp::socket::wait_read,
        [weak = weak_from_this()](boost::system::error_code ec)
        {
            std::shared_ptr<http_session> const self = weak.lock();
            if (ec || !self || self->phase_ != phase::answering)
                return;
            boost::system::error_code available_ec;
            std::size_t const n =
                self->stream_.socket().available(available_ec);
            if (!available_ec && n > 0)
                return;
            self->report_gone();
            self->close();
        });
}

void http_session::report_gone()
{
    std::function<void()> const gone = std::move(gone_);
    gone_ = nullptr;
    written_ = nullptr;
    if (gone && !finished_)
        gone();
}

void http_session::observe(
    std::function<void(std::size_t)> written, std::function<void()> gone)
{
    written_ = std::move(written);
    gone_ = std::move(gone);
}

void http_session::send_head(unsigned status, header_list const& headers)
{
    if (phase_ != phase::answering || finished_)
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
    constexpr unsigned first_ok = 200;
    constexpr unsigned no_content = 204;
    constexpr unsigned not_modified = 304;
    body_allowed_ = !head_request_ && status >= first_ok &&
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
    if (phase_ != phase::answering || finished_ || bytes.empty())
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
    if (phase_ != phase::answering || finished_)
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
        report_gone();
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
        on_answer_complete();
    else
        stream_.expires_never();
}

void http_session::on_answer_complete()
{
    // The head may have promised more requests before the server began to
    // close.
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
    if (phase_ != phase::answering || finished_)
        return;
    written_ = nullptr;
    gone_ = nullptr;
    close();
}

// Bytes that have arrived and were not read yet are a request on its way, and
// so is a head whose body has not arrived.
void http_session::close_if_idle()
{
    boost::system::error_code ec;
    bool const arrived = buffer_.size() > 0 ||
                         (parser_ && parser_->is_header_done()) ||
                         stream_.socket().available(ec) > 0;
    if (phase_ == phase::reading && !arrived)
        close();
}

void http_session::close()
{
    if (phase_ == phase::closed)
        return;
    phase_ = phase::closed;
    written_ = nullptr;
    gone_ = nullptr;
    stream_.close();
}

} // namespace hornbeamweir
