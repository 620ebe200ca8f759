#pragma once

#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/telemetry/event_log.hpp>
#include <hornbeamweir/telemetry/metrics_registry.hpp>

#include <array>
#include <peers.pb.h>

namespace hornbeamweir
{

/// \brief Counts datagrams and their bytes by kind and direction.
class datagram_traffic
{
public:
    enum class direction
    {
        sent,
        received
    };

    void on_datagram(
        direction way, wire::datagram const& message, std::size_t bytes);

    /// \brief Adds the counts since the last call to the metrics, and writes
    /// one log line.
    /// \param log Null to write no line.
    void write(metrics_registry& metrics, event_log* log);

private:
    static constexpr std::size_t directions = 2;
    static constexpr std::size_t kinds = 8;

    struct count
    {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
    };

    std::array<std::array<count, kinds>, directions> counts_{};
};

} // namespace hornbeamweir
