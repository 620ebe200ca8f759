#include "port_limits.hpp"

#include <algorithm>

namespace hornbeamweir
{

http_limits internal_port_limits()
{
    constexpr std::uint32_t max_connections = 32;
    constexpr std::uint32_t max_header_bytes = 8 * 1024;
    constexpr std::uint32_t max_body_bytes = 1024;
    http_limits limits;
    limits.max_connections = max_connections;
    limits.max_header_bytes = max_header_bytes;
    limits.max_body_bytes = max_body_bytes;
    return limits;
}

std::uint32_t max_relayed_connections(machine_limits const& limits)
{
    constexpr std::uint32_t max_connections = 1800;
    return std::min(max_connections, socket_limit(limits) / 2);
}

http_limits relayed_caller_limits(
    caller_limits const& configured, machine_limits const& machine)
{
    http_limits limits;
    limits.max_header_bytes = configured.max_header_bytes;
    limits.send_buffer_bytes = caller_send_buffer_bytes;
    limits.receive_buffer_bytes = caller_receive_buffer_bytes;
    limits.max_body_bytes = configured.max_body_bytes;
    limits.max_connections = max_relayed_connections(machine);
    limits.read_timeout = configured.header_timeout;
    limits.first_request_timeout = configured.idle_timeout;
    limits.idle_timeout = configured.idle_timeout;
    return limits;
}

} // namespace hornbeamweir
