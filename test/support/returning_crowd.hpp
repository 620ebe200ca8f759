#pragma once

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>

namespace test
{

/// \brief Connections to a loopback port that send nothing, and connect again
/// as soon as they are closed.
class returning_crowd
{
public:
    /// \brief Starts to connect on a thread of its own.
    /// \param from Loopback address of the connections.
    returning_crowd(
        int port,
        std::size_t connections,
        std::string const& from = "127.0.0.1");
    returning_crowd(returning_crowd const&) = delete;
    returning_crowd& operator=(returning_crowd const&) = delete;
    ~returning_crowd();

    /// \brief Returns the number of attempts to connect so far.
    [[nodiscard]] std::size_t attempts() const noexcept { return attempts_; }

private:
    void run(int port, std::size_t connections, std::string const& from);

    std::atomic<std::size_t> attempts_{0};
    std::atomic<bool> stopped_{false};
    std::thread thread_;
};

/// \brief Sends the same datagram to a loopback port again and again, without a
/// pause.
class datagram_flood
{
public:
    datagram_flood(int port, std::string bytes);
    datagram_flood(datagram_flood const&) = delete;
    datagram_flood& operator=(datagram_flood const&) = delete;
    ~datagram_flood();

    [[nodiscard]] std::size_t sent() const noexcept { return sent_; }

private:
    std::atomic<std::size_t> sent_{0};
    std::atomic<bool> stopped_{false};
    std::thread thread_;
};

} // namespace test
