#include <hornbeamweir/expert_map/demand_window.hpp>

#include <algorithm>
#include <cmath>
#include <numbers>
#include <numeric>

namespace hornbeamweir
{

namespace
{

using std::chrono::milliseconds;

/// Demand is summed over this time, or since it last changed.
constexpr duration window = milliseconds{1000};
/// A part of the ranks reports in each bin, as each reports every 100 ms.
constexpr duration bin_width = milliseconds{25};
/// Samples kept for a rank; more than a rank reports within the window.
constexpr std::size_t max_samples = 64;
/// Bins of earlier activations to which newer ones are compared: the reports of
/// all ranks.
constexpr std::size_t compared_bins = 4;
/// Minimum number of bins with activations since the last change of demand.
constexpr std::size_t min_bins = 2;
/// Difference of two distributions of activations, from 0 to 1, in addition to
/// that of noise, above which the demand counts as changed. A smaller change
/// raises the skew by less than a new map gains.
constexpr double min_demand_difference = 0.06;
/// Difference that counts as noise, relative to its mean. Sums over many
/// experts vary little.
constexpr double noise_margin = 1.2;

void add(std::vector<double> const& from, std::vector<double>& to)
{
    for (std::size_t n = 0; n < to.size(); ++n)
        to[n] += from[n];
}

double sum(std::vector<double> const& of)
{
    return std::accumulate(of.begin(), of.end(), 0.0);
}

/// Total variation distance of two distributions, from 0 to 1, and its expected
/// value if both are independent samples of the same distribution.
struct distance
{
    double value = 0;
    double expected = 0;
};

/// \returns Zeros if one of the distributions is empty.
distance
distance_of(std::vector<double> const& lhs, std::vector<double> const& rhs)
{
    double const left = sum(lhs);
    double const right = sum(rhs);
    if (left <= 0 || right <= 0)
        return {};
    distance out;
    double roots = 0;
    for (std::size_t n = 0; n < lhs.size(); ++n)
    {
        out.value += std::abs(lhs[n] / left - rhs[n] / right);
        roots += std::sqrt((lhs[n] + rhs[n]) / (left + right));
    }
    out.value /= 2;
    // The mean of the absolute value of a normal variable.
    out.expected = roots / 2 * std::sqrt(1 / left + 1 / right) *
                   std::sqrt(2 / std::numbers::pi);
    return out;
}

} // namespace

void demand_window::on_counts(
    std::uint32_t rank, activation_counts const& counts, time_point now)
{
    rank_samples& history = ranks_[rank];
    if (history.epoch != counts.epoch ||
        history.incarnation != counts.incarnation)
        history = {counts.epoch, counts.incarnation, {}};
    history.samples.push_back({now, counts.counts});
    if (history.samples.size() > max_samples)
        history.samples.pop_front();
    while (history.samples.size() > 2 &&
           now - history.samples[1].counted_at >= window)
        history.samples.pop_front();
}

// Sums the activations of all ranks into bins of bin_width that end at now; the
// newest bin is first. Bins without activations are left out.
demand_window::activation_bins
demand_window::binned(std::size_t size, time_point now) const
{
    activation_bins bins(static_cast<std::size_t>(window / bin_width));
    for (auto const& [rank, history] : ranks_)
    {
        for (std::size_t k = 1; k < history.samples.size(); ++k)
        {
            sample const& last = history.samples[k];
            sample const& first = history.samples[k - 1];
            std::size_t const bin =
                static_cast<std::size_t>((now - last.counted_at) / bin_width);
            if (bin >= bins.size() || last.counts.size() != size ||
                first.counts.size() != size)
                continue;
            bins[bin].resize(size, 0.0);
            for (std::size_t n = 0; n < size; ++n)
            {
                if (last.counts[n] > first.counts[n])
                {
                    bins[bin][n] +=
                        static_cast<double>(last.counts[n] - first.counts[n]);
                }
            }
        }
    }
    std::erase_if(
        bins, [](std::vector<double> const& it) { return sum(it) <= 0; });
    return bins;
}

bool demand_window::differ(
    std::vector<double> const& recent, std::vector<double> const& earlier) const
{
    distance const it = distance_of(recent, earlier);
    return it.value >
           min_demand_difference + noise_margin * noise_ratio_ * it.expected;
}

// Sums up bins from the newest to the oldest, and stops where the next ones
// differ from that sum.
expert_demand demand_window::recent(std::size_t size, time_point now) const
{
    activation_bins const bins = binned(size, now);
    expert_demand out;
    out.activations.assign(size, 0.0);
    std::size_t used = 0;
    while (used < bins.size())
    {
        add(bins[used], out.activations);
        ++used;
        // Later, a bin more hardly matters, and each comparison takes time.
        bool const is_compared =
            used >= min_bins && used < bins.size() &&
            (used <= 2 * compared_bins || used % compared_bins == 0);
        if (!is_compared)
            continue;
        std::size_t const end = std::min(used + compared_bins, bins.size());
        std::vector<double> earlier(size, 0.0);
        for (std::size_t n = used; n < end; ++n)
            add(bins[n], earlier);
        if (!differ(out.activations, earlier))
            continue;
        out.activations_before = std::move(earlier);
        break;
    }
    out.settled = used >= min_bins;
    out.age = bin_width * static_cast<duration::rep>(used);
    return out;
}

void demand_window::learn_noise(std::size_t size, time_point now)
{
    constexpr double weight = 0.1;
    // Activations of a longer time would hide the noise of a short one.
    activation_bins const bins = binned(size, now);
    if (bins.size() < min_bins + compared_bins)
        return;
    std::vector<double> recent(size, 0.0);
    std::vector<double> earlier(size, 0.0);
    for (std::size_t n = 0; n < min_bins + compared_bins; ++n)
        add(bins[n], n < min_bins ? recent : earlier);
    distance const it = distance_of(recent, earlier);
    if (it.expected > 0)
        noise_ratio_ += weight * (it.value / it.expected - noise_ratio_);
}

} // namespace hornbeamweir
