#pragma once

#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/http/http_exchange.hpp>
#include <hornbeamweir/http/memory_budget.hpp>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace hornbeamweir
{

/// \brief Size, connection and time limits of a server.
struct http_limits
{
    std::uint32_t max_header_bytes = 16 * 1024;
    std::uint32_t max_body_bytes = 4 * 1024 * 1024;
    /// Beyond it, connections without a complete request make room for new
    /// ones.
    std::uint32_t max_connections = 10'000;
    /// Size of the kernel's send buffer of a connection, which callers that
    /// read nothing can fill; 0 for the system's default.
    std::uint32_t send_buffer_bytes = 0;
    /// Size of the kernel's receive buffer of a connection, which callers fill
    /// that send requests ahead of answers; 0 for the system's default. Applies
    /// to the server's lifetime.
    std::uint32_t receive_buffer_bytes = 0;
    /// Time limit for reading a body after its header, and for each write.
    duration read_timeout = std::chrono::seconds{10};
    /// Time limit for reading the first header of a new connection.
    duration first_request_timeout = std::chrono::seconds{10};
    /// Time limit for reading the next header of a connection that is kept
    /// alive.
    duration idle_timeout = std::chrono::seconds{60};

    [[nodiscard]] friend bool
    operator==(http_limits const&, http_limits const&) = default;
};

/// \brief Writes the error response to a request that cannot be read.
using error_response_writer =
    std::function<void(http_exchange& exchange, result_code code)>;

/// \brief Serves HTTP/1.1 with Boost.Beast.
class http_server
{
public:
    struct counters
    {
        std::uint64_t accepted = 0;
        std::uint64_t rejected_connections = 0;
        /// Requests that could not be read and got an error response.
        std::uint64_t malformed = 0;
        /// Connections that were ended to make room for others.
        std::uint64_t evicted = 0;
        /// Requests that were rejected for want of memory.
        std::uint64_t shed = 0;
        /// Connections that are open now.
        std::uint64_t open = 0;
    };

    /// \brief Binds and listens; throws boost::system::system_error.
    /// \param budget Limits the bytes held for callers, together with others
    /// that use it; null for no limit.
    http_server(
        boost::asio::io_context& context,
        std::string const& address,
        http_limits limits,
        http_handler handler,
        error_response_writer write_error,
        std::shared_ptr<memory_budget> budget = nullptr);
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;
    ~http_server();

    /// \brief Closes each connection after its next response, which announces
    /// it by `Connection: close`.
    void close_after_responses();

    /// \brief Closes connections on which no request has begun.
    void close_idle();

    /// \brief Accepts no more connections; open ones close after their next
    /// response.
    void stop_accepting();

    /// \brief Replaces the limits; reads and writes in progress keep the old
    /// ones.
    void set_limits(http_limits const& limits);

    /// \brief Returns the bound port.
    [[nodiscard]] std::uint16_t port() const;

    [[nodiscard]] counters totals() const noexcept;

    class impl;

private:
    std::shared_ptr<impl> impl_;
};

} // namespace hornbeamweir
