#pragma once

#include <hornbeamweir/core/time.hpp>

#include "gateway_messages.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <memory>

namespace hornbeamweir
{

/// \brief One HTTP call, on its own connection.
/// \remarks Keeps itself alive until the handler was called. The timeout covers
/// the entire call.
class gateway_call : public std::enable_shared_from_this<gateway_call>
{
public:
    gateway_call(
        boost::asio::io_context& context,
        gateway_request request,
        json_handler done)
        : stream_{context}
        , request_{std::move(request)}
        , done_{std::move(done)}
    {
        parser_.body_limit(max_reply_bytes);
        buffer_.max_size(max_unparsed_bytes);
    }

    void start(boost::asio::ip::tcp::endpoint const& endpoint, duration timeout)
    {
        stream_.expires_after(timeout);
        stream_.async_connect(
            endpoint,
            [self = shared_from_this()](boost::system::error_code ec)
            { self->on_connected(ec); });
    }

private:
    static constexpr std::uint64_t max_reply_bytes = 16U * 1024U * 1024U;
    static constexpr std::size_t max_unparsed_bytes = std::size_t{96} * 1024;

    void on_connected(boost::system::error_code ec)
    {
        if (ec)
        {
            finish(failure(result_code::platform_unavailable, ec.message()));
            return;
        }
        boost::beast::http::async_write(
            stream_,
            request_,
            [self = shared_from_this()](
                boost::system::error_code write_ec, std::size_t)
            { self->on_written(write_ec); });
    }

    void on_written(boost::system::error_code ec)
    {
        if (ec)
        {
            fail_after_send(ec);
            return;
        }
        boost::beast::http::async_read(
            stream_,
            buffer_,
            parser_,
            [self = shared_from_this()](
                boost::system::error_code read_ec, std::size_t)
            { self->on_read(read_ec); });
    }

    void on_read(boost::system::error_code ec)
    {
        if (ec)
        {
            fail_after_send(ec);
            return;
        }
        boost::beast::http::status const status = parser_.get().result();
        if (status == boost::beast::http::status::service_unavailable)
        {
            finish(failure(result_code::platform_unavailable, "unavailable"));
        }
        else if (status == boost::beast::http::status::gateway_timeout)
        {
            finish(failure(result_code::platform_outcome_unknown, "timed out"));
        }
        else if (status != boost::beast::http::status::ok)
        {
            finish(
                failure(result_code::platform_refused, parser_.get().body()));
        }
        else
        {
            finish(parse_gateway_reply(parser_.get().body()));
        }
    }

    // The service may have executed the request once any of it was sent.
    void fail_after_send(boost::system::error_code ec)
    {
        finish(failure(result_code::platform_outcome_unknown, ec.message()));
    }

    void finish(result<boost::json::object> reply)
    {
        boost::system::error_code ignored;
        stream_.socket().close(ignored);
        json_handler const done = std::move(done_);
        done_ = nullptr;
        if (done)
            done(std::move(reply));
    }

    boost::beast::tcp_stream stream_;
    gateway_request request_;
    boost::beast::http::response_parser<boost::beast::http::string_body>
        parser_;
    boost::beast::flat_buffer buffer_;
    json_handler done_;
};

} // namespace hornbeamweir
