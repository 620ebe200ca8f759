#include <hornbeamweir/settings/machine_limits.hpp>

#include <algorithm>
#include <sys/resource.h>

namespace hornbeamweir
{

namespace
{

/// Share of the memory that may be held for peers. The rest is for the
/// program, its tables and what the allocator cannot return.
constexpr double held_share = 0.4;
constexpr double bytes_per_megabyte = 1e6;
/// Descriptors for listeners, log, admin and readiness connections, and calls
/// to the platform.
constexpr double reserved_descriptors = 96;
/// The platform reserves part of the descriptors for files.
constexpr double socket_share = 0.9;
constexpr double min_sockets = 16;

} // namespace

std::size_t held_bytes_limit(machine_limits const& limits)
{
    return static_cast<std::size_t>(
        limits.memory_mb * bytes_per_megabyte * held_share);
}

// A message is held twice while it is decoded. Bodies take less than half of
// the limit for held bytes, so that a message with a permitted body fits where
// entries and agents have the same memory.
message_limits make_message_limits(machine_limits const& limits)
{
    message_limits out;
    out.max_connections =
        std::min<std::size_t>(out.max_connections, socket_limit(limits) / 2);
    out.max_message_bytes =
        std::min(out.max_message_bytes, held_bytes_limit(limits) / 2);
    return out;
}

std::uint32_t socket_limit(machine_limits const& limits)
{
    double descriptors = limits.descriptors;
    rlimit granted{};
    if (::getrlimit(RLIMIT_NOFILE, &granted) == 0)
        descriptors =
            std::min(descriptors, static_cast<double>(granted.rlim_cur));
    double const sockets = descriptors * socket_share - reserved_descriptors;
    return static_cast<std::uint32_t>(std::max(sockets, min_sockets));
}

} // namespace hornbeamweir
