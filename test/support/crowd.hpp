#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace test
{

/// \brief What each connection of a crowd sends.
struct crowd_script
{
    /// Sent first.
    std::string begin;
    /// Sent again and again after it.
    std::string repeated;
    /// Number of bytes after which a connection sends nothing more.
    std::size_t max_bytes = 0;
};

/// \brief Connections to a loopback port that never read.
class crowd
{
public:
    /// \brief Connects and sends, until each connection has sent everything or
    /// was closed, or none can send any more, and the receiver has read what it
    /// will read.
    /// \param connections Number of connections that are attempted.
    crowd(int port, std::size_t connections, crowd_script script);
    crowd(crowd const&) = delete;
    crowd& operator=(crowd const&) = delete;
    ~crowd();

    /// \brief Returns the number of bytes sent by all connections.
    [[nodiscard]] std::size_t sent_bytes() const noexcept { return sent_; }

private:
    struct connection
    {
        int descriptor = -1;
        std::size_t sent = 0;
    };

    void send_all();
    static void wait_for_reader(int port);
    /// \returns Whether any bytes were sent.
    [[nodiscard]] bool send_some(connection& it);
    [[nodiscard]] std::string_view next_bytes(connection const& it) const;

    crowd_script script_;
    std::vector<connection> connections_;
    std::size_t sent_ = 0;
};

/// \brief Sends datagrams to a loopback port.
/// \param make Returns the n-th datagram.
void send_datagrams(int port, int count, std::string (*make)(int n));

} // namespace test
