#include <hornbeamweir/placement/rank_balancer.hpp>

#include <algorithm>
#include <numeric>
#include <set>

namespace hornbeamweir
{

namespace
{

using rank_list = std::vector<std::uint32_t>;

/// A change of the placement: an expert is put on a rank, in place of another
/// one or into an empty slot, and may leave the rank that it comes from. What
/// was displaced is dropped if it has further ranks, or fills the gap.
struct move
{
    std::uint16_t expert = 0;
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    /// Expert that is displaced; none if there is an empty slot.
    std::optional<std::uint16_t> displaced;
    /// Whether the expert leaves its rank.
    bool leaves = false;
    /// Whether what was displaced goes to that rank.
    bool swaps = false;
};

class set_balancer
{
public:
    set_balancer(
        std::vector<std::vector<std::uint16_t>> const& current,
        std::span<double const> shares,
        std::span<double const> paces,
        balance_limits const& limits)
        : limits_{limits}
        , paces_(paces.begin(), paces.end())
        , shares_(shares.begin(), shares.end())
        , holders_(shares.size())
        , original_(current.size())
        , held_(current.size())
        , fresh_(current.size(), 0)
        , loads_(current.size(), 0)
    {
        for (std::uint32_t rank = 0; rank < current.size(); ++rank)
        {
            for (std::uint16_t const expert : current[rank])
            {
                original_[rank].insert(expert);
                held_[rank].push_back(expert);
                holders_.at(expert).push_back(rank);
            }
        }
        double const total =
            std::accumulate(shares_.begin(), shares_.end(), 0.0);
        double const scale =
            total > 0 ? static_cast<double>(current.size()) / total : 0;
        for (double& it : shares_)
            it *= scale;
        for (std::size_t n = 0; n < shares_.size(); ++n)
            add_load(static_cast<std::uint16_t>(n), 1, loads_);
    }

    [[nodiscard]] double greatest() const
    {
        return *std::max_element(loads_.begin(), loads_.end());
    }

    /// \returns Whether a move that is worth it was found and made.
    [[nodiscard]] bool improve()
    {
        std::uint32_t const hot = static_cast<std::uint32_t>(
            std::max_element(loads_.begin(), loads_.end()) - loads_.begin());
        best_.reset();
        // A move must be worth the copy of its expert.
        best_value_ = badness(loads_) * (1 - limits_.least_gain);
        for (std::uint16_t const expert : held_[hot])
        {
            for (std::uint32_t to = 0; to < held_.size(); ++to)
            {
                if (to != hot)
                    try_moves(expert, hot, to);
            }
        }
        try_replacing(hot);
        if (!best_)
            return false;
        make(*best_);
        return true;
    }

    [[nodiscard]] balanced_set result(double before) const
    {
        balanced_set out;
        out.before = before;
        out.after = greatest();
        for (std::uint32_t rank = 0; rank < held_.size(); ++rank)
        {
            std::vector<std::uint16_t> experts = held_[rank];
            std::sort(experts.begin(), experts.end());
            out.ranks.push_back(std::move(experts));
            out.moves += fresh_[rank];
            out.most_moves = std::max(out.most_moves, fresh_[rank]);
        }
        return out;
    }

private:
    // The greatest load counts most, the others decide between equals.
    [[nodiscard]] static double badness(std::vector<double> const& loads)
    {
        double out = 0;
        for (double const it : loads)
        {
            double const square = it * it;
            out += square * square * square * square;
        }
        return out;
    }

    void add_load(
        std::uint16_t expert, double sign, std::vector<double>& loads) const
    {
        rank_list const& ranks = holders_[expert];
        if (ranks.empty())
            return;
        double const part = shares_[expert] / static_cast<double>(ranks.size());
        for (std::uint32_t const rank : ranks)
            loads[rank] += sign * part * paces_[rank];
    }

    [[nodiscard]] bool holds(std::uint32_t rank, std::uint16_t expert) const
    {
        rank_list const& ranks = holders_[expert];
        return std::find(ranks.begin(), ranks.end(), rank) != ranks.end();
    }

    [[nodiscard]] bool may_take(std::uint32_t rank, std::uint16_t expert) const
    {
        return original_[rank].contains(expert) ||
               fresh_[rank] < limits_.new_per_rank;
    }

