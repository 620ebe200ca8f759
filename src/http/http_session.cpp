#include "http_session.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/write.hpp>

#include <sstream>

namespace hornbeamweir
{

namespace
{

namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

constexpr unsigned http_1_1 = 11;
/// What a connection holds beside its buffers.
constexpr std::size_t connection_bytes = std::size_t{4} * 1024;

} // namespace

http_session::http_session(
    tcp::socket socket, std::shared_ptr<http_session_shared> shared)
    : stream_{std::move(socket)}
    , shared_{std::move(shared)}
    , read_timer_{stream_.get_executor()}
    , charge_{shared_->budget}
{
    ++shared_->open;
    update_charge();
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

void http_session::update_charge() noexcept
{
    charge_.set(
        phase_ == phase::closed
            ? 0
            : held_bytes_without_request() + request_bytes_);
}

std::size_t http_session::held_bytes_without_request() const noexcept
{
    return connection_bytes + buffer_.capacity() + queued_bytes_;
}

void http_session::dispatch_request()
{
    phase_ = phase::responding;
    ++served_requests_;
    http_request_message request = std::move(request_);
    request.body = std::move(parser_->get().body());
    parser_.reset();
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
    queued_bytes_ += bytes.size();
    writes_.push_back({std::move(bytes), data_bytes});
    update_charge();
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
    queued_bytes_ -= writes_.front().bytes.size();
    writes_.pop_front();
    update_charge();
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
    request_bytes_ = 0;
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
void http_session::evict(result_code code)
{
    shared_->waiting.erase(this);
    read_timer_.cancel();
    ++(code == result_code::memory_limit ? shared_->shed : shared_->evicted);
    // The stream takes one write at a time.
    if (!has_received() || sending_continue_)
    {
        close();
        return;
    }
    boost::system::error_code ignored;
    stream_.socket().cancel(ignored);
    parser_.reset();
    buffer_.clear();
    buffer_.shrink_to_fit();
    request_ = {};
    request_bytes_ = 0;
    update_charge();
    reject(code);
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
    update_charge();
}

} // namespace hornbeamweir
