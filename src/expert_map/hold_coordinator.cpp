#include <hornbeamweir/expert_map/hold_coordinator.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

using std::chrono::milliseconds;

/// A report older than this says nothing of a rank.
constexpr duration report_validity = milliseconds{1200};
/// Time for orders of an earlier coordinator that are on their way.
constexpr duration settle_time = milliseconds{250};
/// Time without effect after which an order is repeated.
constexpr duration repeat_after = milliseconds{70};
/// Time between the orders of a map: it has some 6 KB for 63 ranks, which take
/// 6 ms on a link of 8 Mbit/s. Fewer ranks make smaller maps.
constexpr duration copy_order_time = milliseconds{6};
/// Orders of maps at once; more would fill the queue of a narrow link.
constexpr std::size_t most_copy_orders = 12;
/// Leaves room for the versions of one coordinator below the next one's.
constexpr std::uint64_t versions_per_fence = 1000;

} // namespace

void hold_coordinator::lead(
    std::uint64_t fence,
    std::uint32_t home,
    std::optional<std::uint32_t> previous,
    time_point now)
{
    previous_home_ = previous == home ? std::nullopt : previous;
    leading_ = true;
    fence_ = fence;
    change_ = 0;
    home_ = home;
    act_from_ = now + settle_time;
    sent_.clear();
    enter(phase::clearing, "coordination begins", now);
}

void hold_coordinator::step_down(time_point now)
{
    if (!leading_)
        return;
    leading_ = false;
    enter(phase::idle, "coordination ends", now);
}

void hold_coordinator::on_report(
    rank_state const& state,
    std::optional<rank_experts> experts,
    time_point now)
{
    view& it = views_[state.rank];
    // Reports of one rank may overtake each other.
    bool const same_epoch = state.epoch == it.state.epoch;
    bool const same_start = same_epoch && state.start == it.state.start;
    bool const older = state.epoch < it.state.epoch ||
                       (same_epoch && state.start < it.state.start) ||
                       (same_start && (state.orders < it.state.orders ||
                                       state.step < it.state.step));
    if (older)
        return;
    it.state = state;
    it.at = now;
    if (experts)
    {
        it.experts = std::move(*experts);
        it.experts_version = state.map_version;
        it.experts_epoch = state.epoch;
    }
}

void hold_coordinator::on_accepted(rank_order const& order)
{
    auto const it = views_.find(order.rank);
    if (it == views_.end() || it->second.state.epoch != order.epoch)
        return;
    rank_state& state = it->second.state;
    if (order.operation == rank_operation::hold)
        state.held_step = order.step;
    else if (
        order.operation == rank_operation::release &&
        state.held_step == order.step)
        state.held_step.reset();
}

bool hold_coordinator::complete(time_point now) const
{
    return complete_but_for(std::nullopt, now);
}

bool hold_coordinator::complete_but_for(
    std::optional<std::uint32_t> absent, time_point now) const
{
    if (views_.empty())
        return false;
    std::uint32_t const ranks = views_.begin()->second.state.ranks;
    std::uint64_t const epoch = newest_epoch();
    std::size_t usable = absent ? 1 : 0;
    for (auto const& [rank, it] : views_)
    {
        if (rank < ranks && rank != absent && it.state.open &&
            it.state.epoch == epoch && now - it.at <= report_validity)
            ++usable;
    }
    return ranks > 0 && usable == ranks;
}

// The rank beside the coordinator before fails with it.
std::optional<std::uint32_t> hold_coordinator::absent_rank(time_point now) const
{
    if (!previous_home_)
        return std::nullopt;
    auto const it = views_.find(*previous_home_);
    bool const heard =
        it != views_.end() && now - it->second.at <= report_validity;
    return heard ? std::nullopt : previous_home_;
}

std::uint32_t hold_coordinator::hold_rank() const
{
    std::uint32_t const ranks = views_.begin()->second.state.ranks;
    return ranks == 0 ? home_ : (home_ + 1) % ranks;
}