    void try_moves(std::uint16_t expert, std::uint32_t from, std::uint32_t to)
    {
        if (holds(to, expert) || !may_take(to, expert))
            return;
        if (held_[to].size() < limits_.slots_per_rank)
        {
            consider({expert, from, to, std::nullopt, false, false});
            consider({expert, from, to, std::nullopt, true, false});
        }
        for (std::uint16_t const displaced : held_[to])
        {
            if (holders_[displaced].size() > 1)
            {
                consider({expert, from, to, displaced, false, false});
                consider({expert, from, to, displaced, true, false});
            }
            if (!holds(from, displaced) && may_take(from, displaced))
                consider({expert, from, to, displaced, true, true});
        }
    }

    // A rank is also relieved by dropping an expert that others hold.
    void try_replacing(std::uint32_t hot)
    {
        for (std::uint16_t const expert : held_[hot])
        {
            if (holders_[expert].size() < 2)
                continue;
            move drop{expert, hot, hot, std::nullopt, true, false};
            consider(drop);
        }
    }

    void consider(move const& proposed)
    {
        std::vector<double> loads = loads_;
        add_load(proposed.expert, -1, loads);
        if (proposed.displaced)
            add_load(*proposed.displaced, -1, loads);
        change_holders(proposed);
        add_load(proposed.expert, 1, loads);
        if (proposed.displaced)
            add_load(*proposed.displaced, 1, loads);
        undo_holders(proposed);
        double const value = badness(loads);
        if (value < best_value_)
        {
            best_value_ = value;
            best_ = proposed;
        }
    }

    void change_holders(move const& it)
    {
        rank_list& ranks = holders_[it.expert];
        saved_expert_ = ranks;
        if (it.displaced)
            saved_displaced_ = holders_[*it.displaced];
        if (it.leaves)
            std::erase(ranks, it.from);
        if (it.to != it.from)
            ranks.push_back(it.to);
        if (!it.displaced)
            return;
        rank_list& displaced = holders_[*it.displaced];
        std::erase(displaced, it.to);
        if (it.swaps)
            displaced.push_back(it.from);
    }

    void undo_holders(move const& it)
    {
        holders_[it.expert] = saved_expert_;
        if (it.displaced)
            holders_[*it.displaced] = saved_displaced_;
    }

    void take(std::uint32_t rank, std::uint16_t expert)
    {
        held_[rank].push_back(expert);
        if (!original_[rank].contains(expert))
            ++fresh_[rank];
    }

    void drop(std::uint32_t rank, std::uint16_t expert)
    {
        std::erase(held_[rank], expert);
        if (!original_[rank].contains(expert))
            --fresh_[rank];
    }

    void make(move const& it)
    {
        add_load(it.expert, -1, loads_);
        if (it.displaced)
            add_load(*it.displaced, -1, loads_);
        change_holders(it);
        add_load(it.expert, 1, loads_);
        if (it.displaced)
            add_load(*it.displaced, 1, loads_);
        if (it.displaced)
            drop(it.to, *it.displaced);
        if (it.leaves)
            drop(it.from, it.expert);
        if (it.to != it.from)
            take(it.to, it.expert);
        if (it.swaps)
            take(it.from, *it.displaced);
    }

    balance_limits limits_;
    std::vector<double> paces_;
    std::vector<double> shares_;
    /// Ranks of each expert.
    std::vector<rank_list> holders_;
    std::vector<std::set<std::uint16_t>> original_;
    std::vector<std::vector<std::uint16_t>> held_;
    /// Experts of each rank that are new to it.
    std::vector<std::uint32_t> fresh_;
    std::vector<double> loads_;
    std::optional<move> best_;
    double best_value_ = 0;
    rank_list saved_expert_;
    rank_list saved_displaced_;
};

} // namespace

balanced_set balance_ranks(
    std::vector<std::vector<std::uint16_t>> const& current,
    std::span<double const> shares,
    std::span<double const> paces,
    balance_limits const& limits)
{
    // Each expert is moved a few times at most.
    std::size_t const most_steps = 2 * shares.size();
    set_balancer balancer{current, shares, paces, limits};
    double const before = balancer.greatest();
    for (std::size_t n = 0; n < most_steps; ++n)
    {
        if (!balancer.improve())
            break;
    }
    return balancer.result(before);
}

} // namespace hornbeamweir
