#pragma once

#include <hornbeamweir/placement/placement_policy.hpp>

#include <algorithm>
#include <numeric>
#include <vector>

/// \file
/// \brief Placement strategies with which the policies are compared.

namespace placement_bench
{

using hornbeamweir::expert_map;
using hornbeamweir::expert_map_shape;
using hornbeamweir::popularity_report;

/// \brief Packs one layer from scratch: replicates the experts with the highest
/// load per replica, then places the replicas in longest-processing-time-first
/// (LPT) order.
class lpt_layer_packing
{
public:
    lpt_layer_packing(
        expert_map_shape const& shape,
        std::vector<double> loads,
        std::vector<double> const& speeds)
        : shape_{shape}
        , loads_{std::move(loads)}
        , speeds_{speeds}
        , replicas_(shape.experts, 1)
        , times_(shape.ranks, 0.0)
        , experts_by_rank_(shape.ranks)
    {
    }

    [[nodiscard]] std::vector<std::vector<std::uint16_t>> run()
    {
        std::size_t const total =
            static_cast<std::size_t>(shape_.ranks) * shape_.slots_per_rank;
        for (std::size_t n = shape_.experts; n < total; ++n)
            ++replicas_[most_loaded()];
        for (std::uint16_t const expert : by_load())
            place(expert);
        return experts_by_rank_;
    }

private:
    [[nodiscard]] double load_per_replica(std::size_t expert) const
    {
        return loads_[expert] / static_cast<double>(replicas_[expert]);
    }

    [[nodiscard]] std::size_t most_loaded() const
    {
        std::size_t best = 0;
        for (std::size_t n = 1; n < loads_.size(); ++n)
        {
            if (load_per_replica(n) > load_per_replica(best) &&
                replicas_[n] < shape_.ranks)
                best = n;
        }
        return best;
    }

    [[nodiscard]] std::vector<std::uint16_t> by_load() const
    {
        std::vector<std::uint16_t> order;
        for (std::size_t n = 0; n < loads_.size(); ++n)
            order.insert(
                order.end(), replicas_[n], static_cast<std::uint16_t>(n));
        std::stable_sort(
            order.begin(),
            order.end(),
            [this](std::uint16_t a, std::uint16_t b)
            { return load_per_replica(a) > load_per_replica(b); });
        return order;
    }

    // First tries the ranks without a replica of the expert, then any rank.
    void place(std::uint16_t expert)
    {
        std::size_t best = shape_.ranks;
        double best_time = 0;
        for (int round = 0; round < 2 && best == shape_.ranks; ++round)
        {
            for (std::size_t rank = 0; rank < shape_.ranks; ++rank)
            {
                std::vector<std::uint16_t> const& held = experts_by_rank_[rank];
                bool const already_held =
                    std::find(held.begin(), held.end(), expert) != held.end();
                if (held.size() >= shape_.slots_per_rank ||
                    (already_held && round == 0))
                    continue;
                double const time =
                    times_[rank] + load_per_replica(expert) / speeds_[rank];
                if (best == shape_.ranks || time < best_time)
                {
                    best = rank;
                    best_time = time;
                }
            }
        }
        experts_by_rank_[best].push_back(expert);
        times_[best] = best_time;
    }

    expert_map_shape shape_;
    std::vector<double> loads_;
    std::vector<double> speeds_;
    std::vector<std::size_t> replicas_;
    std::vector<double> times_;
    std::vector<std::vector<std::uint16_t>> experts_by_rank_;
};

/// \brief Greedily reassigns the rows of a new layout between ranks of similar
/// speed, so that few slots change.
/// \param rows Experts of the new layout by rank.
/// \returns The rows in the order of their new ranks.
inline std::vector<std::vector<std::uint16_t>> match_ranks(
    expert_map const& from,
    std::uint32_t layer,
    std::vector<std::vector<std::uint16_t>> const& rows,
    std::vector<double> const& speeds)
{
    struct pair
    {
        std::size_t match_score;
        std::uint32_t rank;
        std::uint32_t row;
    };
    std::vector<pair> pairs;
    for (std::uint32_t rank = 0; rank < from.shape.ranks; ++rank)
    {
        for (std::uint32_t row = 0; row < from.shape.ranks; ++row)
        {
            bool const similar_speed =
                std::abs(speeds[rank] - speeds[row]) < 0.1;
            std::size_t match_score = similar_speed ? 1 : 0;
            for (std::uint32_t slot = 0; slot < from.shape.slots_per_rank;
                 ++slot)
            {
                std::uint16_t const held = from.at(layer, rank, slot);
                match_score +=
                    similar_speed
                        ? static_cast<std::size_t>(std::count(
                              rows[row].begin(), rows[row].end(), held))
                        : 0;
            }
            pairs.push_back({match_score, rank, row});
        }
    }
    std::stable_sort(
        pairs.begin(),
        pairs.end(),
        [](pair const& a, pair const& b)
        { return a.match_score > b.match_score; });
    std::vector<std::vector<std::uint16_t>> matched(rows.size());
    std::vector<bool> used(rows.size(), false);
    for (pair const& next : pairs)
    {
        if (used[next.row] || !matched[next.rank].empty())
            continue;
        used[next.row] = true;
        matched[next.rank] = rows[next.row];
    }
    return matched;
}

/// \brief Builds a new map from the latest report alone.
/// \param matched Whether rows are reassigned to ranks to reduce moves.
inline expert_map
repack(expert_map const& from, popularity_report const& report, bool matched)
{
    expert_map to = from;
    for (std::uint32_t layer = 0; layer < from.shape.layers; ++layer)
    {
        auto const first =
            report.tokens.begin() +
            static_cast<std::ptrdiff_t>(layer) * from.shape.experts;
        lpt_layer_packing packing{
            from.shape,
            std::vector<double>(first, first + from.shape.experts),
            report.rank_speed};
        std::vector<std::vector<std::uint16_t>> rows = packing.run();
        if (matched)
            rows = match_ranks(from, layer, rows, report.rank_speed);
        for (std::uint32_t rank = 0; rank < from.shape.ranks; ++rank)
        {
            auto const target =
                to.slots.begin() +
                static_cast<std::ptrdiff_t>(to.index(layer, rank, 0));
            std::copy(rows[rank].begin(), rows[rank].end(), target);
        }
    }
    ++to.version;
    return to;
}

} // namespace placement_bench
