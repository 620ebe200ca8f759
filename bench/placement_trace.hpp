#pragma once

#include <hornbeamweir/core/random_source.hpp>
#include <hornbeamweir/expert_map/expert_map.hpp>
#include <hornbeamweir/placement/placement_policy.hpp>

#include <algorithm>
#include <cmath>
#include <numbers>
#include <string_view>
#include <vector>

/// \file
/// \brief Simulated demand for experts in intervals of ten minutes.

namespace placement_bench
{

using hornbeamweir::expert_map;
using hornbeamweir::expert_map_shape;
using hornbeamweir::popularity_report;
using hornbeamweir::random_source;

constexpr std::size_t intervals_per_day = 144;
constexpr std::size_t days = 2;
constexpr std::size_t intervals = intervals_per_day * days;
constexpr std::size_t festival_start = intervals_per_day + 60;
constexpr std::size_t festival_end = festival_start + 24;
constexpr std::size_t slow_rank_start = intervals_per_day;
/// Sampled tokens of each layer and interval.
constexpr double default_samples = 16384;
constexpr double exact_samples = 1e12;

/// \brief Kinds of demand. A festival is a demand spike of 24 intervals.
enum class scenario
{
    day_and_night,
    festival,
    noise,
    slow_rank
};

/// \brief Returns a number of the standard normal distribution.
inline double normal(random_source& random)
{
    double const radius = std::sqrt(-2 * std::log(1 - random.unit()));
    return radius * std::cos(2 * std::numbers::pi * random.unit());
}

/// \brief Simulated shares of experts and speeds of ranks over time, with
/// sampled reports of them.
class popularity_trace
{
public:
    popularity_trace(
        scenario kind,
        expert_map_shape const& shape,
        double samples,
        std::uint64_t seed)
        : kind_{kind}
        , shape_{shape}
        , samples_per_layer_{samples}
        , random_{seed}
        , size_{static_cast<std::size_t>(shape.layers) * shape.experts}
        , random_walk_(size_, 0.0)
    {
        for (std::vector<double>* demand_pattern :
             {&base_pattern_,
              &morning_pattern_,
              &evening_pattern_,
              &festival_pattern_})
            *demand_pattern = make_demand_pattern();
        for (std::size_t n = 0; n < intervals; ++n)
        {
            advance();
            shares_.push_back(combine_patterns(n));
        }
    }

    /// \brief Returns the true shares by layer and expert.
    [[nodiscard]] std::vector<double> const& shares(std::size_t interval) const
    {
        return shares_[interval];
    }

    /// \brief Returns the true speeds.
    [[nodiscard]] std::vector<double> speeds(std::size_t interval) const
    {
        std::vector<double> speeds(shape_.ranks, 1.0);
        if (kind_ == scenario::slow_rank && interval >= slow_rank_start)
            speeds[shape_.ranks / 2] = 0.7;
        return speeds;
    }

    /// \brief Returns the sampled report of an interval, with noise.
    [[nodiscard]] popularity_report sample(std::size_t interval)
    {
        popularity_report report;
        for (double const share : shares_[interval])
        {
            double const mean = share * samples_per_layer_;
            double const count = mean + std::sqrt(mean) * normal(random_);
            report.tokens.push_back(std::max(0.0, std::round(count)));
        }
        for (double const speed : speeds(interval))
            report.rank_speed.push_back(speed * (1 + 0.01 * normal(random_)));
        return report;
    }

private:
    std::vector<double> make_demand_pattern()
    {
        std::vector<double> demand_pattern(size_);
        for (double& share : demand_pattern)
            share = std::exp(0.8 * normal(random_));
        normalize(demand_pattern);
        return demand_pattern;
    }

    void normalize(std::vector<double>& values) const
    {
        for (std::size_t n = 0; n < values.size(); n += shape_.experts)
        {
            double total = 0;
            for (std::size_t e = 0; e < shape_.experts; ++e)
                total += values[n + e];
            for (std::size_t e = 0; e < shape_.experts; ++e)
                values[n + e] /= total;
        }
    }

    void advance()
    {
        for (double& value : random_walk_)
            value = 0.995 * value + 0.01 * normal(random_);
    }

    [[nodiscard]] static double
    gaussian(double hour, double centre, double width)
    {
        double const distance = (hour - centre) / width;
        return std::exp(-distance * distance / 2);
    }

    [[nodiscard]] std::vector<double>
    combine_patterns(std::size_t interval) const
    {
        if (kind_ == scenario::noise)
            return base_pattern_;
        double const hour = 24.0 *
                            static_cast<double>(interval % intervals_per_day) /
                            static_cast<double>(intervals_per_day);
        bool const spike = kind_ == scenario::festival &&
                           interval >= festival_start &&
                           interval < festival_end;
        std::vector<double> mixed(size_);
        for (std::size_t n = 0; n < size_; ++n)
        {
            mixed[n] = base_pattern_[n] +
                       1.5 * gaussian(hour, 9, 2) * morning_pattern_[n] +
                       1.5 * gaussian(hour, 20, 2) * evening_pattern_[n] +
                       (spike ? 2.0 : 0.0) * festival_pattern_[n];
            mixed[n] *= std::exp(random_walk_[n]);
        }
        normalize(mixed);
        return mixed;
    }

    scenario kind_;
    expert_map_shape shape_;
    double samples_per_layer_;
    random_source random_;
    std::size_t size_;
    std::vector<double> random_walk_;
    std::vector<double> base_pattern_;
    std::vector<double> morning_pattern_;
    std::vector<double> evening_pattern_;
    std::vector<double> festival_pattern_;
    std::vector<std::vector<double>> shares_;
};

} // namespace placement_bench
