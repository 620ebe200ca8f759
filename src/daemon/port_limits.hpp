#pragma once

#include <hornbeamweir/http/http_server.hpp>
#include <hornbeamweir/routes/route_configuration.hpp>
#include <hornbeamweir/settings/machine_limits.hpp>

namespace hornbeamweir
{

/// \brief Limits of ports for operators and the platform, whose requests have
/// no bodies.
[[nodiscard]] http_limits internal_port_limits();

/// Send buffer of a caller's connection: some events of a stream, or a part of
/// a plain answer.
constexpr std::uint32_t caller_send_buffer_bytes = 32 * 1024;

/// Receive buffer of a caller's connection: a request of usual size. A larger
/// body takes a round trip for each buffer.
constexpr std::uint32_t caller_receive_buffer_bytes = 32 * 1024;

/// \brief Returns how many connections of callers fit if each may need another
/// one, to a backend server.
[[nodiscard]] std::uint32_t
max_relayed_connections(machine_limits const& limits);

/// \brief Returns the limits of the callers' port of a relaying entry.
/// \param configured From the configuration in force.
[[nodiscard]] http_limits relayed_caller_limits(
    caller_limits const& configured, machine_limits const& machine);

} // namespace hornbeamweir
