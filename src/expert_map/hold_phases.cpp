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
/// The same while clearing: ranks then have all experts of the map, and a pass
/// may be held meanwhile.
constexpr duration restore_repeat_interval = milliseconds{500};
constexpr duration hold_timeout = milliseconds{1500};
constexpr duration arm_timeout = milliseconds{2000};
/// The same for a change of an earlier coordinator, whose pass has been held
/// for long.
constexpr duration resumed_arm_timeout = milliseconds{600};
/// The pass to hold is this many passes ahead of the latest one, so that the
/// hold order arrives before it starts.
constexpr std::uint64_t hold_lead_steps = 2;
/// A held pass or an armed rank that belongs to no change is cleared after this
/// time.
constexpr duration unexpected_state_timeout = milliseconds{250};

} // namespace

// A delayed order of an earlier change, or an earlier coordinator that has not
// noticed its successor, can still hold a pass or arm a rank.
bool hold_coordinator::clears_unexpected_state(time_point now)
{
    note_reported_steps();
    bool unexpected_state = !armed_ranks().empty();
    for (auto const& [rank, view] : views_)
        unexpected_state = unexpected_state || view.state.held_step.has_value();
    if (!unexpected_state)
    {
        unexpected_state_since_.reset();
        return false;
    }
    if (!unexpected_state_since_)
        unexpected_state_since_ = now;
    if (now - *unexpected_state_since_ < unexpected_state_timeout)
        return false;
    unexpected_state_since_.reset();
    enter(phase::clearing, "held pass or armed rank without a change", now);
    return true;
}

void hold_coordinator::run_idle(time_point now, orders& /*out*/)
{
    static_cast<void>(clears_unexpected_state(now));
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
    duration const interval = phase_ == phase::clearing
                                  ? restore_repeat_interval
                                  : prepare_repeat_interval;
    bool const copying = views_.at(rank).state.accepted_version == version_ &&
                         last != sent_.end() &&
                         now - last->second.sent_at < interval;
    if (!copying)
        order(rank, rank_operation::prepare, version_, 0, now, out);
}

void hold_coordinator::run_preparing(time_point now, orders& out)
{
    // An armed rank refuses to prepare a map.
    if (clears_unexpected_state(now))
        return;
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
    note_step(step_);
    order(hold_rank(), rank_operation::hold, 0, step_, now, out);
}

// A successor takes the rank on the VM of the coordinator that began the change
// for unarmed while any other is, so that rank is armed last: the local rank,
// or for a change of an earlier coordinator, the rank on that one's VM. Before
// it, one more rank is armed alone: if this process is suspended while the
// orders to the others are in transit, that rank shows the successor that the
// last one can't be armed.
std::vector<std::uint32_t> hold_coordinator::ranks_armed_in_turn() const
{
    std::uint32_t const ranks = views_.begin()->second.state.ranks;
    bool const avoids_previous =
        resumed_ && hold_rank() == previous_local_rank_;
    std::uint32_t const next_to_last =
        avoids_previous ? (hold_rank() + 1) % ranks : hold_rank();
    std::vector<std::uint32_t> out;
    if (next_to_last != local_rank_)
        out.push_back(next_to_last);
    out.push_back(local_rank_);
    if (resumed_ && previous_local_rank_)
        out.push_back(*previous_local_rank_);
    return out;
}

void hold_coordinator::run_arming(time_point now, orders& out)
{
    std::set<std::uint32_t> unarmed;
    for (auto const& [rank, view] : views_)
    {
        bool const armed = view.state.map_version == version_ ||
                           (view.state.armed_version == version_ &&
                            view.state.armed_step == step_);
        if (!armed)
            unarmed.insert(rank);
    }
    if (unarmed.empty())
    {
        enter(phase::releasing, "all ranks are armed", now);
        run_releasing(now, out);
        return;
    }
    std::vector<std::uint32_t> const in_turn = ranks_armed_in_turn();
    bool others_armed = true;
    for (std::uint32_t const rank : unarmed)
    {
        if (std::find(in_turn.begin(), in_turn.end(), rank) != in_turn.end())
            continue;
        others_armed = false;
        order(rank, rank_operation::arm, version_, step_, now, out);
    }
    auto const next = std::find_if(
        in_turn.begin(),
        in_turn.end(),
        [&](std::uint32_t rank) { return unarmed.contains(rank); });
    if (others_armed && next != in_turn.end())
        order(*next, rank_operation::arm, version_, step_, now, out);
    if (now - phase_entered_ > (resumed_ ? resumed_arm_timeout : arm_timeout))
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
