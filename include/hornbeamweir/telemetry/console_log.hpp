#pragma once

#include <hornbeamweir/telemetry/event_log.hpp>

#include <cstdint>

namespace hornbeamweir
{

/// \brief Level and rate of a process's log.
struct log_settings
{
    severity level = severity::info;
    /// Lines a second; lines beyond are counted and reported, not written.
    std::uint32_t lines_per_second = 1000;

    [[nodiscard]] friend bool
    operator==(log_settings const&, log_settings const&) = default;
};

/// \brief Writes events to standard output through Boost.Log.
/// \remarks Never blocks: lines that the output cannot take, or that exceed the
/// rate, are counted, and the count is written later.
class console_log final : public event_log
{
public:
    console_log(log_settings settings, std::string process);

    void write(severity level, event const& ev) override;

private:
    [[nodiscard]] bool within_rate();

    log_settings settings_;
    std::string process_;
    std::int64_t second_ = 0;
    std::uint32_t written_ = 0;
    std::uint64_t suppressed_ = 0;
};

} // namespace hornbeamweir
