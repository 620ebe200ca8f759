#include "test/support/returning_crowd.hpp"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace test
{

namespace
{

/// Pause between rounds, so that the crowd does not need a whole processor.
constexpr int round_ms = 5;
/// The threads end by themselves after so many attempts or datagrams.
constexpr std::size_t max_attempts = 1'000'000;
constexpr std::size_t max_datagrams = 50'000'000;

sockaddr_in address_of(std::string const& ip, int port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
    return out;
}

int start_connecting(std::string const& from, int port)
{
    int const descriptor =
        ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in const local = address_of(from, 0);
    sockaddr_in const remote = address_of("127.0.0.1", port);
    bool const bound = ::bind(
                           descriptor,
                           reinterpret_cast<sockaddr const*>(&local),
                           sizeof(local)) == 0;
    bool const started =
        bound && (::connect(
                      descriptor,
                      reinterpret_cast<sockaddr const*>(&remote),
                      sizeof(remote)) == 0 ||
                  errno == EINPROGRESS);
    if (started)
        return descriptor;
    ::close(descriptor);
    return -1;
}

bool was_closed(int descriptor)
{
    std::array<char, 256> buf{};
    ssize_t const n = ::recv(descriptor, buf.data(), buf.size(), 0);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

} // namespace

returning_crowd::returning_crowd(
    int port, std::size_t connections, std::string const& from)
    : thread_{[=, this] { run(port, connections, from); }}
{
}

returning_crowd::~returning_crowd()
{
    stopped_ = true;
    thread_.join();
}

void returning_crowd::run(
    int port, std::size_t connections, std::string const& from)
{
    std::vector<pollfd> open(connections, {-1, POLLIN, 0});
    while (!stopped_ && attempts_ < max_attempts)
    {
        for (pollfd& it : open)
        {
            if (it.fd >= 0)
                continue;
            it.fd = start_connecting(from, port);
            ++attempts_;
        }
        ::poll(nullptr, 0, round_ms);
        ::poll(open.data(), open.size(), 0);
        for (pollfd& it : open)
        {
            if (it.fd < 0 || it.revents == 0 || !was_closed(it.fd))
                continue;
            ::close(it.fd);
            it.fd = -1;
        }
    }
    for (pollfd const& it : open)
    {
        if (it.fd >= 0)
            ::close(it.fd);
    }
}

datagram_flood::datagram_flood(int port, std::string bytes)
    : thread_{[this, port, bytes = std::move(bytes)]
              {
                  int const descriptor =
                      ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
                  sockaddr_in const to = address_of("127.0.0.1", port);
                  while (!stopped_ && sent_ < max_datagrams)
                  {
                      ::sendto(
                          descriptor,
                          bytes.data(),
                          bytes.size(),
                          0,
                          reinterpret_cast<sockaddr const*>(&to),
                          sizeof(to));
                      ++sent_;
                  }
                  ::close(descriptor);
              }}
{
}

datagram_flood::~datagram_flood()
{
    stopped_ = true;
    thread_.join();
}

} // namespace test
