#pragma once

#include <hornbeamweir/core/random_source.hpp>
#include <hornbeamweir/core/time.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <queue>
#include <vector>

namespace bench::lock_step
{

/// \brief How the demand for experts changes over time.
enum class demand_kind
{
    /// A part of the popularity changes to a distribution not seen before.
    new_shifts,
    /// Few distributions take turns.
    recurring,
    /// Popularity changes slowly.
    drift
};

/// \brief Popularity of the experts of each set; changes over time.
class demand_shifts
{
public:
    demand_shifts(
        demand_kind kind,
        std::size_t sets,
        std::size_t experts,
        std::uint64_t seed)
        : kind_{kind}
        , sets_{sets}
        , experts_{experts}
        , random_{seed}
    {
        constexpr std::size_t recurring_distributions = 4;
        for (std::size_t n = 0; n < recurring_distributions; ++n)
            seen_.push_back(draw());
        current_ = seen_.front();
        target_ = seen_.back();
    }

    /// \brief Changes a share of 0.5 to 0.8 of the popularity.
    void shift()
    {
        constexpr double min_share = 0.5;
        constexpr double max_share = 0.8;
        ++shifts_;
        if (kind_ == demand_kind::recurring)
        {
            current_ = seen_[shifts_ % seen_.size()];
            return;
        }
        target_ = draw();
        if (kind_ == demand_kind::new_shifts)
            mix(min_share + (max_share - min_share) * random_.unit());
    }

    /// \brief Changes a small share of the popularity, if it drifts.
    void drift()
    {
        constexpr double share = 0.08;
        if (kind_ == demand_kind::drift)
            mix(share);
    }

    /// \returns Shares by set, then by expert; they sum up to 1 in each set.
    [[nodiscard]] std::vector<double> const& current() const
    {
        return current_;
    }

    /// \brief Lower bound of the skew, averaged over the sets: the largest part
    /// of an expert if the places were used for copies of the most popular
    /// ones, or perfect balance.
    [[nodiscard]] double min_skew(std::size_t ranks, std::size_t places) const
    {
        double total = 0;
        for (std::size_t set = 0; set < sets_; ++set)
        {
            std::priority_queue<std::pair<double, std::pair<double, int>>>
                parts;
            for (std::size_t n = 0; n < experts_; ++n)
            {
                double const share = current_[set * experts_ + n];
                parts.push({share, {share, 1}});
            }
            for (std::size_t n = experts_; n < ranks * places; ++n)
            {
                auto const [share, copies] = parts.top().second;
                parts.pop();
                parts.push({share / (copies + 1), {share, copies + 1}});
            }
            total +=
                std::max(1.0, parts.top().first * static_cast<double>(ranks));
        }
        return total / static_cast<double>(sets_);
    }

private:
    [[nodiscard]] std::vector<double> draw()
    {
        // Throws a balanced map to the skew seen on deployments, 2.4 to 2.9.
        constexpr double exponent = 0.8;
        std::vector<double> out(sets_ * experts_);
        std::vector<std::size_t> order(experts_);
        std::iota(order.begin(), order.end(), 0U);
        for (std::size_t set = 0; set < sets_; ++set)
        {
            for (std::size_t n = experts_ - 1; n > 0; --n)
                std::swap(order[n], order[random_.below(n + 1)]);
            double total = 0;
            for (std::size_t n = 0; n < experts_; ++n)
                total += std::pow(static_cast<double>(n + 1), -exponent);
            for (std::size_t n = 0; n < experts_; ++n)
                out[set * experts_ + order[n]] =
                    std::pow(static_cast<double>(n + 1), -exponent) / total;
        }
        return out;
    }

    void mix(double share)
    {
        for (std::size_t n = 0; n < current_.size(); ++n)
            current_[n] += share * (target_[n] - current_[n]);
    }

    demand_kind kind_;
    std::size_t sets_;
    std::size_t experts_;
    hornbeamweir::random_source random_;
    std::vector<std::vector<double>> seen_;
    std::vector<double> current_;
    std::vector<double> target_;
    std::size_t shifts_ = 0;
};

} // namespace bench::lock_step
