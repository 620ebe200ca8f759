#include "pooled_connection.hpp"
#include "pooled_exchange.hpp"

namespace hornbeamweir
{

namespace
{

using tcp = boost::asio::ip::tcp;

} // namespace

void close_socket(tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.close(ignored);
}

std::shared_ptr<pooled_connection>
connection_pool::impl::acquire(tcp::endpoint const& server)
{
    auto const it = idle_.find(server);
    if (it == idle_.end())
        return nullptr;
    while (!it->second.empty())
    {
        std::shared_ptr<pooled_connection> const connection =
            std::move(it->second.back());
        it->second.pop_back();
        connection->idle = false;
        boost::system::error_code ignored;
        connection->socket.cancel(ignored);
        if (process_clock::now() < connection->usable_until)
            return connection;
        close_socket(connection->socket);
    }
    return nullptr;
}

std::shared_ptr<pooled_connection>
connection_pool::impl::open(tcp::endpoint const& server)
{
    while (*connections_ >= max_connections_ && close_oldest_idle())
        ++totals.evicted;
    return std::make_shared<pooled_connection>(context_, server, connections_);
}

bool connection_pool::impl::close_oldest_idle()
{
    auto oldest = idle_.end();
    for (auto it = idle_.begin(); it != idle_.end(); ++it)
    {
        bool const is_older =
            !it->second.empty() &&
            (oldest == idle_.end() || it->second.front()->idle_since <
                                          oldest->second.front()->idle_since);
        if (is_older)
            oldest = it;
    }
    if (oldest == idle_.end())
        return false;
    std::shared_ptr<pooled_connection> const connection =
        oldest->second.front();
    evict(connection);
    connection->stop_counting();
    return true;
}

void connection_pool::impl::release(
    std::shared_ptr<pooled_connection> connection, duration usable)
{
    if (closed_ || usable <= duration::zero())
    {
        close_socket(connection->socket);
        return;
    }
    idle_list& connections = idle_[connection->server];
    connection->idle = true;
    connection->idle_since = process_clock::now();
    connection->usable_until = connection->idle_since + usable;
    connection->buffer.shrink_to_fit();
    connections.push_back(connection);
    if (connections.size() > max_idle_)
    {
        close_socket(connections.front()->socket);
        connections.pop_front();
    }
    watch(connection);
}

// An idle connection becomes readable when the server closes it, or sends
// bytes that belong to no request.
void connection_pool::impl::watch(
    std::shared_ptr<pooled_connection> const& connection)
{
    connection->socket.async_wait(
        tcp::socket::wait_read,
        [weak = weak_from_this(), connection](boost::system::error_code ec)
        {
            std::shared_ptr<impl> const self = weak.lock();
            if (ec || !self || !connection->idle)
                return;
            self->evict(connection);
        });
}

void connection_pool::impl::evict(
    std::shared_ptr<pooled_connection> const& connection)
{
    auto const it = idle_.find(connection->server);
    if (it != idle_.end())
    {
        it->second.remove(connection);
        // Servers come and go under ever new addresses.
        if (it->second.empty())
            idle_.erase(it);
    }
    close_socket(connection->socket);
}

void connection_pool::impl::close_all()
{
    closed_ = true;
    for (auto& [server, connections] : idle_)
    {
        for (std::shared_ptr<pooled_connection> const& it : connections)
            close_socket(it->socket);
    }
    idle_.clear();
}

connection_pool::connection_pool(
    boost::asio::io_context& context,
    std::size_t max_idle,
    std::shared_ptr<memory_budget> budget,
    std::size_t max_connections)
    : impl_{std::make_shared<impl>(
          context, max_idle, std::move(budget), max_connections)}
{
}

connection_pool::~connection_pool()
{
    impl_->close_all();
}

std::unique_ptr<pooled_call> connection_pool::call(
    tcp::endpoint const& server,
    http_request_message request,
    pooled_call_options options,
    pooled_call_handlers handlers)
{
    return start_exchange(
        impl_,
        server,
        std::move(request),
        std::move(options),
        std::move(handlers));
}

connection_pool::counters connection_pool::totals() const noexcept
{
    return impl_->totals;
}

} // namespace hornbeamweir
