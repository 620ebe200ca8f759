#pragma once

#include <hornbeamweir/telemetry/event_log.hpp>

#include <cstdint>

namespace hornbeamweir
{

/// \brief Minimum severity and rate limit of a process's log.
struct log_settings
{
    severity level = severity::info;
    /// Maximum lines per second; further lines are dropped and counted.
    std::uint32_t lines_per_second = 1000;

    [[nodiscard]] friend bool
    operator==(log_settings const&, log_settings const&) = default;
};

/// \brief Writes events to standard output through Boost.Log.
/// \remarks Never blocks: lines that the output cannot accept, or that exceed
/// the rate limit, are dropped, and their number is logged later.
class console_log final : public event_log
{
public:
    console_log(log_settings settings, std::string process);

    void write(severity level, event const& ev) override;

private:
    [[nodiscard]] bool may_write();

    log_settings settings_;
    std::string process_;
    std::int64_t second_ = 0;
    std::uint32_t written_ = 0;
    std::uint64_t suppressed_ = 0;
};

} // namespace hornbeamweir
