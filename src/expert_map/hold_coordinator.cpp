#include <hornbeamweir/expert_map/hold_coordinator.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

using std::chrono::milliseconds;

/// A rank whose last report is older than this is not usable.
constexpr duration report_validity = milliseconds{1200};
/// What a rank tells other VMs is up to this old; its agent knows newer.
constexpr duration direct_report_lag = milliseconds{300};
/// Age above which the report of a rank with a silent agent is read again while
/// a map is changed.
constexpr duration max_direct_report_age = milliseconds{150};
/// Number of silent agents whose ranks are read and ordered directly. Each such
/// order of a map takes the coordinator's link tens of milliseconds.
constexpr std::size_t max_silent_agents = 8;
/// Range of versions and fences reserved for each coordinator, so that those of
/// the next coordinator are higher.
constexpr std::uint64_t versions_per_fence = 1000;

} // namespace

void hold_coordinator::become_coordinator(
    std::uint64_t fence,
    std::uint32_t local_rank,
    std::optional<std::uint32_t> previous,
    time_point now)
{
    previous_local_rank_ = previous == local_rank ? std::nullopt : previous;
    follows_another_ = previous.has_value();
    leading_ = true;
    fence_ = fence;
    change_count_ = 0;
    local_rank_ = local_rank;
    may_resume_ = true;
    resumed_ = false;
    local_epoch_.reset();
    sent_.clear();
    enter(phase::clearing, "became coordinator", now);
}

void hold_coordinator::step_down(time_point now)
{
    if (!leading_)
        return;
    leading_ = false;
    enter(phase::idle, "stepped down", now);
}

void hold_coordinator::on_report(
    rank_state const& state,
    std::optional<rank_experts> experts,
    time_point now)
{
    bool const is_first_local =
        leading_ && !local_epoch_ && state.rank == local_rank_;
    if (is_first_local && !state.read_directly)
        local_epoch_ = state.epoch;
    rank_view& view = views_[state.rank];
    // Reports of one rank may arrive out of order.
    bool const same_epoch = state.epoch == view.state.epoch;
    bool const same_incarnation =
        same_epoch && state.incarnation == view.state.incarnation;
    bool const older =
        state.epoch < view.state.epoch ||
        (same_epoch && state.incarnation < view.state.incarnation) ||
        (same_incarnation && (state.orders_begun < view.state.orders_begun ||
                              state.step < view.state.step));
    // While the agent reports, a direct reading is older than its reports, and
    // does not tell which orders the agent accepts.
    bool const agent_reports =
        same_incarnation && now - view.agent_reported_at <= direct_report_lag;
    if (older || (state.read_directly && agent_reports && !experts))
        return;
    std::uint64_t const accepted_version = view.state.accepted_version;
    if (!state.read_directly || !agent_reports)
    {
        view.state = state;
        view.reported_at = now;
    }
    // The rank does not report it, only its agent does.
    if (state.read_directly && same_incarnation)
        view.state.accepted_version = accepted_version;
    if (!state.read_directly)
        view.agent_reported_at = now;
    if (experts)
    {
        view.experts = std::move(*experts);
        view.experts_version = state.map_version;
        view.experts_epoch = state.epoch;
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
    else if (order.operation == rank_operation::prepare)
        state.accepted_version = order.version;
    else if (order.operation == rank_operation::arm)
    {
        state.armed_version = order.version;
        state.armed_step = order.step;
    }
}

bool hold_coordinator::all_ranks_usable(time_point now) const
{
    return all_ranks_usable_except(std::nullopt, now);
}

bool hold_coordinator::all_ranks_usable_except(
    std::optional<std::uint32_t> excluded, time_point now) const
{
    if (views_.empty())
        return false;
    std::uint32_t const ranks = views_.begin()->second.state.ranks;
    std::uint64_t const epoch = newest_epoch();
    std::size_t usable = excluded ? 1 : 0;
    for (auto const& [rank, view] : views_)
    {
        if (rank < ranks && rank != excluded && view.state.group_formed &&
            view.state.epoch == epoch &&
            now - view.reported_at <= report_validity)
            ++usable;
    }
    return ranks > 0 && usable == ranks;
}

std::uint32_t hold_coordinator::hold_rank() const
{
    std::uint32_t const ranks = views_.begin()->second.state.ranks;
    return ranks == 0 ? local_rank_ : (local_rank_ + 1) % ranks;
}

std::uint64_t hold_coordinator::newest_epoch() const
{
    std::uint64_t out = 0;
    for (auto const& [rank, view] : views_)
        out = std::max(out, view.state.epoch);
    return out;
}

std::uint64_t hold_coordinator::latest_step() const
{
    std::uint64_t out = 0;
    for (auto const& [rank, view] : views_)
        out = std::max(out, view.state.step);
    return out;
}

std::uint64_t hold_coordinator::next_version()
{
    std::uint64_t newest = std::max(last_version_, fence_ * versions_per_fence);
    for (auto const& [rank, view] : views_)
    {
        newest = std::max(
            {newest,
             view.state.map_version,
             view.state.prepared_version,
             view.state.armed_version});
    }
    last_version_ = newest + 1;
    return last_version_;
}

bool hold_coordinator::is_armed(rank_view const& view) const
{
    return view.state.armed_version != 0 &&
           view.state.armed_version != view.state.map_version;
}

std::set<std::uint32_t> hold_coordinator::armed_ranks() const
{
    std::set<std::uint32_t> out;
    for (auto const& [rank, view] : views_)
    {
        if (is_armed(view))
            out.insert(rank);
    }
    return out;
}

bool hold_coordinator::ready_for_map(time_point now) const
{
    return leading_ && phase_ == phase::idle && all_ranks_usable(now) &&
           !unexpected_state_since_ && latest_step() >= last_ordered_step_ &&
           in_force() != nullptr;
}

// Reports are frequent and maps are large, so a map is put together from the
// ranks' experts only once.
shared_experts
hold_coordinator::in_force_except(std::optional<std::uint32_t> excluded) const
{
    auto const first = std::find_if(
        views_.begin(),
        views_.end(),
        [&](auto const& view) { return view.first != excluded; });
    if (first == views_.end())
        return nullptr;
    std::uint64_t const version = first->second.state.map_version;
    auto const ordered = ordered_maps_.find(version);
    bool const same_map = std::all_of(
        views_.begin(),
        views_.end(),
        [&](auto const& view) {
            return view.first == excluded ||
                   view.second.state.map_version == version;
        });
    if (!same_map)
        return nullptr;
    if (ordered != ordered_maps_.end())
        return ordered->second;
    std::uint64_t const epoch = newest_epoch();
    if (!assembled_ || assembled_epoch_ != epoch ||
        assembled_version_ != version)
    {
        assembled_ = assemble_in_force();
        assembled_epoch_ = epoch;
        assembled_version_ = version;
    }
    return assembled_;
}

shared_experts hold_coordinator::assemble_in_force() const
{
    group_experts out;
    std::uint64_t const epoch = newest_epoch();
    for (auto const& [rank, view] : views_)
    {
        bool const same =
            view.experts_epoch == epoch && view.state.epoch == epoch &&
            view.experts_version == view.state.map_version &&
            view.state.map_version == views_.begin()->second.state.map_version;
        if (!same || rank >= view.state.ranks)
            return nullptr;
        out.resize(std::max(out.size(), view.experts.size()));
        for (std::size_t set = 0; set < view.experts.size(); ++set)
        {
            out[set].resize(view.state.ranks);
            out[set][rank] = view.experts[set];
        }
    }
    bool const all_known =
        !views_.empty() &&
        views_.size() == views_.begin()->second.state.ranks && !out.empty();
    return all_known ? std::make_shared<group_experts const>(std::move(out))
                     : nullptr;
}

// The fence increases with each change that a coordinator starts, and stays
// below the fences of the next coordinator.
std::uint64_t hold_coordinator::order_fence() const noexcept
{
    return fence_ * versions_per_fence +
           std::min(change_count_, versions_per_fence - 1);
}

void hold_coordinator::enter(
    phase next, std::string_view reason, time_point now)
{
    event line{"map_change"};
    line.with("phase", name_of(next))
        .with("from", name_of(phase_))
        .with("after_ms", (now - phase_entered_).count() / 1000)
        .with("reason", reason)
        .with("fence", fence_)
        .with("epoch", epoch_)
        .with("version", version_)
        .with("step", step_);
    log_.info(line);
    phase_ = next;
    phase_entered_ = now;
    sent_.clear();
    prepare_encodings_.clear();
    cleared_.clear();
    disarming_ = false;
    if (next == phase::clearing || next == phase::preparing)
        ++change_count_;
    if (next == phase::clearing)
        version_ = next_version();
}

bool hold_coordinator::all_ranks_reported() const
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
    mapping_ = std::make_shared<group_experts const>(std::move(mapping));
    epoch_ = newest_epoch();
    version_ = next_version();
    step_ = 0;
    resumed_ = false;
    enter(phase::preparing, "new map planned", now);
}

