#include "test/support/crowd.hpp"

#include "test/support/child_process.hpp"
#include "test/support/http_client.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace test
{

namespace
{

/// Bytes of the repeated part that are sent with one call.
constexpr std::size_t block_size = std::size_t{64} * 1024;
/// Time without progress after which the receiver is taken to read no more.
constexpr int max_silence_ms = 1500;

sockaddr_in loopback(int port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return out;
}

int connect_to(int port)
{
    int const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in const address = loopback(port);
    if (::connect(
            descriptor,
            reinterpret_cast<sockaddr const*>(&address),
            sizeof(address)) != 0)
    {
        ::close(descriptor);
        return -1;
    }
    ::fcntl(descriptor, F_SETFL, O_NONBLOCK);
    return descriptor;
}

} // namespace

crowd::crowd(int port, std::size_t connections, crowd_script script)
    : script_{std::move(script)}
{
    std::string const unit = script_.repeated;
    while (!unit.empty() && script_.repeated.size() < block_size)
        script_.repeated += unit;
    for (std::size_t n = 0; n < connections; ++n)
        connections_.push_back({connect_to(port), 0});
    send_all();
    wait_for_reader(port);
}

void crowd::wait_for_reader(int port)
{
    static constexpr std::chrono::milliseconds interval{100};
    static_cast<void>(eventually(
        [port]
        {
            std::size_t const before = queued_bytes(port);
            std::this_thread::sleep_for(interval);
            return queued_bytes(port) == before;
        }));
}

crowd::~crowd()
{
    for (connection const& it : connections_)
    {
        if (it.descriptor >= 0)
            ::close(it.descriptor);
    }
}

std::string_view crowd::next_bytes(connection const& it) const
{
    std::size_t const left = script_.max_bytes - it.sent;
    if (it.sent < script_.begin.size())
        return std::string_view{script_.begin}.substr(it.sent, left);
    std::size_t const offset =
        (it.sent - script_.begin.size()) % script_.repeated.size();
    return std::string_view{script_.repeated}.substr(offset, left);
}

bool crowd::send_some(connection& it)
{
    std::string_view const bytes = next_bytes(it);
    ssize_t const n =
        ::send(it.descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n > 0)
    {
        it.sent += static_cast<std::size_t>(n);
        sent_ += static_cast<std::size_t>(n);
        return true;
    }
    if (errno != EAGAIN && errno != EINTR)
    {
        ::close(it.descriptor);
        it.descriptor = -1;
    }
    return false;
}

void crowd::send_all()
{
    while (true)
    {
        std::vector<pollfd> waiting;
        std::vector<connection*> senders;
        for (connection& it : connections_)
        {
            if (it.descriptor < 0 || it.sent >= script_.max_bytes)
                continue;
            waiting.push_back({it.descriptor, POLLOUT, 0});
            senders.push_back(&it);
        }
        if (waiting.empty() ||
            ::poll(waiting.data(), waiting.size(), max_silence_ms) <= 0)
            return;
        for (std::size_t n = 0; n < senders.size(); ++n)
        {
            if (waiting[n].revents != 0)
                static_cast<void>(send_some(*senders[n]));
        }
    }
}

void send_datagrams(int port, int count, std::string (*make)(int n))
{
    // The receiver gets time for each batch, so that few datagrams are lost.
    constexpr int batch = 16;
    constexpr std::chrono::milliseconds pause{2};
    int const descriptor = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in const address = loopback(port);
    for (int n = 0; n < count; ++n)
    {
        std::string const bytes = make(n);
        ::sendto(
            descriptor,
            bytes.data(),
            bytes.size(),
            0,
            reinterpret_cast<sockaddr const*>(&address),
            sizeof(address));
        if (n % batch == batch - 1)
            std::this_thread::sleep_for(pause);
    }
    ::close(descriptor);
}

} // namespace test
