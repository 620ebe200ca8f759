#include <hornbeamweir/admission/admission_controller.hpp>

#include <algorithm>
#include <cmath>

namespace hornbeamweir
{

namespace
{

/// Retry-After is sent in whole seconds.
constexpr duration min_retry_after = std::chrono::seconds{1};
/// Weight of the latest request in the mean service time.
constexpr double service_time_smoothing = 0.1;

double seconds(duration span) noexcept
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

tl::expected<void, admission_refusal> admission_controller::admit(
    customer const& settings, double share, double equal_share, time_point now)
{
    customer_state& state = customers_[settings.id];
    double const burst =
        std::max(1.0, settings.burst * std::max(share, equal_share));
    double const rate = settings.requests_per_second * share;
    double const earned =
        state.initialized ? seconds(now - state.updated_at) * rate : burst;
    state.tokens = std::min(burst, state.tokens + earned);
    state.initialized = true;
    state.updated_at = now;
    double const slots =
        std::max(1.0, std::floor(settings.concurrency * share));
    if (state.in_flight >= slots)
    {
        return tl::unexpected<admission_refusal>{
            {result_code::concurrency_limited,
             state.retry_schedule.reserve(
                 min_retry_after,
                 slots / seconds(state.mean_service_time),
                 now)}};
    }
    if (state.tokens < 1)
    {
        return tl::unexpected<admission_refusal>{
            {result_code::rate_limited,
             state.retry_schedule.reserve(min_retry_after, rate, now)}};
    }
    state.tokens -= 1;
    ++state.in_flight;
    return {};
}

void admission_controller::release(
    customer_id const& id, std::optional<duration> service_time)
{
    auto const it = customers_.find(id);
    if (it == customers_.end() || it->second.in_flight == 0)
        return;
    customer_state& state = it->second;
    --state.in_flight;
    if (!service_time)
        return;
    duration const difference = *service_time - state.mean_service_time;
    state.mean_service_time += duration{static_cast<duration::rep>(
        service_time_smoothing * static_cast<double>(difference.count()))};
}

} // namespace hornbeamweir
