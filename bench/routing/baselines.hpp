#pragma once

#include "bench/routing/load_model.hpp"

namespace bench
{

/// \brief Base of policies that choose the candidate with the lowest cost.
/// \remarks Breaks ties uniformly at random.
class lowest_cost : public routing_policy
{
public:
    explicit lowest_cost(random_source random) noexcept
        : random_{random}
    {
    }

    [[nodiscard]] std::optional<hornbeamweir::routing_choice> choose(
        routing_query const& query,
        std::span<routing_candidate const> candidates,
        time_point) override
    {
        std::size_t best = 0;
        double lowest = 0;
        std::size_t ties = 0;
        for (std::size_t n = 0; n < candidates.size(); ++n)
        {
            double const cost = cost_of(query, candidates[n]);
            if (n > 0 && cost > lowest)
                continue;
            ties = n > 0 && cost == lowest ? ties + 1 : 1;
            if (random_.below(ties) == 0)
                best = n;
            lowest = cost;
        }
        return hornbeamweir::routing_choice{candidates[best].id, "", {}};
    }

protected:
    [[nodiscard]] virtual double
    cost_of(routing_query const& query, routing_candidate const& candidate) = 0;

private:
    random_source random_;
};

/// \brief Chooses a candidate uniformly at random.
class random_choice final : public lowest_cost
{
public:
    using lowest_cost::lowest_cost;

private:
    [[nodiscard]] double
    cost_of(routing_query const&, routing_candidate const&) override
    {
        return 0;
    }
};

/// \brief Chooses the candidate with the lowest reported load, and ignores what
/// this entry has sent since.
class least_reported final : public lowest_cost
{
public:
    using lowest_cost::lowest_cost;

private:
    [[nodiscard]] double
    cost_of(routing_query const&, routing_candidate const& candidate) override
    {
        return candidate.reported_in_flight + candidate.reported_queued;
    }
};

/// \brief Reference policy that sees the exact queues and prefix caches.
/// \remarks Chooses the least loaded rank that has the prefix cached and is not
/// full, or else the least loaded rank.
class prefix_oracle final : public lowest_cost
{
public:
    prefix_oracle(random_source random, load_model const& model) noexcept
        : lowest_cost{random}
        , model_{model}
    {
    }

private:
    [[nodiscard]] double cost_of(
        routing_query const& query, routing_candidate const& candidate) override
    {
        // The batch size of the ranks.
        constexpr std::size_t full = 16;
        constexpr double miss_cost = 1000;
        rank_state const& state = model_.rank(load_model::rank_of(candidate));
        bool const hit = state.holds(query.prefix) && state.load() < full;
        return static_cast<double>(state.load()) + (hit ? 0 : miss_cost);
    }

    load_model const& model_;
};

/// \brief Chooses the candidates in turn.
class round_robin final : public routing_policy
{
public:
    explicit round_robin(random_source random) noexcept
        : next_{random.next()}
    {
    }

    [[nodiscard]] std::optional<hornbeamweir::routing_choice> choose(
        routing_query const&,
        std::span<routing_candidate const> candidates,
        time_point) override
    {
        return hornbeamweir::routing_choice{
            candidates[next_++ % candidates.size()].id, "", {}};
    }

private:
    std::uint64_t next_;
};

} // namespace bench
