#include <hornbeamweir/expert_map/hold_coordinator.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

using std::chrono::milliseconds;

/// Copying a map takes about a second, and longer if a rank receives its
/// prepare order late.
constexpr duration prepare_timeout = milliseconds{6000};
/// A prepare order that a rank has accepted is repeated after this time.
constexpr duration prepare_repeat_interval = milliseconds{3000};
constexpr duration hold_timeout = milliseconds{1500};
constexpr duration arm_timeout = milliseconds{2000};
/// The pass to hold is this many passes ahead of the latest one, so that the
/// hold order arrives before it starts.
constexpr std::uint64_t hold_lead_steps = 2;
/// Orders of an earlier change that are in transit take effect within this
/// time, unless ranks execute them late.
constexpr duration settle_time = milliseconds{250};
/// Time in which ranks execute the orders of the phase clearing, and report it.
constexpr duration min_clearing_timeout = milliseconds{1500};
/// A held pass or an armed rank that belongs to no change is cleared after this
/// time.
constexpr duration unexpected_state_timeout = milliseconds{250};

} // namespace

// A delayed order of an earlier change can still hold a pass or arm a rank.
void hold_coordinator::run_idle(time_point now, orders& /*out*/)
{
    bool unexpected_state = !armed_ranks().empty();
    for (auto const& [rank, view] : views_)
        unexpected_state = unexpected_state || view.state.held_step.has_value();
    if (!unexpected_state)
    {
        unexpected_state_since_.reset();
        return;
    }
    if (!unexpected_state_since_)
        unexpected_state_since_ = now;
    if (now - *unexpected_state_since_ < unexpected_state_timeout)
        return;
    unexpected_state_since_.reset();
    enter(phase::clearing, "held pass or armed rank without a change", now);
}

// Repeated orders wait for those that have not been sent yet.
void hold_coordinator::order_prepare(
    std::vector<std::uint32_t> const& ranks, time_point now, orders& out)
{
    bool all_sent = true;
    for (std::uint32_t const rank : ranks)
    {
        if (sent_.contains(rank))
            continue;
        order_prepare(rank, now, out);
        all_sent = all_sent && sent_.contains(rank);
    }
    if (!all_sent)
        return;
    for (std::uint32_t const rank : ranks)
        order_prepare(rank, now, out);
}

// Prepare orders are as large as the map, and are therefore repeated at a
// longer interval to a rank that has accepted one.
void hold_coordinator::order_prepare(
    std::uint32_t rank, time_point now, orders& out)
{
    auto const last = sent_.find(rank);
    bool const copying = views_.at(rank).state.accepted_version == version_ &&
                         last != sent_.end() &&
                         now - last->second.sent_at < prepare_repeat_interval;
    if (!copying)
        order(rank, rank_operation::prepare, version_, 0, now, out);
}

void hold_coordinator::run_preparing(time_point now, orders& out)
{
    if (!all_ranks_usable(now))
    {
        enter(
            phase::idle,
            "a rank has no recent report or the group is not formed",
            now);
        return;
    }
    std::vector<std::uint32_t> unprepared;
    for (auto const& [rank, view] : views_)
    {
        if (view.state.prepared_version != version_)
            unprepared.push_back(rank);
    }
    order_prepare(unprepared, now, out);
    if (unprepared.empty())
    {
        step_ = latest_step() + hold_lead_steps;
        enter(phase::holding, "all ranks have prepared the map", now);
    }
    else if (now - phase_entered_ > prepare_timeout)
        enter(phase::idle, "timed out waiting for ranks to copy the map", now);
}

void hold_coordinator::run_holding(time_point now, orders& out)
{
    auto const holding_rank = views_.find(hold_rank());
    if (holding_rank == views_.end())
        return;
    if (holding_rank->second.state.held_step == step_)
    {
        enter(phase::arming, "the pass is held", now);
        run_arming(now, out);
        return;
    }
    if (now - phase_entered_ > hold_timeout)
    {
        enter(
            phase::clearing, "timed out waiting for the pass to be held", now);
        return;
    }
    // The pass started before the hold order arrived.
    if (latest_step() >= step_)
        step_ = latest_step() + hold_lead_steps;
    order(hold_rank(), rank_operation::hold, 0, step_, now, out);
}

void hold_coordinator::run_arming(time_point now, orders& out)
{
    bool all_armed = true;
    bool local_rank_armed = true;
    for (auto const& [rank, view] : views_)
    {
        bool const armed = view.state.map_version == version_ ||
                           (view.state.armed_version == version_ &&
                            view.state.armed_step == step_);
        if (rank == local_rank_)
            local_rank_armed = armed;
        else if (!armed)
        {
            all_armed = false;
            order(rank, rank_operation::arm, version_, step_, now, out);
        }
    }
    if (all_armed && !local_rank_armed)
    {
        all_armed = false;
        order(local_rank_, rank_operation::arm, version_, step_, now, out);
    }
    if (all_armed)
    {
        enter(phase::releasing, "all ranks are armed", now);
        run_releasing(now, out);
    }
    else if (now - phase_entered_ > arm_timeout)
        enter(phase::clearing, "timed out waiting for ranks to be armed", now);
}

