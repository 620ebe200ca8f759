#pragma once

#include "test/support/crowd.hpp"

#include <atomic>
#include <thread>
#include <vector>

namespace test
{

/// \brief A server on a loopback port that answers each request, as soon as its
/// header has arrived, by a script that may have no end.
class flood_server
{
public:
    /// \param keeps_open Whether a connection stays open after its script.
    flood_server(int port, crowd_script script, bool keeps_open = true);
    flood_server(flood_server const&) = delete;
    flood_server& operator=(flood_server const&) = delete;
    ~flood_server();

    /// \brief Returns the number of bytes sent so far.
    [[nodiscard]] std::size_t sent_bytes() const noexcept { return sent_; }

private:
    struct connection
    {
        int descriptor = -1;
        std::string received;
        std::size_t sent = 0;
    };

    void serve();
    void accept_one();
    void on_ready(connection& it, short events);
    void close_connection(connection& it);

    int listener_;
    crowd_script script_;
    bool keeps_open_;
    std::vector<connection> connections_;
    std::atomic<std::size_t> sent_{0};
    std::atomic<bool> stopped_{false};
    std::thread thread_;
};

} // namespace test
