#include <hornbeamweir/admission/dispatch_limit.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

constexpr double min_limit = 4;
constexpr double max_limit = 4096;
/// Minimum fraction of the limit that remains after one decrease.
constexpr double min_remaining_fraction = 0.5;
/// Increase of the limit per round. A round is as many successful requests as
/// the current limit.
constexpr double increase_per_round = 0.1;
/// Fraction of the load that may wait without a decrease: engines report short
/// queues even at low load.
constexpr double tolerated_queue_fraction = 0.05;
/// Reports are delayed: the effect of a decrease must be visible in them before
/// the next one.
constexpr duration decrease_interval = std::chrono::milliseconds{1000};

} // namespace

bool dispatch_limit::allows(std::size_t open) const noexcept
{
    return static_cast<double>(open) < limit_;
}

void dispatch_limit::on_success(std::size_t open) noexcept
{
    // Success below the limit does not show that there is capacity for more.
    if (static_cast<double>(open) + 1 >= limit_)
        limit_ = std::min(max_limit, limit_ + increase_per_round / limit_);
}

// The queued requests are those in excess of the capacity. Each entry reduces
// its limit by the same fraction, which removes the excess however many entries
// share the backend servers.
void dispatch_limit::on_report(
    std::size_t queued, std::size_t in_flight, time_point now) noexcept
{
    double const load = static_cast<double>(std::max(queued, in_flight));
    double const excess =
        static_cast<double>(queued) - tolerated_queue_fraction * load;
    if (excess <= 0 || now - last_decrease_ < decrease_interval)
        return;
    last_decrease_ = now;
    double const remaining_fraction = 1 - excess / load;
    limit_ = std::max(
        min_limit,
        limit_ * std::max(min_remaining_fraction, remaining_fraction));
}

} // namespace hornbeamweir