void hold_coordinator::on_map_ordered(
    std::uint64_t version, group_experts mapping)
{
    constexpr std::size_t most_maps = 8;
    ordered_maps_.insert_or_assign(version, std::move(mapping));
    // The map in force is often older than many that were given up.
    auto const oldest = std::find_if(
        ordered_maps_.begin(),
        ordered_maps_.end(),
        [this](auto const& it)
        {
            return std::none_of(
                views_.begin(),
                views_.end(),
                [&](auto const& of)
                { return of.second.state.map_version == it.first; });
        });
    if (ordered_maps_.size() > most_maps && oldest != ordered_maps_.end())
        ordered_maps_.erase(oldest);
}

std::uint64_t hold_coordinator::newest_epoch() const
{
    std::uint64_t out = 0;
    for (auto const& [rank, it] : views_)
        out = std::max(out, it.state.epoch);
    return out;
}

std::uint64_t hold_coordinator::latest_step() const
{
    std::uint64_t out = 0;
    for (auto const& [rank, it] : views_)
        out = std::max(out, it.state.step);
    return out;
}

std::uint64_t hold_coordinator::next_version()
{
    std::uint64_t newest = std::max(last_version_, fence_ * versions_per_fence);
    for (auto const& [rank, it] : views_)
    {
        newest = std::max(
            {newest,
             it.state.map_version,
             it.state.prepared_version,
             it.state.armed_version});
    }
    last_version_ = newest + 1;
    return last_version_;
}

bool hold_coordinator::is_armed(view const& of) const
{
    return of.state.armed_version != 0 &&
           of.state.armed_version != of.state.map_version;
}

std::set<std::uint32_t> hold_coordinator::armed_ranks() const
{
    std::set<std::uint32_t> out;
    for (auto const& [rank, it] : views_)
    {
        if (is_armed(it))
            out.insert(rank);
    }
    return out;
}

bool hold_coordinator::ready_for_map(time_point now) const
{
    return leading_ && phase_ == phase::idle && complete(now) && !held_since_ &&
           in_force().has_value();
}

std::optional<group_experts> hold_coordinator::in_force() const
{
    if (views_.empty())
        return std::nullopt;
    auto const ordered =
        ordered_maps_.find(views_.begin()->second.state.map_version);
    bool const same_map = std::all_of(
        views_.begin(),
        views_.end(),
        [&](auto const& it)
        {
            return it.second.state.map_version ==
                   views_.begin()->second.state.map_version;
        });
    if (same_map && ordered != ordered_maps_.end())
        return ordered->second;
    group_experts out;
    std::uint64_t const epoch = newest_epoch();
    for (auto const& [rank, it] : views_)
    {
        bool const same =
            it.experts_epoch == epoch && it.state.epoch == epoch &&
            it.experts_version == it.state.map_version &&
            it.state.map_version == views_.begin()->second.state.map_version;
        if (!same || rank >= it.state.ranks)
            return std::nullopt;
        out.resize(std::max(out.size(), it.experts.size()));
        for (std::size_t set = 0; set < it.experts.size(); ++set)
        {
            out[set].resize(it.state.ranks);
            out[set][rank] = it.experts[set];
        }
    }
    bool const whole = !views_.empty() &&
                       views_.size() == views_.begin()->second.state.ranks &&
                       !out.empty();
    return whole ? std::optional{std::move(out)} : std::nullopt;
}

// Fences of one coordinator rise with its changes, and lie below those of the
// next coordinator.
std::uint64_t hold_coordinator::order_fence() const noexcept
{
    return fence_ * versions_per_fence +
           std::min(change_, versions_per_fence - 1);
}

void hold_coordinator::enter(
    phase next, std::string_view reason, time_point now)
{
    event line{"map_change"};
    line.with("phase", name_of(next))
        .with("from", name_of(phase_))
        .with("after_ms", (now - entered_).count() / 1000)
        .with("reason", reason)
        .with("fence", fence_)
        .with("epoch", epoch_)
        .with("version", version_)
        .with("step", step_);
    log_.info(line);
    phase_ = next;
    entered_ = now;
    sent_.clear();
    cleared_.clear();
    disarming_ = false;
    if (next == phase::clearing || next == phase::preparing)
        ++change_;
    if (next == phase::clearing)
        version_ = next_version();
}

