#include <hornbeamweir/placement/popularity_estimator.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace hornbeamweir
{

namespace
{

/// Smoothing factor of the moving averages.
constexpr double smoothing_factor = 0.15;
/// Standard errors that are deducted from the estimated drift.
constexpr double drift_significance = 3;
/// Standard errors at which the popularity counts as changing.
constexpr double change_significance = 5;
/// Standard deviations of an innovation beyond which a share has shifted.
constexpr double shift_threshold = 5;
/// Standard errors at which a single report shows a change of many shares.
constexpr double single_report_significance = 6;

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
        initialize(tokens, total);
        return;
    }
    estimate_drift(tokens, total);
    steady_updates_ = is_changing() ? 0 : steady_updates_ + 1;
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

std::size_t popularity_estimator::steady_updates() const noexcept
{
    return steady_updates_;
}

void popularity_estimator::initialize(
    std::span<double const> tokens, double total)
{
    for (std::size_t n = 0; n < tokens.size(); ++n)
    {
        shares_[n] = tokens[n] / total;
        variances_[n] = measurement_variance(shares_[n], total);
    }
    started_ = true;
}

// Pooling over all experts gives an estimate with little noise. A margin for
// the remaining noise is deducted, so that under a steady load the filter
// averages all of its samples. The contribution of a single expert is capped,
// because correct() already follows such a shift in one report.
void popularity_estimator::estimate_drift(
    std::span<double const> tokens, double total)
{
    double excess_squares = 0;
    double share_squares = 0;
    double noise_squares = 0;
    double normalized_innovation = 0;
    for (std::size_t n = 0; n < tokens.size(); ++n)
    {
        double const noise =
            variances_[n] + measurement_variance(shares_[n], total);
        double const innovation = tokens[n] / total - shares_[n];
        double const limit = shift_threshold * shift_threshold * noise;
        double const square = std::min(innovation * innovation, limit);
        excess_squares += square - noise;
        normalized_innovation += square / noise - 1;
        noise_squares += noise * noise;
        share_squares += shares_[n] * shares_[n];
    }
    normalized_innovation /= static_cast<double>(tokens.size());
    mean_normalized_innovation_ +=
        smoothing_factor *
        (normalized_innovation - mean_normalized_innovation_);
    if (!(share_squares > 0))
        return;
    double const drift_deviation = std::sqrt(2 * noise_squares) / share_squares;
    mean_drift_variance_ += smoothing_factor * (excess_squares / share_squares -
                                                mean_drift_variance_);
    double const margin =
        drift_significance * drift_deviation * std::sqrt(smoothing_factor / 2);
    drift_ = std::max(0.0, mean_drift_variance_ - margin);
    // A simultaneous change of many shares is significant in a single report.
    double const normalized_deviation =
        std::sqrt(2 / static_cast<double>(tokens.size()));
    if (normalized_innovation >
        single_report_significance * normalized_deviation)
        drift_ = std::max(drift_, excess_squares / share_squares);
}

// All experts have the same weight here. The statistic is then approximately
// normal; weighting by share would let a few large shares dominate it.
bool popularity_estimator::is_changing() const noexcept
{
    double const experts = static_cast<double>(shares_.size());
    double const deviation = std::sqrt(2 / experts * smoothing_factor / 2);
    return mean_normalized_innovation_ > change_significance * deviation;
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
        steady_updates_ = 0;
    }
    double const gain = variance / (variance + noise);
    share += gain * innovation;
    variance *= 1 - gain;
}

} // namespace hornbeamweir
