#include <hornbeamweir/placement/popularity_estimator.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace hornbeamweir
{

namespace
{

constexpr double drift_gain = 0.15;
constexpr double drift_significance = 3;
constexpr double change_significance = 5;
constexpr double shift_threshold = 5;
/// Deviations beyond chance at which a single report is believed.
constexpr double jump_significance = 6;

double measurement_variance(double share, double total)
{
    return std::max(share, 1.0 / total) / total;
}

} // namespace

popularity_estimator::popularity_estimator(std::size_t experts)
    : shares_(
          experts, 1.0 / static_cast<double>(std::max<std::size_t>(experts, 1)))
    , variances_(experts, 1.0)
{
}

void popularity_estimator::update(std::span<double const> tokens)
{
    double const total = std::accumulate(tokens.begin(), tokens.end(), 0.0);
    if (tokens.size() != shares_.size() || !(total > 0))
        return;
    if (!started_)
    {
        start(tokens, total);
        return;
    }
    estimate_drift(tokens, total);
    steady_reports_ = changing() ? 0 : steady_reports_ + 1;
    for (std::size_t n = 0; n < tokens.size(); ++n)
        correct(n, tokens[n] / total, total);
}

std::vector<double> const& popularity_estimator::shares() const noexcept
{
    return shares_;
}

double popularity_estimator::relative_error() const noexcept
{
    double variance = 0;
    double squares = 0;
    for (std::size_t n = 0; n < shares_.size(); ++n)
    {
        variance += variances_[n];
        squares += shares_[n] * shares_[n];
    }
    return squares > 0 ? std::sqrt(variance / squares) : 1;
}

std::size_t popularity_estimator::steady_reports() const noexcept
{
    return steady_reports_;
}

void popularity_estimator::start(std::span<double const> tokens, double total)
{
    for (std::size_t n = 0; n < tokens.size(); ++n)
    {
        shares_[n] = tokens[n] / total;
        variances_[n] = measurement_variance(shares_[n], total);
    }
    started_ = true;
}

// Pooling over the experts gives one figure with little noise of its own; what
// remains of that noise is deducted, so that the filter of a steady load
// averages all its samples. A shift of a single expert is capped: correct()
// follows it at once.
void popularity_estimator::estimate_drift(
    std::span<double const> tokens, double total)
{
    double excess = 0;
    double weight = 0;
    double noise_squares = 0;
    double surplus = 0;
    for (std::size_t n = 0; n < tokens.size(); ++n)
    {
        double const noise =
            variances_[n] + measurement_variance(shares_[n], total);
        double const innovation = tokens[n] / total - shares_[n];
        double const limit = shift_threshold * shift_threshold * noise;
        double const square = std::min(innovation * innovation, limit);
        excess += square - noise;
        surplus += square / noise - 1;
        noise_squares += noise * noise;
        weight += shares_[n] * shares_[n];
    }
    surplus /= static_cast<double>(tokens.size());
    surplus_ += drift_gain * (surplus - surplus_);
    if (!(weight > 0))
        return;
    double const spread = std::sqrt(2 * noise_squares) / weight;
    excess_ += drift_gain * (excess / weight - excess_);
    double const margin =
        drift_significance * spread * std::sqrt(drift_gain / 2);
    drift_ = std::max(0.0, excess_ - margin);
    // A load that has changed as a whole shows in one report.
    double const chance = std::sqrt(2 / static_cast<double>(tokens.size()));
    if (surplus > jump_significance * chance)
        drift_ = std::max(drift_, excess / weight);
}

// Each expert counts alike here: the figure is then near normal, which large
// shares would spoil.
bool popularity_estimator::changing() const noexcept
{
    double const experts = static_cast<double>(shares_.size());
    double const spread = std::sqrt(2 / experts * drift_gain / 2);
    return surplus_ > change_significance * spread;
}

void popularity_estimator::correct(
    std::size_t expert, double observed, double total)
{
    double& share = shares_[expert];
    double& variance = variances_[expert];
    double const noise = measurement_variance(share, total);
    variance += drift_ * share * share;
    double const innovation = observed - share;
    double const limit = shift_threshold * shift_threshold * (variance + noise);
    if (innovation * innovation > limit)
    {
        variance += innovation * innovation;
        steady_reports_ = 0;
    }
    double const gain = variance / (variance + noise);
    share += gain * innovation;
    variance *= 1 - gain;
}

} // namespace hornbeamweir
