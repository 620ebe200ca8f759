#pragma once

#include <cstddef>
#include <cstdint>

namespace hornbeamweir
{

/// \brief What the machine grants a process.
struct machine_limits
{
    /// Memory in megabytes (10^6 bytes).
    double memory_mb = 256;
    /// File descriptors; RLIMIT_NOFILE applies where it is lower.
    double descriptors = 4096;

    [[nodiscard]] friend bool
    operator==(machine_limits const&, machine_limits const&) = default;
};

/// \brief Limits of the port for messages of other processes.
struct message_limits
{
    /// Connections, of which those without a message make room for others.
    std::size_t max_connections = 2048;
    /// Larger messages end their connection.
    std::size_t max_message_bytes = std::size_t{72} * 1024 * 1024;
};

/// \brief Returns limits that leave descriptors and memory for callers.
[[nodiscard]] message_limits make_message_limits(machine_limits const& limits);

/// \brief Returns how many bytes may be held for peers: what they have sent
/// and is not processed yet, and what they have not read.
[[nodiscard]] std::size_t held_bytes_limit(machine_limits const& limits);

/// \brief Returns how many descriptors sockets of callers and backend servers
/// may use, which leaves some for listeners, files and the platform.
[[nodiscard]] std::uint32_t socket_limit(machine_limits const& limits);

} // namespace hornbeamweir
