#include "test/support/flood_server.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace test
{

namespace
{

constexpr int poll_ms = 20;

int listen_on(int port)
{
    int const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(
            descriptor,
            reinterpret_cast<sockaddr const*>(&address),
            sizeof(address)) != 0 ||
        ::listen(descriptor, SOMAXCONN) != 0)
        throw std::runtime_error{"cannot listen"};
    ::fcntl(descriptor, F_SETFL, O_NONBLOCK);
    return descriptor;
}

} // namespace

flood_server::flood_server(int port, crowd_script script, bool keeps_open)
    : listener_{listen_on(port)}
    , script_{std::move(script)}
    , keeps_open_{keeps_open}
{
    constexpr std::size_t block_size = std::size_t{64} * 1024;
    std::string const unit = script_.repeated;
    while (!unit.empty() && script_.repeated.size() < block_size)
        script_.repeated += unit;
    thread_ = std::thread{[this] { serve(); }};
}

flood_server::~flood_server()
{
    stopped_ = true;
    thread_.join();
    for (connection& it : connections_)
        close_connection(it);
    ::close(listener_);
}

void flood_server::close_connection(connection& it)
{
    if (it.descriptor >= 0)
        ::close(it.descriptor);
    it.descriptor = -1;
}

void flood_server::accept_one()
{
    int const descriptor =
        ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor >= 0)
        connections_.push_back({descriptor, {}, 0});
}

void flood_server::on_ready(connection& it, short events)
{
    if ((events & (POLLIN | POLLHUP | POLLERR)) != 0)
    {
        std::array<char, 4096> buf{};
        ssize_t const n = ::recv(it.descriptor, buf.data(), buf.size(), 0);
        if (n == 0 || (n < 0 && errno != EAGAIN))
            return close_connection(it);
        if (n > 0 && it.received.size() < buf.size())
            it.received.append(buf.data(), static_cast<std::size_t>(n));
    }
    if ((events & POLLOUT) == 0)
        return;
    std::size_t const left = script_.max_bytes - it.sent;
    std::string_view bytes = std::string_view{script_.begin}.substr(
        std::min(it.sent, script_.begin.size()));
    if (bytes.empty())
        bytes = std::string_view{script_.repeated}.substr(
            (it.sent - script_.begin.size()) % script_.repeated.size());
    bytes = bytes.substr(0, left);
    ssize_t const n =
        ::send(it.descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n < 0 && errno != EAGAIN)
        return close_connection(it);
    if (n > 0)
    {
        it.sent += static_cast<std::size_t>(n);
        sent_ += static_cast<std::size_t>(n);
    }
    if (it.sent >= script_.max_bytes && !keeps_open_)
        close_connection(it);
}

void flood_server::serve()
{
    while (!stopped_)
    {
        std::erase_if(
            connections_,
            [](connection const& it) { return it.descriptor < 0; });
        std::vector<pollfd> waiting{{listener_, POLLIN, 0}};
        for (connection const& it : connections_)
        {
            bool const asked =
                it.received.find("\r\n\r\n") != std::string::npos;
            bool const sends = asked && it.sent < script_.max_bytes;
            waiting.push_back(
                {it.descriptor,
                 static_cast<short>(sends ? POLLIN | POLLOUT : POLLIN),
                 0});
        }
        if (::poll(waiting.data(), waiting.size(), poll_ms) <= 0)
            continue;
        for (std::size_t n = 1; n < waiting.size(); ++n)
        {
            if (waiting[n].revents != 0)
                on_ready(connections_[n - 1], waiting[n].revents);
        }
        if (waiting[0].revents != 0)
            accept_one();
    }
}

} // namespace test
