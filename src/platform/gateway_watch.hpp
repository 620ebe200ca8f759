#pragma once

#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/platform/etcd_json.hpp>

#include "gateway_messages.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <memory>

namespace hornbeamweir
{

/// \brief One watch: a request whose response is an endless stream of JSON
/// lines.
/// \remarks Keeps itself alive until the watch fails or is stopped. The timeout
/// covers the time until the response header is received.
class gateway_watch : public std::enable_shared_from_this<gateway_watch>
{
public:
    gateway_watch(
        boost::asio::io_context& context,
        gateway_request request,
        std::function<void(std::vector<watch_event>)> changed,
        std::function<void(error)> ended)
        : stream_{context}
        , request_{std::move(request)}
        , changed_{std::move(changed)}
        , ended_{std::move(ended)}
    {
        parser_.body_limit(boost::none);
        buffer_.max_size(max_unparsed_bytes);
    }

    void start(boost::asio::ip::tcp::endpoint const& endpoint, duration timeout)
    {
        stream_.expires_after(timeout);
        stream_.async_connect(
            endpoint,
            [self = shared_from_this()](boost::system::error_code ec)
            {
                if (ec)
                    self->fail(ec.message());
                else
                    self->send();
            });
    }

    void stop()
    {
        changed_ = nullptr;
        ended_ = nullptr;
        boost::system::error_code ignored;
        stream_.socket().close(ignored);
    }

private:
    /// Size of the longest line; the events of one change of the configuration
    /// take less.
    static constexpr std::size_t max_line_bytes = std::size_t{16} * 1024 * 1024;
    static constexpr std::size_t max_unparsed_bytes = std::size_t{96} * 1024;

    void send()
    {
        boost::beast::http::async_write(
            stream_,
            request_,
            [self =
                 shared_from_this()](boost::system::error_code ec, std::size_t)
            {
                if (ec)
                    self->fail(ec.message());
                else
                    self->read_header();
            });
    }

    void read_header()
    {
        boost::beast::http::async_read_header(
            stream_,
            buffer_,
            parser_,
            [self =
                 shared_from_this()](boost::system::error_code ec, std::size_t)
            {
                if (ec)
                    self->fail(ec.message());
                else if (
                    self->parser_.get().result() !=
                    boost::beast::http::status::ok)
                    self->fail("watch rejected");
                else
                    self->read_more();
            });
    }

    void read_more()
    {
        stream_.expires_never();
        boost::beast::http::async_read_some(
            stream_,
            buffer_,
            parser_,
            [self =
                 shared_from_this()](boost::system::error_code ec, std::size_t)
            { self->on_read(ec); });
    }

    void on_read(boost::system::error_code ec)
    {
        process_lines();
        if (!changed_)
            return;
        if (ec || parser_.is_done())
            fail(ec ? ec.message() : "watch closed");
        else
            read_more();
    }

    // Only new bytes are searched, so that a long line costs no more than its
    // length.
    void process_lines()
    {
        std::size_t searched = pending_.size();
        pending_ += parser_.get().body();
        parser_.get().body().clear();
        std::size_t begin = 0;
        for (std::size_t end = pending_.find('\n', searched);
             end != std::string::npos && changed_;
             end = pending_.find('\n', begin))
        {
            process_line(pending_.substr(begin, end - begin));
            begin = end + 1;
        }
        pending_.erase(0, begin);
        if (pending_.size() > max_line_bytes && changed_)
            fail("found a line without end");
    }

    void process_line(std::string const& line)
    {
        if (line.empty())
            return;
        result<std::vector<watch_event>> events =
            parse_gateway_reply(line).and_then(etcd::decode_watch);
        if (!events)
            fail(events.error().message);
        else if (!events->empty())
            changed_(std::move(*events));
    }

    void fail(std::string message)
    {
        std::function<void(error)> const ended = std::move(ended_);
        stop();
        if (ended)
            ended({result_code::platform_unavailable, std::move(message)});
    }

    boost::beast::tcp_stream stream_;
    gateway_request request_;
    boost::beast::http::response_parser<boost::beast::http::string_body>
        parser_;
    boost::beast::flat_buffer buffer_;
    std::string pending_;
    std::function<void(std::vector<watch_event>)> changed_;
    std::function<void(error)> ended_;
};

} // namespace hornbeamweir