void hold_coordinator::order(
    std::uint32_t rank,
    rank_operation operation,
    std::uint64_t version,
    std::uint64_t step,
    time_point now,
    orders& out)
{
    view const& of = views_.at(rank);
    auto const last = sent_.find(rank);
    bool const repeated =
        last != sent_.end() && last->second.operation == operation &&
        last->second.version == version && last->second.step == step;
    bool const copies = operation == rank_operation::prepare;
    duration const patience =
        copies ? std::max(
                     repeat_after,
                     copy_order_time * static_cast<int>(of.state.ranks))
               : repeat_after;
    if (repeated && now - last->second.at < patience)
        return;
    if (copies && !may_order_copy(now))
        return;
    sent_[rank] = {operation, version, step, of.state.orders, now};
    rank_order it;
    it.rank = rank;
    it.operation = operation;
    it.version = version;
    it.step = step;
    it.epoch = of.state.epoch;
    it.fence = order_fence();
    it.expected_orders = of.state.orders;
    if (operation == rank_operation::prepare)
    {
        it.mapping = mapping_;
        on_map_ordered(version, mapping_);
    }
    out.push_back(std::move(it));
}

// Passes at most a few orders at once, and then as many as a link carries.
bool hold_coordinator::may_order_copy(time_point now)
{
    duration const burst = copy_order_time * static_cast<int>(most_copy_orders);
    copy_orders_until_ = std::max(copy_orders_until_, now - burst);
    if (copy_orders_until_ + copy_order_time > now)
        return false;
    copy_orders_until_ += copy_order_time;
    return true;
}

bool hold_coordinator::heard_all() const
{
    return !views_.empty() &&
           views_.size() == views_.begin()->second.state.ranks;
}

bool hold_coordinator::knows_experts(std::uint32_t rank) const
{
    auto const it = views_.find(rank);
    return it != views_.end() &&
           it->second.experts_epoch == it->second.state.epoch &&
           it->second.experts_version == it->second.state.map_version &&
           !it->second.experts.empty();
}

void hold_coordinator::start(group_experts mapping, time_point now)
{
    mapping_ = std::move(mapping);
    epoch_ = newest_epoch();
    version_ = next_version();
    step_ = 0;
    enter(phase::preparing, "a better map was found", now);
}

std::vector<rank_order> hold_coordinator::on_tick(time_point now)
{
    orders out;
    if (!leading_ || now < act_from_ || views_.empty())
        return out;
    std::uint64_t const epoch = newest_epoch();
    if (epoch != epoch_)
    {
        epoch_ = epoch;
        // A new epoch begins with the first map, and nothing armed or held.
        if (phase_ != phase::idle && phase_ != phase::clearing)
            enter(phase::clearing, "the group has formed anew", now);
    }
    using step_function = void (hold_coordinator::*)(time_point, orders&);
    static constexpr std::array<step_function, 6> steps{
        &hold_coordinator::run_idle,
        &hold_coordinator::run_preparing,
        &hold_coordinator::run_holding,
        &hold_coordinator::run_arming,
        &hold_coordinator::run_releasing,
        &hold_coordinator::run_clearing};
    (this->*steps[static_cast<std::size_t>(phase_)])(now, out);
    return out;
}

std::vector<std::uint32_t>
hold_coordinator::unheard(duration age, time_point now) const
{
    std::vector<std::uint32_t> out;
    bool const needed = leading_ && phase_ != phase::idle &&
                        phase_ != phase::preparing && now >= act_from_;
    if (!needed)
        return out;
    for (auto const& [rank, it] : views_)
    {
        if (now - it.at > age)
            out.push_back(rank);
    }
    return out;
}

} // namespace hornbeamweir
