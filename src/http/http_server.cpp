#include <hornbeamweir/core/socket_address.hpp>
#include <hornbeamweir/http/http_server.hpp>

#include "http_session.hpp"
#include "session_eviction.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace hornbeamweir
{

namespace
{

namespace asio = boost::asio;
using tcp = boost::asio::ip::tcp;

/// Pause after a connection could not be accepted, as the process has no
/// descriptor left: the next attempt would fail as well.
constexpr duration accept_pause = std::chrono::milliseconds{20};

tcp::endpoint endpoint_or_throw(std::string const& address)
{
    std::optional<tcp::endpoint> const endpoint = tcp_endpoint(address);
    if (!endpoint)
    {
        throw boost::system::system_error{
            asio::error::invalid_argument, address};
    }
    return *endpoint;
}

} // namespace

class http_server::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(
        asio::io_context& context,
        std::string const& address,
        http_limits const& limits,
        http_handler handler,
        error_response_writer write_error,
        std::shared_ptr<memory_budget> budget)
        : context_{context}
        , acceptor_{context, endpoint_or_throw(address)}
        , accept_timer_{context}
        , shared_{std::make_shared<http_session_shared>()}
    {
        shared_->limits = limits;
        shared_->handler = std::move(handler);
        shared_->write_error = std::move(write_error);
        shared_->budget = std::move(budget);
        // Accepted sockets inherit the size, before their first window is sent.
        boost::system::error_code ignored;
        if (limits.receive_buffer_bytes > 0)
        {
            acceptor_.set_option(
                asio::socket_base::receive_buffer_size{
                    static_cast<int>(limits.receive_buffer_bytes)},
                ignored);
        }
    }

    void accept()
    {
        acceptor_.async_accept(
            context_,
            [self = shared_from_this()](
                boost::system::error_code ec, tcp::socket socket)
            {
                if (ec == asio::error::operation_aborted ||
                    !self->acceptor_.is_open())
                    return;
                if (ec)
                {
                    self->on_accept_failed();
                    return;
                }
                self->on_accepted(std::move(socket));
                self->accept();
            });
    }

    void close_idle()
    {
        std::set<http_session*> const waiting = shared_->waiting;
        for (http_session* it : waiting)
            it->close_if_idle();
    }

    void close_after_responses() { shared_->closing = true; }

    void set_limits(http_limits const& limits) { shared_->limits = limits; }

    void stop_accepting()
    {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
        accept_timer_.cancel();
        shared_->closing = true;
    }

    void detach()
    {
        stop_accepting();
        shared_->handler = nullptr;
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return acceptor_.local_endpoint().port();
    }

    [[nodiscard]] counters totals() const noexcept
    {
        counters totals = totals_;
        totals.malformed = shared_->malformed;
        totals.evicted = shared_->evicted;
        totals.shed = shared_->shed;
        totals.open = shared_->open;
        return totals;
    }

private:
    void on_accept_failed()
    {
        static_cast<void>(free_connection(*shared_));
        accept_timer_.expires_after(accept_pause);
        accept_timer_.async_wait(
            [weak = weak_from_this()](boost::system::error_code ec)
            {
                std::shared_ptr<impl> const self = weak.lock();
                if (!ec && self && self->acceptor_.is_open())
                    self->accept();
            });
    }

    void on_accepted(tcp::socket socket)
    {
        if (shared_->open >= shared_->limits.max_connections &&
            !free_connection(*shared_))
        {
            ++totals_.rejected_connections;
            return;
        }
        ++totals_.accepted;
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay{true}, ignored);
        if (shared_->limits.send_buffer_bytes > 0)
        {
            socket.set_option(
                asio::socket_base::send_buffer_size{
                    static_cast<int>(shared_->limits.send_buffer_bytes)},
                ignored);
        }
        std::make_shared<http_session>(std::move(socket), shared_)->start();
    }

    asio::io_context& context_;
    tcp::acceptor acceptor_;
    asio::steady_timer accept_timer_;
    std::shared_ptr<http_session_shared> shared_;
    counters totals_;
};

http_server::http_server(
    asio::io_context& context,
    std::string const& address,
    http_limits limits,
    http_handler handler,
    error_response_writer write_error,
    std::shared_ptr<memory_budget> budget)
    : impl_{std::make_shared<impl>(
          context,
          address,
          limits,
          std::move(handler),
          std::move(write_error),
          std::move(budget))}
{
    impl_->accept();
}

http_server::~http_server()
{
    impl_->detach();
}

void http_server::close_after_responses()
{
    impl_->close_after_responses();
}

void http_server::close_idle()
{
    impl_->close_idle();
}

void http_server::set_limits(http_limits const& limits)
{
    impl_->set_limits(limits);
}

void http_server::stop_accepting()
{
    impl_->stop_accepting();
}

std::uint16_t http_server::port() const
{
    return impl_->port();
}

http_server::counters http_server::totals() const noexcept
{
    return impl_->totals();
}

void send_response(
    http_exchange& exchange,
    unsigned status,
    std::string const& content_type,
    std::string body)
{
    exchange.send_head(
        status,
        {{"Content-Type", content_type},
         {"Content-Length", std::to_string(body.size())}});
    exchange.send_data(std::move(body));
    exchange.finish();
}

} // namespace hornbeamweir
