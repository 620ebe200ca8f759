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

} // namespace hornbeamweir
