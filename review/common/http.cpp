#include "http.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace review
{

namespace
{

constexpr std::size_t read_size = 16384;

sockaddr_in loopback(int port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    return out;
}

int bound_socket(int port)
{
    int const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in const address = loopback(port);
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    auto const* const generic = reinterpret_cast<sockaddr const*>(&address);
    if (::bind(descriptor, generic, sizeof address) != 0)
        throw std::runtime_error{"cannot bind a loopback port"};
    return descriptor;
}

bool is_free(int port, int type)
{
    int const descriptor = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in const address = loopback(port);
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    auto const* const generic = reinterpret_cast<sockaddr const*>(&address);
    bool const out = ::bind(descriptor, generic, sizeof address) == 0;
    ::close(descriptor);
    return out;
}

int port_of(int descriptor)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

std::string lower_case(std::string text)
{
    std::transform(
        text.begin(),
        text.end(),
        text.begin(),
        [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

message parse_head(std::string const& head)
{
    message out;
    std::size_t const line_end = head.find("\r\n");
    std::string const first = head.substr(0, line_end);
    std::size_t const space = first.find(' ');
    std::size_t const second = first.find(' ', space + 1);
    std::string const middle = first.substr(space + 1, second - space - 1);
    if (first.starts_with("HTTP/"))
        out.status = static_cast<unsigned>(std::atoi(middle.c_str()));
    else
    {
        out.method = first.substr(0, space);
        out.target = middle;
    }
    std::size_t start = line_end + 2;
    while (start < head.size())
    {
        std::size_t const end = std::min(head.find("\r\n", start), head.size());
        std::string const line = head.substr(start, end - start);
        std::size_t const colon = line.find(':');
        if (colon != std::string::npos)
        {
            std::size_t const value = line.find_first_not_of(' ', colon + 1);
            out.fields[lower_case(line.substr(0, colon))] =
                value == std::string::npos ? std::string{} : line.substr(value);
        }
        start = end + 2;
    }
    return out;
}

} // namespace

std::string message::field(std::string const& name) const
{
    auto const it = fields.find(name);
    return it == fields.end() ? std::string{} : it->second;
}

connection::~connection()
{
    ::close(descriptor_);
}

std::unique_ptr<connection> connection::open(int port)
{
    int const descriptor =
        ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    std::unique_ptr<connection> out = std::make_unique<connection>(descriptor);
    sockaddr_in const address = loopback(port);
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    auto const* const generic = reinterpret_cast<sockaddr const*>(&address);
    int const result = ::connect(descriptor, generic, sizeof address);
    if (result != 0 && errno != EINPROGRESS)
        return nullptr;
    constexpr int connect_ms = 1000;
    pollfd writable{descriptor, POLLOUT, 0};
    int failure = 0;
    socklen_t size = sizeof failure;
    if (::poll(&writable, 1, connect_ms) != 1)
        return nullptr;
    ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &failure, &size);
    if (failure != 0)
        return nullptr;
    int const on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return out;
}

bool connection::send(std::string const& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        ssize_t const n = ::send(
            descriptor_,
            bytes.data() + sent,
            bytes.size() - sent,
            MSG_NOSIGNAL);
        if (n > 0)
        {
            sent += static_cast<std::size_t>(n);
            continue;
        }
        if (errno != EAGAIN && errno != EINTR)
            return false;
        pollfd writable{descriptor_, POLLOUT, 0};
        constexpr int write_ms = 5000;
        if (::poll(&writable, 1, write_ms) != 1)
            return false;
    }
    return true;
}

bool connection::receive()
{
    std::array<char, read_size> buf{};
    for (;;)
    {
        ssize_t const n = ::recv(descriptor_, buf.data(), buf.size(), 0);
        if (n > 0)
        {
            buffer_.append(buf.data(), static_cast<std::size_t>(n));
            return true;
        }
        if (n == 0 || (errno != EAGAIN && errno != EINTR))
            return false;
        pollfd readable{descriptor_, POLLIN, 0};
        if (::poll(&readable, 1, timeout_ms_) != 1)
            return false;
    }
}

std::optional<message> connection::read()
{
    static std::string const blank = "\r\n\r\n";
    std::size_t end = buffer_.find(blank);
    for (; end == std::string::npos; end = buffer_.find(blank))
    {
        if (!receive())
            return std::nullopt;
    }
    message out = parse_head(buffer_.substr(0, end));
    buffer_.erase(0, end + blank.size());
    std::string const length = out.field("content-length");
    bool const until_end = out.status != 0 && length.empty() &&
                           out.field("transfer-encoding").empty();
    std::size_t const size = static_cast<std::size_t>(
        std::atoll(length.empty() ? "0" : length.c_str()));
    while (until_end && receive())
    {
    }
    while (!until_end && buffer_.size() < size)
    {
        if (!receive())
            return std::nullopt;
    }
    out.body = buffer_.substr(0, until_end ? buffer_.size() : size);
    buffer_.erase(0, out.body.size());
    return out;
}

void connection::set_timeout(int milliseconds)
{
    timeout_ms_ = milliseconds;
}

void connection::shut_down()
{
    ::shutdown(descriptor_, SHUT_RDWR);
}

std::string response_text(
    unsigned status,
    std::string const& body,
    std::vector<std::pair<std::string, std::string>> const& fields)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (auto const& [name, value] : fields)
        out.append(name).append(": ").append(value).append("\r\n");
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return out + body;
}

server::server(handler on_request)
    : on_request_{std::move(on_request)}
    , descriptor_{bound_socket(0)}
    , port_{port_of(descriptor_)}
{
    constexpr int backlog = 512;
    ::listen(descriptor_, backlog);
    acceptor_ = std::thread{[this] { accept(); }};
}

server::~server()
{
    stopped_ = true;
    ::shutdown(descriptor_, SHUT_RDWR);
    ::close(descriptor_);
    acceptor_.join();
    {
        std::lock_guard const lock{mutex_};
        for (std::shared_ptr<connection> const& it : connections_)
            it->shut_down();
    }
    for (std::thread& it : threads_)
        it.join();
}

std::string server::address() const
{
    return "127.0.0.1:" + std::to_string(port_);
}

void server::accept()
{
    while (!stopped_)
    {
        int const descriptor =
            ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        int const on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::shared_ptr<connection> const peer =
            std::make_shared<connection>(descriptor);
        std::lock_guard const lock{mutex_};
        connections_.push_back(peer);
        threads_.emplace_back([this, peer] { serve(peer); });
    }
}

void server::serve(std::shared_ptr<connection> const& peer)
{
    while (std::optional<message> const request = peer->read())
        on_request_(*peer, *request);
    peer->shut_down();
}

int free_port()
{
    // Below the ports that the system gives to outgoing connections, one of
    // which could take a port before a process is started again.
    constexpr int first = 20'000;
    constexpr int last = 32'000;
    static std::mt19937 random{std::random_device{}()};
    for (;;)
    {
        int const port =
            std::uniform_int_distribution<int>{first, last}(random);
        if (is_free(port, SOCK_STREAM) && is_free(port, SOCK_DGRAM))
            return port;
    }
}

std::string query_parameter(std::string const& target, std::string const& name)
{
    std::string rest = target.substr(std::min(target.find('?'), target.size()));
    std::size_t start = rest.find("?" + name + "=");
    if (start == std::string::npos)
        start = rest.find("&" + name + "=");
    if (start == std::string::npos)
        return {};
    rest = rest.substr(start + name.size() + 2);
    rest = rest.substr(0, rest.find('&'));
    std::string out;
    for (std::size_t n = 0; n < rest.size(); ++n)
    {
        if (rest[n] == '%' && n + 2 < rest.size())
        {
            constexpr int hexadecimal = 16;
            out += static_cast<char>(std::strtol(
                rest.substr(n + 1, 2).c_str(), nullptr, hexadecimal));
            n += 2;
        }
        else
            out += rest[n];
    }
    return out;
}

} // namespace review
