#pragma once

#include <hornbeamweir/http/connection_pool.hpp>

#include <boost/beast/core/flat_buffer.hpp>

#include <list>
#include <map>

namespace hornbeamweir
{

/// \brief A connection to a server, in use or idle.
struct pooled_connection
{
    /// \param open Counts the connections of the pool.
    pooled_connection(
        boost::asio::io_context& context,
        boost::asio::ip::tcp::endpoint to,
        std::shared_ptr<std::size_t> open)
        : socket{context}
        , server{std::move(to)}
        , open_{std::move(open)}
    {
        ++*open_;
    }
    pooled_connection(pooled_connection const&) = delete;
    pooled_connection& operator=(pooled_connection const&) = delete;
    ~pooled_connection() { stop_counting(); }

    /// \brief Counts the connection no more; its socket is closed, while
    /// handlers that have not run yet keep the object.
    void stop_counting() noexcept
    {
        if (open_)
            --*open_;
        open_ = nullptr;
    }

    /// Bytes that are kept until they are parsed; a server that sends a longer
    /// line, such as a chunk size without end, is not read further.
    static constexpr std::size_t max_unparsed_bytes = std::size_t{48} * 1024;

    boost::asio::ip::tcp::socket socket;
    boost::asio::ip::tcp::endpoint server;
    boost::beast::flat_buffer buffer{max_unparsed_bytes};
    /// Time until which the server is expected to keep the connection open.
    time_point usable_until{};
    time_point idle_since{};
    bool idle = false;
    /// Whether the server has named the id of a request in a response.
    bool names_ids = false;

    /// \returns False for a response without an id if the server names ids: it
    /// may be a response to an earlier request.
    [[nodiscard]] bool accepts_response(bool has_id) noexcept
    {
        names_ids = names_ids || has_id;
        return has_id || !names_ids;
    }

private:
    std::shared_ptr<std::size_t> open_;
};

/// \brief The idle connections and counters of a pool.
class connection_pool::impl
    : public std::enable_shared_from_this<connection_pool::impl>
{
public:
    impl(
        boost::asio::io_context& context,
        std::size_t max_idle,
        std::shared_ptr<memory_budget> budget,
        std::size_t max_connections)
        : context_{context}
        , max_idle_{max_idle}
        , budget_{std::move(budget)}
        , max_connections_{max_connections}
    {
    }

    /// \brief Takes the most recently used idle connection out of the pool.
    /// \returns Null if no idle connection to the server is usable.
    [[nodiscard]] std::shared_ptr<pooled_connection>
    acquire(boost::asio::ip::tcp::endpoint const& server);

    /// \brief Returns a new connection, not yet connected.
    [[nodiscard]] std::shared_ptr<pooled_connection>
    open(boost::asio::ip::tcp::endpoint const& server);

    /// \brief Returns a connection to the pool.
    /// \param usable Time for which it may be reused; not kept if 0 or less.
    void
    release(std::shared_ptr<pooled_connection> connection, duration usable);

    void close_all();

    [[nodiscard]] boost::asio::io_context& context() noexcept
    {
        return context_;
    }

    [[nodiscard]] std::shared_ptr<memory_budget> const& budget() const noexcept
    {
        return budget_;
    }

    counters totals;

private:
    using idle_list = std::list<std::shared_ptr<pooled_connection>>;

    void watch(std::shared_ptr<pooled_connection> const& connection);
    void evict(std::shared_ptr<pooled_connection> const& connection);
    [[nodiscard]] bool close_oldest_idle();

    boost::asio::io_context& context_;
    std::size_t max_idle_;
    std::shared_ptr<memory_budget> budget_;
    std::size_t max_connections_;
    std::shared_ptr<std::size_t> connections_ =
        std::make_shared<std::size_t>(0);
    std::map<boost::asio::ip::tcp::endpoint, idle_list> idle_;
    bool closed_ = false;
};

/// \brief Closes a socket without waiting for unsent bytes.
void close_socket(boost::asio::ip::tcp::socket& socket);

} // namespace hornbeamweir
