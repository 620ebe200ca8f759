#include <hornbeamweir/expert_map/hold_coordinator.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

using std::chrono::milliseconds;

/// A previous coordinator's rank without a report of this age is missing.
constexpr duration report_validity = milliseconds{1200};
/// Time for reading the previous coordinator's rank from its engine, before it
/// counts as missing.
constexpr duration previous_read_timeout = milliseconds{250};
/// Interval at which that rank is read until its state is known.
constexpr duration previous_read_interval = milliseconds{150};
/// Orders of an earlier change that are in transit take effect within this
/// time, unless ranks execute them late.
constexpr duration settle_time = milliseconds{250};
/// What a rank tells other VMs is some hundred milliseconds old.
constexpr duration direct_report_lag = milliseconds{300};
/// Time within which reports show that nothing is held or armed, so that no
/// rank needs an order.
constexpr duration quiet_time = milliseconds{700};
/// Time in which ranks execute the orders of the phase clearing, and report it.
constexpr duration min_clearing_timeout = milliseconds{1500};
/// A coordinator chooses a pass that is at most this many ahead of the latest
/// one.
constexpr std::uint64_t max_lead_steps = 3;

} // namespace

// A VM that fails takes down both the coordinator and its local rank. A
// coordinator that was replaced early may still have begun a change, for which
// the record names another rank than the one that it arms last.
std::optional<std::uint32_t>
hold_coordinator::missing_previous_rank(time_point now) const
{
    if (replaced_early_ || !previous_local_rank_ ||
        now - phase_entered_ < previous_read_timeout)
        return std::nullopt;
    auto const it = views_.find(*previous_local_rank_);
    bool const reported =
        it != views_.end() && now - it->second.reported_at <= report_validity;
    return reported ? std::nullopt : previous_local_rank_;
}

bool hold_coordinator::previous_rank_needed(time_point now) const
{
    if (!previous_local_rank_ || phase_ != phase::clearing)
        return false;
    auto const it = views_.find(*previous_local_rank_);
    return it == views_.end() ||
           now - it->second.reported_at > previous_read_interval;
}

void hold_coordinator::note_step(std::uint64_t step) noexcept
{
    last_ordered_step_ = std::max(last_ordered_step_, step);
}

void hold_coordinator::note_reported_steps() noexcept
{
    for (auto const& [rank, view] : views_)
    {
        if (view.state.epoch != epoch_)
            continue;
        note_step(view.state.held_step.value_or(0));
        if (is_armed(view))
            note_step(view.state.armed_step);
    }
}

