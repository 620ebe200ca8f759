#include <hornbeamweir/routing/cost_aware_policy.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

constexpr std::size_t max_prefixes = 16384;
constexpr std::size_t max_draws_per_sampled_candidate = 4;

bool contains(std::vector<std::size_t> const& chosen, std::size_t n)
{
    return std::find(chosen.begin(), chosen.end(), n) != chosen.end();
}

} // namespace

cost_aware_policy::cost_aware_policy(
    random_source random, routing_weights const& weights)
    : random_{random}
    , weights_{weights}
    , loads_{weights.sample_age, weights.report_weight}
    , prefixes_{max_prefixes}
{
}

void cost_aware_policy::on_started(backend_server_id const& id, time_point now)
{
    loads_.on_started(id, now);
}

void cost_aware_policy::on_ended(
    finished_attempt const& attempt, time_point now)
{
    loads_.on_ended(attempt, now);
    if (attempt.outcome == attempt_outcome::failed)
        failures_.on_failed(attempt.server, now);
    if (attempt.outcome != attempt_outcome::succeeded)
        return;
    failures_.on_succeeded(attempt.server, now);
    prefixes_.on_served(attempt.prefix, attempt.server);
}

void cost_aware_policy::on_cache_event(cache_event const& event, time_point)
{
    prefixes_.on_event(event);
}

// A rank that has not reported a step time is assumed to be average.
cost_aware_policy::candidate_estimates cost_aware_policy::estimate_ranks(
    std::span<routing_candidate const> candidates, time_point now) const
{
    candidate_estimates out;
    std::vector<double> const loads = loads_.loads_of(candidates, now);
    double total = 0;
    std::size_t reported = 0;
    for (std::size_t n = 0; n < candidates.size(); ++n)
    {
        routing_candidate const& candidate = candidates[n];
        rank_estimate rank{loads[n], 0};
        if (candidate.reported_step_time.count() > 0)
        {
            rank.time_per_request =
                static_cast<double>(candidate.reported_step_time.count()) /
                (weights_.fixed_load + candidate.reported_in_flight);
            total += rank.time_per_request;
            ++reported;
        }
        out.ranks.push_back(rank);
    }
    double const average =
        reported == 0 ? 1 : total / static_cast<double>(reported);
    for (std::size_t n = 0; n < candidates.size(); ++n)
    {
        rank_estimate& rank = out.ranks[n];
        if (rank.time_per_request <= 0)
            rank.time_per_request = average;
        // A server without a group waits for no other ranks.
        if (candidates[n].group.empty())
            continue;
        double& group_step_time = out.group_step_times[candidates[n].group];
        group_step_time = std::max(
            group_step_time,
            rank.time_per_request * (weights_.fixed_load + rank.load));
    }
    return out;
}

// A server with recent failures enters the sample with a probability that rises
// as its failure score decays, so that the entries don't all send requests
// to it again at the same time. If all draws are rejected, the sample is one
// random candidate.
std::vector<std::size_t> cost_aware_policy::sample(
    routing_query const& query,
    std::span<routing_candidate const> candidates,
    time_point now)
{
    std::size_t const sample_size = std::min(
        candidates.size(),
        query.priority == 0 ? weights_.urgent_sample_size
                            : weights_.sample_size);
    std::vector<std::size_t> chosen;
    for (std::size_t draws = sample_size * max_draws_per_sampled_candidate;
         draws > 0 && chosen.size() < sample_size;
         --draws)
    {
        std::size_t const n = random_.below(candidates.size());
        double const probability =
            failures_.sampling_probability(candidates[n].id, now);
        if (!contains(chosen, n) && random_.unit() < probability)
            chosen.push_back(n);
    }
    if (chosen.empty())
        chosen.push_back(random_.below(candidates.size()));
    return chosen;
}

std::vector<double> cost_aware_policy::prefix_discounts(
    routing_query const& query,
    std::span<routing_candidate const> candidates) const
{
    std::vector<double> out(candidates.size(), 0);
    if (query.prefix == 0)
        return out;
    out[preferred_candidate(query.prefix, candidates)] =
        weights_.preferred_discount;
    for (backend_server_id const& id : prefixes_.holders(query.prefix))
    {
        for (std::size_t n = 0; n < candidates.size(); ++n)
        {
            if (candidates[n].id == id)
                out[n] = weights_.cached_discount;
        }
    }
    return out;
}

double cost_aware_policy::cost_of(
    routing_query const& query,
    routing_candidate const& candidate,
    rank_estimate const& rank,
    double group_step_time,
    time_point now) const
{
    double const rank_step_time =
        rank.time_per_request * (weights_.fixed_load + rank.load + 1);
    double const step_time = std::max(group_step_time, rank_step_time);
    double cost = weights_.rank_time_weight * rank_step_time +
                  (1 - weights_.rank_time_weight) * step_time;
    if (candidate.data_centre != query.data_centre)
        cost *= 1 + weights_.remote_penalty;
    return cost * (1 + weights_.failure_penalty *
                           failures_.score_of(candidate.id, now));
}

std::optional<routing_choice> cost_aware_policy::choose(
    routing_query const& query,
    std::span<routing_candidate const> candidates,
    time_point now)
{
    if (candidates.empty())
        return std::nullopt;
    candidate_estimates const estimates = estimate_ranks(candidates, now);
    std::vector<double> const discounts = prefix_discounts(query, candidates);
    std::vector<std::size_t> compared = sample(query, candidates, now);
    for (std::size_t n = 0; n < candidates.size(); ++n)
    {
        if (discounts[n] > 0 && !contains(compared, n))
            compared.push_back(n);
    }
    routing_choice choice;
    double lowest = 0;
    for (std::size_t n : compared)
    {
        routing_candidate const& candidate = candidates[n];
        auto const it = estimates.group_step_times.find(candidate.group);
        double const group_step_time =
            it == estimates.group_step_times.end() ? 0 : it->second;
        double const cost =
            cost_of(
                query, candidate, estimates.ranks[n], group_step_time, now) *
            (1 - discounts[n]);
        choice.scores.push_back({candidate.id, cost});
        if (!choice.chosen.empty() && cost >= lowest)
            continue;
        lowest = cost;
        choice.chosen = candidate.id;
        choice.reason = discounts[n] > 0 ? "prefix" : "cost";
    }
    return choice;
}

} // namespace hornbeamweir
