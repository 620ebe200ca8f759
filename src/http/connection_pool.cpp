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

void connection_pool::impl::release(
    std::shared_ptr<pooled_connection> connection, duration usable)
{
    idle_list& connections = idle_[connection->server];
    if (closed_ || usable <= duration::zero())
    {
        close_socket(connection->socket);
        return;
    }
    connection->idle = true;
    connection->usable_until = process_clock::now() + usable;
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
    idle_[connection->server].remove(connection);
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
    std::shared_ptr<memory_budget> budget)
    : impl_{std::make_shared<impl>(context, max_idle, std::move(budget))}
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
