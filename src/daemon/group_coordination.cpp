#include "group_coordination.hpp"

#include "coordinator_record.hpp"

#include <algorithm>

namespace hornbeamweir
{

namespace
{

using std::chrono::milliseconds;

/// Engine profiles are part of the configuration, which changes rarely.
constexpr duration profile_interval = std::chrono::seconds{10};
constexpr duration profile_retry = milliseconds{500};

// In a large group a few agents, spread over its ranks, suffice as candidates;
// if all campaigned, each failover would cost as many calls as there are ranks.
duration standby_delay(rank_state const& state)
{
    constexpr std::uint32_t candidates = 12;
    constexpr duration delay = std::chrono::seconds{2};
    std::uint32_t const stride = std::max(1U, state.ranks / candidates);
    return state.rank % stride == 0 ? duration{} : delay;
}

/// Time in which agents answer the first heartbeat of a coordinator. Earlier,
/// reading other ranks directly only delays their reports.
constexpr duration first_report_time = milliseconds{300};

} // namespace

group_coordination::group_coordination(
    platform& store,
    relay_codec const& records,
    event_log& log,
    metrics_registry& metrics,
    clock_function clock,
    random_source random,
    std::string self,
    bool fences_checked,
    double link_megabits_per_second,
    std::function<void(std::vector<rank_order> const&)> send)
    : platform_{store}
    , records_{records}
    , log_{log}
    , metrics_{metrics}
    , clock_{clock}
    , send_{std::move(send)}
    , leadership_{store, log, clock, random, std::move(self), fences_checked}
    , coordinator_{log, link_megabits_per_second, fences_checked}
    , activity_{log, metrics}
{
}

void group_coordination::on_local_rank(
    rank_state const& state, service_name const& service)
{
    group_ = state.group;
    rank_ = state.rank;
    ranks_ = state.ranks;
    service_ = service;
    coordinator_.on_local_map(state.map_version);
    leadership_.set_key(
        "hornbeamweir/groups/" + group_.str() + "/coordinator",
        standby_delay(state));
}

void group_coordination::on_coordinator_heartbeat(
    wire::coordinator_beat const& beat)
{
    if (beat.group() != group_.str())
        return;
    if (beat.left())
        leadership_.on_leader_left();
    else
        leadership_.on_leader_alive(beat.fence());
}

void group_coordination::on_report(wire::rank_report const& report)
{
    if (report.group() != group_.str())
    {
        // A service may have several groups; the registration of a rank does
        // not name its group.
        std::erase(registered_addresses_, report.address());
        return;
    }
    time_point const now = clock_();
    activity_.on_report();
    addresses_[report.rank()] = report.address();
    slowdowns_[report.rank()] = report.pace();
    requests_[report.rank()] = report.active() + report.queued();
    coordinator_.on_report(from_wire(report), experts_of(report), now);
    add_activations(report, now);
    if (report.fenced() && coordinator_.is_coordinator())
        leadership_.step_down();
    // A switch takes several rounds of orders; if each round waited for a tick,
    // the switch would take additional forward passes.
    hold_coordinator::phase const phase = coordinator_.current_phase();
    bool const is_switching = phase != hold_coordinator::phase::idle &&
                              phase != hold_coordinator::phase::preparing;
    if (coordinator_.is_coordinator() && is_switching)
        send_due_orders(now);
}

void group_coordination::add_activations(
    wire::rank_report const& report, time_point now)
{
    std::size_t const size = static_cast<std::size_t>(report.choices_size());
    if (size == 0)
        return;
    activation_counts& it = activations_[report.rank()];
    bool const continues = it.epoch == report.epoch() &&
                           it.incarnation == report.start() &&
                           it.counts.size() == size;
    if (!continues)
    {
        it.epoch = report.epoch();
        it.incarnation = report.start();
        it.counts.assign(size, 0);
        planner_.on_counts(report.rank(), it, now);
    }
    for (std::size_t n = 0; n < size; ++n)
        it.counts[n] += report.choices(static_cast<int>(n));
    planner_.on_counts(report.rank(), it, now);
}

// The leadership is checked before orders are sent, as the lease may have
// expired while the process was suspended.
void group_coordination::send_due_orders(time_point now)
{
    update_coordinator_role();
    if (!coordinator_.is_coordinator())
        return;
    std::vector<rank_order> const orders = coordinator_.on_tick(now);
    for (rank_order const& order : orders)
    {
        metrics_.count(
            "hornbeamweir_rank_orders_total",
            {{"operation", std::string{name_of(order.operation)}}});
        activity_.on_order();
    }
    if (!orders.empty())
        send_(orders);
    update_metrics(now);
}

// Phases that begin and end within one call take negligible time and are not
// measured.
void group_coordination::update_metrics(time_point now)
{
    if (coordinator_.maps_switched() != counted_switches_)
    {
        counted_switches_ = coordinator_.maps_switched();
        metrics_.count("hornbeamweir_maps_switched_total", {});
    }
    if (coordinator_.current_phase() == phase_)
        return;
    metrics_.observe_seconds(
        "hornbeamweir_map_phase_seconds",
        {{"phase", std::string{name_of(phase_)}}},
        std::chrono::duration<double>{now - phase_began_at_}.count());
    phase_ = coordinator_.current_phase();
    phase_began_at_ = now;
}

void group_coordination::update_coordinator_role()
{
    time_point const now = clock_();
    bool const is_leader = leadership_.is_leader();
    if (is_leader && !coordinator_.is_coordinator())
    {
        coordinator_record const previous =
            parse_coordinator_record(leadership_.previous_record());
        took_over_at_ = now;
        knows_previous_address_ = !previous.address.empty();
        if (previous.rank && knows_previous_address_)
            addresses_[*previous.rank] = previous.address;
        coordinator_.become_coordinator(
            leadership_.fence(), rank_, previous.rank, now);
        read_profile();
        read_replicas();
    }
    else if (!is_leader && coordinator_.is_coordinator())
        coordinator_.step_down(now);
}

void group_coordination::on_tick()
{
    leadership_.on_tick();
    update_coordinator_role();
    if (!coordinator_.is_coordinator())
        return;
    if (leaving_ &&
        coordinator_.current_phase() == hold_coordinator::phase::idle)
    {
        leadership_.leave();
        update_coordinator_role();
        return;
    }
    time_point const now = clock_();
    activity_.on_tick(now, coordinator_.oldest_report_age(now));
    duration const due = engine_profile_ ? profile_interval : profile_retry;
    if (now - profile_read_at_ >= due)
        read_profile();
    bool const may_plan = !leaving_ && now - planned_at_ >= map_plan_interval &&
                          coordinator_.ready_for_map(now);
    // The leadership record names the local rank, which is armed last: the next
    // coordinator has to check how far a change got there.
    if (may_plan && !leadership_.record_written())
        leadership_.write_record(
            std::to_string(rank_) + ' ' + address_of(rank_));
    else if (
        may_plan || (!leaving_ && now - planned_at_ >= map_plan_interval &&
                     preparing_map_outdated(now)))
        plan_map(now);
    send_due_orders(now);
}

void group_coordination::leave()
{
    leaving_ = true;
    if (!leadership_.is_leader())
        leadership_.leave();
}

bool group_coordination::has_left() const
{
    return !leadership_.is_leader() && !leadership_.has_pending_call();
}

void group_coordination::read_profile()
{
    profile_read_at_ = clock_();
    platform_.read(
        records_.configuration_key(),
        [this, weak = std::weak_ptr{alive_}](result<range_reply> const& reply)
        {
            if (weak.expired() || !reply || reply->values.empty())
                return;
            result<route_configuration> const decoded =
                records_.decode_configuration(
                    reply->values.begin()->second.value);
            if (!decoded)
                return;
            for (service_profile const& it : decoded->services)
            {
                if (it.name == service_)
                    engine_profile_ = it.engine;
            }
        });
}

// Ranks whose agents stopped reporting before this process became coordinator
// are known only by their registrations.
void group_coordination::read_replicas()
{
    platform_.read_prefix_recent(
        records_.replica_prefix(),
        [this, weak = std::weak_ptr{alive_}](result<range_reply> const& reply)
        {
            if (weak.expired() || !reply)
                return;
            registered_addresses_.clear();
            for (auto const& [key, stored] : reply->values)
            {
                result<replica> const it =
                    records_.decode_replica(key, stored.value);
                if (it && it->service == service_)
                    registered_addresses_.push_back(it->address);
            }
        });
}

// Demand may change while ranks copy a map.
bool group_coordination::preparing_map_outdated(time_point now)
{
    group_experts const* const preparing = coordinator_.preparing_map();
    if (!preparing || !engine_profile_)
        return false;
    bool const outdated =
        planner_.is_outdated(*preparing, *engine_profile_, slowdowns(), now);
    activity_.on_planned(clock_() - now);
    return outdated;
}

std::vector<double> group_coordination::slowdowns() const
{
    std::vector<double> out;
    for (auto const& [rank, slowdown] : slowdowns_)
        out.push_back(std::max(1.0, slowdown));
    return out;
}

// A group is at its limit once each rank has as many requests as slots.
double group_coordination::load() const
{
    if (requests_.empty())
        return 1;
    double used = 0;
    for (auto const& [rank, requests] : requests_)
        used += std::min(requests, engine_profile_->slots);
    return used / (static_cast<double>(requests_.size()) *
                   std::max(1U, engine_profile_->slots));
}

void group_coordination::plan_map(time_point now)
{
    planned_at_ = now;
    shared_experts const current = coordinator_.in_force();
    if (!engine_profile_ || !current)
        return;
    std::optional<planned_map> next =
        planner_.plan(*current, *engine_profile_, slowdowns(), now, load());
    duration const elapsed = clock_() - now;
    activity_.on_planned(elapsed);
    activity_.on_outcome(planner_.outcome(), planner_.activations_used());
    if (!next)
        return;
    event line{"map_planned"};
    line.with(
            "skew_before",
            next->skew_sum_before / static_cast<double>(current->size()))
        .with(
            "skew_after",
            next->skew_sum_after / static_cast<double>(current->size()))
        .with("moves", next->moves)
        .with("load", load())
        .with(
            "planning_ms",
            std::chrono::duration_cast<milliseconds>(elapsed).count());
    log_.info(line);
    metrics_.count("hornbeamweir_maps_planned_total", {});
    metrics_.count("hornbeamweir_map_moves_total", {}, next->moves);
    metrics_.gauge(
        "hornbeamweir_map_skew",
        {{"map", "in_force"}},
        next->skew_sum_before / static_cast<double>(current->size()));
    metrics_.gauge(
        "hornbeamweir_map_skew",
        {{"map", "planned"}},
        next->skew_sum_after / static_cast<double>(current->size()));
    coordinator_.start(std::move(next->experts), now);
}

std::vector<std::string> group_coordination::stale_rank_addresses() const
{
    std::vector<std::string> out;
    for (std::uint32_t const rank :
         coordinator_.ranks_with_stale_report(max_report_age(ranks_), clock_()))
    {
        std::string address = address_of(rank);
        if (!address.empty())
            out.push_back(std::move(address));
    }
    bool const awaits_reports =
        knows_previous_address_ && clock_() - took_over_at_ < first_report_time;
    if (coordinator_.current_phase() != hold_coordinator::phase::clearing ||
        coordinator_.all_ranks_reported() || awaits_reports)
        return out;
    for (std::string const& address : registered_addresses_)
    {
        bool const reported = std::any_of(
            addresses_.begin(),
            addresses_.end(),
            [&](auto const& it) { return it.second == address; });
        if (!reported)
            out.push_back(address);
    }
    return out;
}

std::string group_coordination::address_of(std::uint32_t rank) const
{
    auto const it = addresses_.find(rank);
    return it == addresses_.end() ? std::string{} : it->second;
}

} // namespace hornbeamweir
