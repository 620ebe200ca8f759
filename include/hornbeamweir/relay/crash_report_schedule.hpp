#pragma once

#include <hornbeamweir/core/identifier.hpp>
#include <hornbeamweir/core/random_source.hpp>
#include <hornbeamweir/core/time.hpp>

#include <vector>

namespace hornbeamweir::relay
{

/// \brief Decides when an entry reports crashes, and to which other entries.
/// \remarks Sans-I/O. News is passed on by each entry to a few random ones, so
/// that it reaches all in a number of rounds that grows with the logarithm of
/// their number, and no entry sends to all. Without news a few entries are told
/// now and then, which makes up for lost messages and for restarts.
class crash_report_schedule
{
public:
    /// Entries that are told in one round.
    static constexpr std::size_t fanout = 4;

    explicit crash_report_schedule(random_source random) noexcept
        : random_{random}
    {
    }

    /// \param revision Of the report; another one is news.
    /// \param others The other entries.
    /// \returns The entries to be told now.
    [[nodiscard]] std::vector<process_name> on_tick(
        std::uint64_t revision,
        std::vector<process_name> others,
        time_point now);

private:
    random_source random_;
    std::uint64_t revision_ = 0;
    /// Rounds in which the last news is still passed on.
    std::uint32_t rounds_left_ = 0;
    time_point sent_at_{};
};

} // namespace hornbeamweir::relay
