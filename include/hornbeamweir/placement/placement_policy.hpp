#pragma once

#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/expert_map/expert_map.hpp>

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace hornbeamweir
{

/// \brief Sampled token counts of experts since the last report, and the speed
/// of each rank.
struct popularity_report
{
    /// Counts by layer and expert, in this order of significance.
    std::vector<double> tokens;
    /// Relative speed of each rank; 1 is nominal, 0.7 is 30 % slower.
    std::vector<double> rank_speed;
};

/// \brief A new map, with its cost and expected benefit.
struct placement_decision
{
    expert_map map;
    std::size_t moves = 0;
    /// Expected step skew (time of the slowest rank over the mean) before and
    /// after, as a mean over layers.
    double skew_before = 1;
    double skew_after = 1;
    /// Text for the log: profile and number of changed layers.
    std::string summary;
};

/// \brief Decides when and how experts are moved between ranks.
/// \remarks The counts that it receives are sampled and delayed; the true load
/// is not known.
class placement_policy
{
public:
    placement_policy() = default;
    placement_policy(placement_policy const&) = delete;
    placement_policy& operator=(placement_policy const&) = delete;
    virtual ~placement_policy() = default;

    /// \brief Processes a report and decides whether to change the map.
    /// \param current The map in effect.
    /// \param report Invalid counts or speeds in it are ignored.
    /// \returns std::nullopt if the map should stay as it is, for example
    /// because no change is worth its cost, or the last evaluation was too
    /// recent.
    [[nodiscard]] virtual std::optional<placement_decision> decide(
        expert_map const& current,
        popularity_report const& report,
        time_point now) = 0;
};

} // namespace hornbeamweir
