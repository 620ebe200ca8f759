#pragma once

#include <cstddef>
#include <span>
#include <vector>

namespace hornbeamweir
{

/// \brief Estimates each expert's share of a layer's tokens from samples.
/// \remarks Runs a Kalman filter for each expert. The measurement noise is that
/// of Poisson counts. The process noise (drift) is estimated from the amount by
/// which the innovations of all experts exceed the sampling noise, so that pure
/// sampling noise is averaged out.
class popularity_estimator
{
public:
    explicit popularity_estimator(std::size_t experts);

    /// \brief Updates the estimates with the token counts of one interval.
    /// \param tokens One count for each expert. Ignored if the size is wrong or
    /// all counts are 0.
    void update(std::span<double const> tokens);

    /// \brief Returns the estimated shares, whose sum is approximately 1.
    [[nodiscard]] std::vector<double> const& shares() const noexcept;

    /// \brief Returns the relative standard error of an average expert's share.
    [[nodiscard]] double relative_error() const noexcept;

    /// \brief Returns the number of consecutive updates whose changes are
    /// explained by sampling noise.
    [[nodiscard]] std::size_t steady_updates() const noexcept;

private:
    void initialize(std::span<double const> tokens, double total);
    void estimate_drift(std::span<double const> tokens, double total);
    [[nodiscard]] bool is_changing() const noexcept;
    void correct(std::size_t expert, double observed, double total);

    std::vector<double> shares_;
    std::vector<double> variances_;
    /// Moving average of the drift that the innovations indicate; 0 on average
    /// for sampling noise alone.
    double mean_drift_variance_ = 0;
    /// Moving average of the squared innovations divided by their expected
    /// variance, minus 1; 0 on average for sampling noise alone.
    double mean_normalized_innovation_ = 0;
    /// Variance of the relative change of an expert's share in one interval.
    double drift_ = 0;
    std::size_t steady_updates_ = 0;
    bool started_ = false;
};

} // namespace hornbeamweir
