#pragma once

#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/expert_map/rank_codec.hpp>

#include <deque>
#include <map>
#include <optional>

namespace hornbeamweir
{

/// \brief Demand for experts since it last changed.
struct expert_demand
{
    /// Activations by expert set, then by expert.
    std::vector<double> activations;
    /// Demand before the last change; empty if none was seen in the window.
    std::vector<double> activations_before;
    /// Whether the activations cover enough time since the last change of
    /// demand to plan with.
    bool settled = false;
    /// Time since the last change; at most the window.
    duration age{};
};

/// \brief Recent activations of experts by all ranks.
/// \remarks Sans-I/O. Earlier counts of a rank are discarded when its epoch or
/// incarnation changes, since the rank then counts from 0 again.
class demand_window
{
public:
    /// \brief Adds the cumulative counts of a rank.
    void on_counts(
        std::uint32_t rank, activation_counts const& counts, time_point now);

    /// \brief Sums up the activations since the last change of demand.
    /// \param size Number of experts of all sets.
    [[nodiscard]] expert_demand recent(std::size_t size, time_point now) const;

    /// \brief Learns by how much the activations of short times differ while
    /// the demand does not change.
    void learn_noise(std::size_t size, time_point now);

private:
    struct sample
    {
        time_point counted_at{};
        std::vector<std::uint64_t> counts;
    };

    struct rank_samples
    {
        std::uint64_t epoch = 0;
        std::uint64_t incarnation = 0;
        std::deque<sample> samples;
    };

    using activation_bins = std::vector<std::vector<double>>;

    [[nodiscard]] activation_bins
    binned(std::size_t size, time_point now) const;
    [[nodiscard]] bool differ(
        std::vector<double> const& recent,
        std::vector<double> const& earlier) const;

    std::map<std::uint32_t, rank_samples> ranks_;
    /// Difference of two distributions of the same demand, relative to that of
    /// independent activations. Those of one prompt resemble each other.
    double noise_ratio_ = 2;
};

} // namespace hornbeamweir
