#include "port_limits.hpp"

#include <algorithm>

namespace hornbeamweir
{

http_limits internal_port_limits()
{
    constexpr std::uint32_t max_connections = 32;
    http_limits limits;
    limits.max_connections = max_connections;
    return limits;
}

std::uint32_t max_relayed_connections(machine_limits const& limits)
{
    constexpr std::uint32_t max_connections = 1800;
    return std::min(max_connections, socket_limit(limits) / 2);
}

} // namespace hornbeamweir
