#include <hornbeamweir/admission/admission_controller.hpp>

#include <algorithm>
#include <cmath>

namespace hornbeamweir
{

namespace
{

/// Callers are told whole seconds.
constexpr duration least_wait = std::chrono::seconds{1};
/// Weight of one more request in the usual time.
constexpr double smoothing = 0.1;

double seconds(duration span) noexcept
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

tl::expected<void, admission_refusal> admission_controller::admit(
    customer const& who, double share, double even_share, time_point now)
{
    bucket& state = buckets_[who.id];
    double const burst = std::max(1.0, who.burst * std::max(share, even_share));
    double const rate = who.requests_per_second * share;
    double const earned =
        state.started ? seconds(now - state.updated) * rate : burst;
    state.tokens = std::min(burst, state.tokens + earned);
    state.started = true;
    state.updated = now;
    double const places = std::max(1.0, std::floor(who.concurrency * share));
    if (state.in_flight >= places)
    {
        return tl::unexpected<admission_refusal>{
            {result_code::concurrency_limited,
             state.returns.book(
                 least_wait, places / seconds(state.usual_time), now)}};
    }
    if (state.tokens < 1)
    {
        return tl::unexpected<admission_refusal>{
            {result_code::rate_limited,
             state.returns.book(least_wait, rate, now)}};
    }
    state.tokens -= 1;
    ++state.in_flight;
    return {};
}

void admission_controller::release(
    customer_id const& who, std::optional<duration> served)
{
    auto const it = buckets_.find(who);
    if (it == buckets_.end() || it->second.in_flight == 0)
        return;
    bucket& state = it->second;
    --state.in_flight;
    if (!served)
        return;
    duration const difference = *served - state.usual_time;
    state.usual_time += duration{static_cast<duration::rep>(
        smoothing * static_cast<double>(difference.count()))};
}

} // namespace hornbeamweir