std::vector<rank_order> hold_coordinator::on_tick(time_point now)
{
    orders out;
    if (!leading_ || views_.empty())
        return out;
    std::uint64_t const epoch = newest_epoch();
    if (epoch != epoch_)
    {
        epoch_ = epoch;
        // Ranks reject orders of an earlier epoch.
        last_ordered_step_ = 0;
        on_re_formed(now);
    }
    using phase_handler = void (hold_coordinator::*)(time_point, orders&);
    static constexpr std::array<phase_handler, 6> handlers{
        &hold_coordinator::run_idle,
        &hold_coordinator::run_preparing,
        &hold_coordinator::run_holding,
        &hold_coordinator::run_arming,
        &hold_coordinator::run_releasing,
        &hold_coordinator::run_clearing};
    (this->*handlers[static_cast<std::size_t>(phase_)])(now, out);
    return out;
}

std::vector<std::uint32_t>
hold_coordinator::ranks_with_stale_report(duration age, time_point now) const
{
    std::vector<std::uint32_t> out;
    if (!leading_)
        return out;
    if (previous_rank_needed(now))
        out.push_back(*previous_local_rank_);
    bool const is_quiet = phase_ == phase::idle || phase_ == phase::preparing;
    std::size_t silent_agents = 0;
    for (auto const& [rank, view] : views_)
    {
        bool const is_silent =
            view.state.read_directly || now - view.reported_at > age;
        silent_agents += is_silent ? 1 : 0;
        duration const max_age =
            view.state.read_directly && phase_ != phase::idle
                ? std::min(age, max_direct_report_age)
                : age;
        if (now - view.reported_at > max_age &&
            (out.empty() || out.front() != rank))
            out.push_back(rank);
    }
    // After the loss of many VMs the group itself is broken.
    if (is_quiet && silent_agents > max_silent_agents)
        out.clear();
    return out;
}

duration hold_coordinator::oldest_report_age(time_point now) const
{
    duration out{};
    for (auto const& [rank, view] : views_)
        out = std::max(out, now - view.reported_at);
    return out;
}

} // namespace hornbeamweir