void hold_coordinator::run_releasing(time_point now, orders& out)
{
    bool const held = release_held(std::nullopt, now, out);
    bool const switched = std::all_of(
        views_.begin(),
        views_.end(),
        [this](auto const& it)
        { return it.second.state.map_version == version_; });
    if (held || !switched)
        return;
    ++maps_switched_;
    enter(phase::idle, "all ranks have switched to the map", now);
}

// Ranks are armed only while a pass is held. If only some ranks are armed, they
// can therefore be disarmed before the pass starts. If all ranks are armed for
// the same map and pass, the change is completed instead.
void hold_coordinator::clear_armed(
    std::set<std::uint32_t> const& armed,
    bool all_armed,
    time_point now,
    orders& out)
{
    rank_view const& first = views_.at(*armed.begin());
    bool const same_target = std::all_of(
        armed.begin(),
        armed.end(),
        [&](std::uint32_t rank)
        {
            rank_state const& state = views_.at(rank).state;
            return state.armed_version == first.state.armed_version &&
                   state.armed_step == first.state.armed_step;
        });
    if (same_target && all_armed && !disarming_)
    {
        version_ = first.state.armed_version;
        step_ = first.state.armed_step;
        enter(phase::releasing, "all ranks were already armed", now);
        return;
    }
    bool const held = std::any_of(
        views_.begin(),
        views_.end(),
        [](auto const& view)
        { return view.second.state.held_step.has_value(); });
    if (!held)
    {
        order(
            hold_rank(),
            rank_operation::hold,
            0,
            first.state.armed_step,
            now,
            out);
        return;
    }
    disarming_ = true;
    for (std::uint32_t const rank : armed)
    {
        order(
            rank,
            rank_operation::disarm,
            views_.at(rank).state.armed_version,
            0,
            now,
            out);
    }
}

// Ranks are armed only while a pass is held. If none is, an arm order of an
// earlier change finds that its pass has begun, and the next change, which all
// ranks prepare with a higher fence, shuts out the other orders.
bool hold_coordinator::has_nothing_to_clear(time_point now) const
{
    // What a rank tells other VMs is some hundred milliseconds old.
    constexpr duration direct_report_lag = milliseconds{300};
    time_point const settled_at = phase_entered_ + settle_time;
    return cleared_.empty() && !disarming_ && all_ranks_usable(now) &&
           std::all_of(
               views_.begin(),
               views_.end(),
               [&](auto const& it)
               {
                   rank_view const& view = it.second;
                   duration const lag = view.state.read_directly
                                            ? direct_report_lag
                                            : duration{};
                   return view.reported_at >= settled_at + lag &&
                          !is_armed(view) && !view.state.held_step;
               });
}

duration hold_coordinator::clearing_timeout() const
{
    duration const transfer =
        mapping_ ? whole_map().transfer_time * static_cast<int>(views_.size())
                 : duration{};
    return std::max(min_clearing_timeout, 2 * transfer);
}

// Each rank is first ordered to prepare the map in force under a new version.
// Once it has, it rejects delayed duplicates of earlier orders. Only then is a
// held pass released.
void hold_coordinator::run_clearing(time_point now, orders& out)
{
    if (has_nothing_to_clear(now))
    {
        enter(phase::idle, "no rank is armed and no pass held", now);
        return;
    }
    // The previous coordinator armed its local rank last. While any other rank
    // is not armed, that rank is not armed either, and clearing can proceed
    // without its report. If all others are armed, it may be armed too, and
    // clearing waits for its report.
    std::optional<std::uint32_t> const missing = missing_previous_rank(now);
    if (!all_ranks_usable_except(missing, now))
        return;
    std::set<std::uint32_t> armed = armed_ranks();
    if (missing)
        armed.erase(*missing);
    std::size_t const ranks = views_.begin()->second.state.ranks;
    std::size_t const present = ranks - (missing ? 1 : 0);
    if (!armed.empty())
    {
        bool const all_armed = armed.size() == ranks;
        if (missing && armed.size() == present && !disarming_)
            return;
        clear_armed(armed, all_armed, now, out);
        return;
    }
    shared_experts const current = in_force();
    if (!current)
        return;
    mapping_ = current;
    std::vector<std::uint32_t> uncleared;
    for (auto const& [rank, view] : views_)
    {
        if (rank == missing)
            continue;
        if (view.state.prepared_version == version_)
            cleared_.insert(rank);
        else if (!cleared_.contains(rank))
            uncleared.push_back(rank);
    }
    order_prepare(uncleared, now, out);
    if (cleared_.size() < present)
    {
        if (now - phase_entered_ > clearing_timeout())
            enter(
                phase::clearing,
                "timed out clearing, retrying with a new version",
                now);
        return;
    }
    if (!release_held(missing, now, out))
        enter(phase::idle, "no rank is armed and no pass held", now);
}

bool hold_coordinator::release_held(
    std::optional<std::uint32_t> excluded, time_point now, orders& out)
{
    bool held = false;
    for (auto const& [rank, view] : views_)
    {
        if (!view.state.held_step || rank == excluded)
            continue;
        held = true;
        order(
            rank, rank_operation::release, 0, *view.state.held_step, now, out);
    }
    return held;
}

} // namespace hornbeamweir
