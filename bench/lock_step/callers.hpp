#pragma once

#include "engine_group.hpp"

#include <cmath>
#include <optional>

namespace bench::lock_step
{

/// \brief How requests of callers ended.
struct caller_totals
{
    std::uint32_t requests = 0;
    std::uint32_t on_time = 0;
    std::uint32_t late = 0;
    std::uint32_t rejected = 0;
    std::uint32_t abandoned = 0;
    /// Sum over unserved requests of the time that they were kept waiting.
    duration held{};
    /// Longest time for which a request waited to be rejected.
    duration max_rejection_wait{};

    /// \brief Credit earned, from 0 to 1; a late answer earns half.
    [[nodiscard]] double credit() const
    {
        constexpr double late_credit = 0.5;
        return requests == 0 ? 0 : (on_time + late_credit * late) / requests;
    }
};

/// \brief Expectations of callers.
struct caller_patience
{
    duration deadline = std::chrono::seconds{8};
    duration target_latency = std::chrono::milliseconds{500};
    duration target_gap = std::chrono::milliseconds{150};
    /// A caller abandons a stream after this time without an event.
    duration max_silence = std::chrono::seconds{2};
};

/// \brief One request of a caller, over all its attempts.
struct caller_request
{
    stream_work work;
    time_point first_sent{};
    time_point attempt_sent{};
    time_point last_event{};
    bool has_event = false;
    bool late = false;
    bool retried = false;
};

/// \brief Draws prompts and answers with a wide spread.
[[nodiscard]] inline stream_work draw_work(hornbeamweir::random_source& random)
{
    constexpr double mean_prompt = 800;
    constexpr double max_prompt = 2800;
    constexpr double mean_events = 19.4;
    constexpr double max_events = 48.5;
    // Exponential, cut off at the maximum.
    double const prompt =
        std::min(-std::log(1 - random.unit()) * mean_prompt, max_prompt);
    double const events =
        std::min(-std::log(1 - random.unit()) * mean_events, max_events);
    return {
        1 + static_cast<std::uint32_t>(prompt),
        1 + static_cast<std::uint32_t>(events)};
}

} // namespace bench::lock_step
