#pragma once

#include <hornbeamweir/placement/rank_balancer.hpp>

#include "placement_move.hpp"

#include <algorithm>
#include <numeric>

namespace hornbeamweir
{

/// \brief Greedy local search for the placement of one set of experts.
class placement_search
{
public:
    /// \param copies Number of new experts of each rank, over all sets.
    placement_search(
        std::vector<std::vector<std::uint16_t>> const& current,
        std::span<double const> shares,
        std::span<double const> slowdowns,
        balance_limits const& limits,
        std::vector<std::uint32_t>& copies)
        : limits_{limits}
        , copies_{copies}
        , slowdowns_(slowdowns.begin(), slowdowns.end())
        , shares_(shares.begin(), shares.end())
        , ranks_by_expert_(shares.size())
        , held_(current.size() * shares.size(), 0)
        , experts_by_rank_(current.size())
        , new_experts_(current.size(), 0)
        , times_(current.size(), 0)
    {
        for (std::uint32_t rank = 0; rank < current.size(); ++rank)
        {
            for (std::uint16_t const expert : current[rank])
            {
                held_[index(rank, expert)] = 1;
                experts_by_rank_[rank].push_back(expert);
                ranks_by_expert_.at(expert).push_back(rank);
            }
        }
        double const total =
            std::accumulate(shares_.begin(), shares_.end(), 0.0);
        double const scale =
            total > 0 ? static_cast<double>(current.size()) / total : 0;
        for (double& it : shares_)
            it *= scale;
        for (std::size_t n = 0; n < shares_.size(); ++n)
            add_time(static_cast<std::uint16_t>(n), 1, times_);
        original_ = held_;
    }

    [[nodiscard]] double slowest_time() const
    {
        return *std::max_element(times_.begin(), times_.end());
    }

    /// \brief Finds the best move of an expert of the slowest rank.
    /// \returns The reduction of the skew per copied expert; 0 if no move has
    /// the minimum gain.
    [[nodiscard]] double find();

    /// \brief Whether the move that was found is still within the limits, as
    /// other sets may have used up a rank's copies since.
    [[nodiscard]] bool is_possible() const
    {
        return can_accept(best_->to, best_->expert) &&
               (!best_->swaps || can_accept(best_->from, *best_->displaced));
    }

    /// \brief Applies the move that was found.
    void apply_found() { apply(*best_); }

    [[nodiscard]] balanced_placement result(double skew_before) const;

private:
    using rank_list = std::vector<std::uint32_t>;

    struct time_change
    {
        std::uint32_t rank = 0;
        double delta = 0;
    };

    // The eighth power lets the longest time dominate; the other times break
    // ties.
    [[nodiscard]] static double eighth_power(double time) noexcept
    {
        double const square = time * time;
        double const fourth_power = square * square;
        return fourth_power * fourth_power;
    }

    void select_targets(std::uint32_t slowest);

    void add_time(
        std::uint16_t expert, double sign, std::vector<double>& times) const
    {
        rank_list const& ranks = ranks_by_expert_[expert];
        if (ranks.empty())
            return;
        double const part = shares_[expert] / static_cast<double>(ranks.size());
        for (std::uint32_t const rank : ranks)
            times[rank] += sign * part * slowdowns_[rank];
    }

    [[nodiscard]] std::size_t
    index(std::uint32_t rank, std::uint16_t expert) const
    {
        return rank * shares_.size() + expert;
    }

    [[nodiscard]] bool holds(std::uint32_t rank, std::uint16_t expert) const
    {
        return held_[index(rank, expert)] != 0;
    }

    // A move without a copy still takes a step of the search.
    [[nodiscard]] double weight_of(placement_move const& it) const
    {
        return 1 + copies_of(it);
    }

    [[nodiscard]] double copies_of(placement_move const& it) const;

    [[nodiscard]] bool
    can_accept(std::uint32_t rank, std::uint16_t expert) const
    {
        return original_[index(rank, expert)] != 0 ||
               (new_experts_[rank] < limits_.max_new_per_rank &&
                copies_[rank] < limits_.max_copies_per_rank);
    }

    void try_moves(std::uint16_t expert, std::uint32_t from, std::uint32_t to);

    // The time of a rank also falls if an expert with other ranks is removed.
    void try_dropping(std::uint32_t slowest)
    {
        for (std::uint16_t const expert : experts_by_rank_[slowest])
        {
            if (ranks_by_expert_[expert].size() < 2)
                continue;
            placement_move removal{
                expert, slowest, slowest, std::nullopt, true, false};
            consider(removal);
        }
    }

    [[nodiscard]] bool may_gain(placement_move const& it) const;

    void consider(placement_move const& proposed);

    void change_expert(placement_move const& it);

    void change_displaced(placement_move const& it);

    void change_time(std::uint32_t rank, double relative_time)
    {
        double const delta = relative_time * slowdowns_[rank];
        for (time_change& it : changes_)
        {
            if (it.rank == rank)
            {
                it.delta += delta;
                return;
            }
        }
        changes_.push_back({rank, delta});
    }

    void update_ranks(placement_move const& it);

    void add_expert(std::uint32_t rank, std::uint16_t expert)
    {
        experts_by_rank_[rank].push_back(expert);
        held_[index(rank, expert)] = 1;
        if (original_[index(rank, expert)] != 0)
            return;
        ++new_experts_[rank];
        ++copies_[rank];
    }

    void remove_expert(std::uint32_t rank, std::uint16_t expert)
    {
        std::erase(experts_by_rank_[rank], expert);
        held_[index(rank, expert)] = 0;
        if (original_[index(rank, expert)] != 0)
            return;
        --new_experts_[rank];
        --copies_[rank];
    }

    void apply(placement_move const& it);

    /// Weight of a move without copies, as a part of one with a copy.
    static constexpr double free_move = 0.01;

    balance_limits limits_;
    /// Number of new experts of each rank, over all sets.
    std::vector<std::uint32_t>& copies_;
    std::vector<double> slowdowns_;
    std::vector<double> shares_;
    std::vector<rank_list> ranks_by_expert_;
    /// Whether a rank holds an expert now, and held it at the start.
    std::vector<std::uint8_t> held_;
    std::vector<std::uint8_t> original_;
    std::vector<std::vector<std::uint16_t>> experts_by_rank_;
    /// Number of experts of each rank that it did not hold at the start.
    std::vector<std::uint32_t> new_experts_;
    std::vector<double> times_;
    /// Eighth powers of the times.
    std::vector<double> powers_;
    std::optional<placement_move> best_;
    double best_imbalance_ = 0;
    double max_imbalance_ = 0;
    /// Reduction by the best move so far, relative to its weight.
    double best_gain_ = 0;
    double imbalance_ = 0;
    std::vector<time_change> changes_;
    /// Ranks to which experts are moved, the least loaded first.
    rank_list targets_;
};

} // namespace hornbeamweir