// Ranks are armed only while a pass is held, and a held pass is released only
// if all ranks are armed or none can be any more. If no pass is held, an arm
// order in transit therefore changes nothing.
bool hold_coordinator::has_nothing_to_clear(time_point now) const
{
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

// Arming a rank twice for the same map and pass changes nothing, so this can be
// done while orders of the earlier coordinator are in transit. If the prepared
// map has the contents of the one in force, a coordinator was clearing and may
// have ordered to release the pass.
std::optional<hold_coordinator::change_target>
hold_coordinator::find_resumable() const
{
    change_target out;
    for (auto const& [rank, view] : views_)
    {
        rank_state const& state = view.state;
        std::uint64_t const version =
            is_armed(view) ? state.armed_version : state.prepared_version;
        std::uint64_t const held = state.held_step.value_or(0);
        bool const other_version = out.version != 0 && version != out.version;
        bool const other_step = out.step != 0 && held != 0 && held != out.step;
        if (version == 0 || version == state.map_version || other_version ||
            other_step)
            return std::nullopt;
        out.version = version;
        out.step = std::max(out.step, held);
    }
    bool const same_step = std::all_of(
        views_.begin(),
        views_.end(),
        [&](auto const& it) {
            return !is_armed(it.second) ||
                   it.second.state.armed_step == out.step;
        });
    group_experts const* const next = ordered_map(out.version);
    shared_experts const current = in_force();
    bool const is_change = next && current && *next != *current;
    bool const is_ahead = out.step > latest_step();
    return same_step && is_change && is_ahead ? std::optional{out}
                                              : std::nullopt;
}

bool hold_coordinator::resume_change(time_point now, orders& out)
{
    if (!may_resume_ || !all_ranks_usable(now))
        return false;
    std::optional<change_target> const target = find_resumable();
    if (!target)
        return false;
    version_ = target->version;
    step_ = target->step;
    last_version_ = std::max(last_version_, version_);
    resumed_ = true;
    may_resume_ = false;
    enter(phase::arming, "all ranks have prepared the earlier map", now);
    run_arming(now, out);
    return true;
}

// A rank that prepares another map while it is not armed can never be armed for
// the earlier one. Only once a rank has done so are others disarmed: then no
// coordinator can find, or have found, all ranks armed and release the pass.
void hold_coordinator::clear_armed(
    std::set<std::uint32_t> const& armed,
    bool all_armed,
    std::optional<std::uint32_t> missing,
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
    std::vector<std::uint32_t> unrestored;
    for (auto const& [rank, view] : views_)
    {
        if (rank == missing || armed.contains(rank))
            continue;
        if (view.state.prepared_version == version_)
            disarming_ = true;
        else
            unrestored.push_back(rank);
    }
    restore_map(unrestored, now, out);
    if (!disarming_)
        return;
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

void hold_coordinator::restore_map(
    std::vector<std::uint32_t> const& unrestored, time_point now, orders& out)
{
    shared_experts const current = in_force_except(missing_previous_rank(now));
    if (!current)
        return;
    mapping_ = current;
    order_prepare(unrestored, now, out);
}

void hold_coordinator::run_clearing(time_point now, orders& out)
{
    note_reported_steps();
    if (has_nothing_to_clear(now))
    {
        end_clearing(now);
        return;
    }
    if (resume_change(now, out))
        return;
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
    if (armed.empty())
    {
        restore_and_release(missing, now, out);
        return;
    }
    std::size_t const ranks = views_.begin()->second.state.ranks;
    bool const others_armed = missing && armed.size() == ranks - 1;
    if (!others_armed || disarming_)
        clear_armed(armed, armed.size() == ranks, missing, now, out);
}

// Each rank is first ordered to prepare the map in force under a new version.
// Once it has, it rejects delayed duplicates of earlier orders. Only then is a
// held pass released.
void hold_coordinator::restore_and_release(
    std::optional<std::uint32_t> missing, time_point now, orders& out)
{
    bool const held = std::any_of(
        views_.begin(),
        views_.end(),
        [&](auto const& it)
        { return it.first != missing && it.second.state.held_step; });
    if (!held && cleared_.empty() && now - phase_entered_ < quiet_time)
        return;
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
    restore_map(uncleared, now, out);
    std::size_t const present =
        views_.begin()->second.state.ranks - (missing ? 1 : 0);
    bool const timed_out = now - phase_entered_ > clearing_timeout();
    if (cleared_.size() < present && timed_out)
        enter(
            phase::clearing,
            "timed out clearing, retrying with a new version",
            now);
    else if (cleared_.size() >= present && !release_held(missing, now, out))
        end_clearing(now);
}

// In a new epoch the initial map is in force, and nothing is armed or held. If
// the epoch began after the lease was acquired, no other coordinator has sent
// orders that its ranks accept, so that there is nothing to clear.
void hold_coordinator::on_re_formed(time_point now)
{
    // A rank that has just started does not know its epoch.
    bool const is_own_epoch = !replaced_early_ &&
                              local_epoch_.value_or(0) > 0 &&
                              *local_epoch_ < epoch_;
    if (is_own_epoch)
    {
        follows_another_ = false;
        may_resume_ = false;
    }
    if (phase_ == phase::idle)
        return;
    enter(
        is_own_epoch ? phase::idle : phase::clearing,
        "the group was re-formed",
        now);
}

// An earlier coordinator may have sent orders for passes up to this one. Once
// it has begun, they have no effect, so that it can't be held again for another
// change.
void hold_coordinator::end_clearing(time_point now)
{
    if (follows_another_)
        note_step(latest_step() + max_lead_steps);
    follows_another_ = false;
    enter(phase::idle, "no rank is armed and no pass held", now);
}

} // namespace hornbeamweir
