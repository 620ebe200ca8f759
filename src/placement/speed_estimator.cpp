#include <hornbeamweir/placement/speed_estimator.hpp>

#include <algorithm>
#include <cmath>

namespace hornbeamweir
{

namespace
{

/// Half-width of the dead band.
constexpr double min_change = 0.06;
/// Lower reported speeds are raised to this value.
constexpr double min_speed = 0.05;

} // namespace

speed_estimator::speed_estimator(std::size_t ranks)
    : speeds_(ranks, 1.0)
    , recent_(ranks, {1.0, 1.0, 1.0})
{
}

// The median of three reports rejects a single outlier. The dead band prevents
// noise from causing moves of experts.
bool speed_estimator::update(std::span<double const> speeds)
{
    auto const usable = [](double speed)
    { return std::isfinite(speed) && speed > 0; };
    if (speeds.size() != speeds_.size() ||
        !std::all_of(speeds.begin(), speeds.end(), usable))
        return false;
    bool changed = false;
    for (std::size_t n = 0; n < speeds.size(); ++n)
    {
        recent_[n][next_] = std::max(speeds[n], min_speed);
        std::array<double, window> sorted = recent_[n];
        std::sort(sorted.begin(), sorted.end());
        double const median = sorted[window / 2];
        if (std::abs(median - speeds_[n]) <= min_change)
            continue;
        speeds_[n] = median;
        changed = true;
    }
    next_ = (next_ + 1) % window;
    return changed;
}

std::vector<double> const& speed_estimator::speeds() const noexcept
{
    return speeds_;
}

} // namespace hornbeamweir
