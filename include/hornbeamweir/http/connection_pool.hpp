#pragma once

#include <hornbeamweir/core/error.hpp>
#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/http/http_exchange.hpp>
#include <hornbeamweir/http/memory_budget.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>

namespace hornbeamweir
{

/// \brief Handlers of a pooled call's response; failed is called instead of
/// ended if the call fails.
struct pooled_call_handlers
{
    std::function<void(unsigned status, header_list headers)> head;
    std::function<void(std::string bytes)> data;
    std::function<void()> ended;
    /// Receives whether the server may have received the request.
    std::function<void(error failure, bool sent)> failed;
};

struct pooled_call_options
{
    /// Always opens a new connection; the server may already have closed an
    /// idle one.
    bool fresh_connection = false;
    duration connect_timeout = std::chrono::milliseconds{1000};
    /// Time limit of the entire call, including the connection attempt.
    duration timeout = std::chrono::seconds{60};
    /// Header field that the response echoes from the request; responses with
    /// another value belong to earlier requests and are skipped. Empty for
    /// none.
    std::string correlation_header;
    /// Size of a response body above which the call fails; empty for no limit.
    std::optional<std::size_t> max_body_bytes;
};

/// \brief Handle of a call in progress.
/// \remarks Destroying it before the end closes the connection; no handler is
/// called afterwards.
class pooled_call
{
public:
    pooled_call() = default;
    pooled_call(pooled_call const&) = delete;
    pooled_call& operator=(pooled_call const&) = delete;
    virtual ~pooled_call() = default;

    /// \brief Pauses or resumes reading of the response body.
    virtual void pause(bool paused) = 0;
};

/// \brief HTTP/1.1 client that keeps connections open between calls.
class connection_pool
{
public:
    struct counters
    {
        std::uint64_t opened = 0;
        std::uint64_t reused = 0;
        /// Responses that belonged to an earlier request.
        std::uint64_t skipped = 0;
        /// Idle connections that were closed to make room for others.
        std::uint64_t evicted = 0;
    };

    /// \param max_idle Maximum number of idle connections for each server.
    /// \param budget Counts what calls hold; null for no limit.
    /// \param max_connections Number of connections to all servers beyond
    /// which idle ones make room for new ones.
    connection_pool(
        boost::asio::io_context& context,
        std::size_t max_idle,
        std::shared_ptr<memory_budget> budget = nullptr,
        std::size_t max_connections = std::numeric_limits<std::size_t>::max());
    connection_pool(connection_pool const&) = delete;
    connection_pool& operator=(connection_pool const&) = delete;
    ~connection_pool();

    /// \brief Sends a request.
    /// \remarks Handlers are never called from within this function.
    [[nodiscard]] std::unique_ptr<pooled_call> call(
        boost::asio::ip::tcp::endpoint const& server,
        http_request_message request,
        pooled_call_options options,
        pooled_call_handlers handlers);

    [[nodiscard]] counters totals() const noexcept;

    class impl;

private:
    std::shared_ptr<impl> impl_;
};

} // namespace hornbeamweir
