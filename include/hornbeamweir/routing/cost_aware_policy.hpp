#pragma once

#include <hornbeamweir/routing/failure_tracker.hpp>
#include <hornbeamweir/routing/load_estimator.hpp>
#include <hornbeamweir/routing/prefix_index.hpp>
#include <hornbeamweir/routing/routing_weights.hpp>

namespace hornbeamweir
{

/// \brief Chooses the candidate with the lowest expected cost.
/// \remarks Compares a random sample of the candidates and those that may have
/// the prompt's prefix cached. The cost of a candidate combines the expected
/// step time of the rank, once the request is added, with that of its group,
/// since the ranks of a group advance in lock-step.
class cost_aware_policy final : public routing_policy
{
public:
    explicit cost_aware_policy(
        random_source random, routing_weights const& weights = {});

    [[nodiscard]] std::optional<routing_choice> choose(
        routing_query const& query,
        std::span<routing_candidate const> candidates,
        time_point now) override;

    void on_started(backend_server_id const& id, time_point now) override;
    void on_ended(finished_attempt const& attempt, time_point now) override;
    void on_cache_event(cache_event const& event, time_point now) override;

private:
    struct rank_estimate
    {
        /// Number of requests at the rank.
        double load = 0;
        /// Time that one request adds to a step, in microseconds; 1 for all
        /// ranks if none has reported a step time.
        double time_per_request = 1;
    };

    /// Values for all candidates of one decision.
    struct candidate_estimates
    {
        /// In the order of the candidates.
        std::vector<rank_estimate> ranks;
        /// Step time of the slowest rank of each group.
        std::map<model_group_id, double> group_step_times;
    };

    [[nodiscard]] candidate_estimates estimate_ranks(
        std::span<routing_candidate const> candidates, time_point now) const;
    /// Returns the indexes of a random sample of the candidates.
    [[nodiscard]] std::vector<std::size_t> sample(
        routing_query const& query,
        std::span<routing_candidate const> candidates,
        time_point now);
    [[nodiscard]] double cost_of(
        routing_query const& query,
        routing_candidate const& candidate,
        rank_estimate const& rank,
        double group_step_time,
        time_point now) const;
    /// Returns the fraction of each candidate's cost that its prefix cache is
    /// expected to save.
    [[nodiscard]] std::vector<double> prefix_discounts(
        routing_query const& query,
        std::span<routing_candidate const> candidates) const;

    random_source random_;
    routing_weights weights_;
    load_estimator loads_;
    failure_tracker failures_;
    prefix_index prefixes_;
};

} // namespace hornbeamweir
