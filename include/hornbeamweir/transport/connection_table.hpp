#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace hornbeamweir
{

/// \brief Decides which connections of a listening port make room for others:
/// those that have delivered no message yet.
class connection_table
{
public:
    explicit connection_table(std::size_t max_connections) noexcept
        : max_connections_{max_connections}
    {
    }

    /// \brief Records a new connection.
    /// \param descriptor Replaces a connection that had the same one.
    /// \param host Address of the peer, without its port.
    /// \returns The descriptor of the connection to be ended, which is
    /// forgotten; none while there is room.
    [[nodiscard]] std::optional<int>
    on_accepted(int descriptor, std::string host);

    /// \brief Records that a connection has delivered a message, and so has
    /// authenticated itself.
    void on_message(int descriptor);

    void on_closed(int descriptor);

    [[nodiscard]] std::size_t size() const noexcept
    {
        return silent_.size() + proven_.size();
    }

private:
    struct silent_connection
    {
        std::string host;
        std::uint64_t number = 0;
    };

    [[nodiscard]] std::optional<int> oldest_of_busiest_host() const;
    void forget_silent(std::map<int, silent_connection>::iterator it);

    std::size_t max_connections_;
    std::uint64_t next_number_ = 0;
    /// Connections without a message, and their number by host.
    std::map<int, silent_connection> silent_;
    std::map<std::string, std::size_t> silent_by_host_;
    /// Connections that have delivered a message.
    std::set<int> proven_;
};

} // namespace hornbeamweir
