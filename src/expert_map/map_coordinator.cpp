#include <hornbeamweir/expert_map/map_coordinator.hpp>

#include <algorithm>
#include <utility>

namespace hornbeamweir
{

namespace
{

bool is_outcome_unknown(result<transaction_reply> const& reply)
{
    return !reply &&
           reply.error().code == result_code::platform_outcome_unknown;
}

} // namespace

map_coordinator::map_coordinator(
    model_group_id group,
    std::string candidate,
    coordinator_settings settings,
    placement_policy& policy,
    event_log& log)
    : group_{std::move(group)}
    , candidate_{std::move(candidate)}
    , settings_{settings}
    , policy_{policy}
    , log_{log}
{
}

bool map_coordinator::is_coordinator() const noexcept
{
    return phase_ >= phase::record_unknown;
}

std::uint64_t map_coordinator::newest_version() const noexcept
{
    std::uint64_t const recorded = target_ ? target_->map.version : 0;
    return std::max(recorded, report_.group_in_force.version);
}

bool map_coordinator::is_pending() const noexcept
{
    return target_ && target_->map.version > report_.group_in_force.version;
}

bool map_coordinator::is_overdue(time_point now) const noexcept
{
    return is_pending() && now - pending_since_ >= settings_.change_timeout;
}

void map_coordinator::on_report(engine_map_report const& report, time_point now)
{
    bool const was_pending = is_pending();
    report_ = report;
    if (was_pending && !is_pending() && is_coordinator())
    {
        log_.info(event{"expert_map_in_force"}
                      .with("group", group_)
                      .with("version", report_.group_in_force.version)
                      .with(
                          "seconds",
                          std::chrono::duration<double>(now - pending_since_)
                              .count()));
    }
}

coordinator_actions map_coordinator::on_tick(time_point now)
{
    if (phase_ == phase::candidate)
        return now >= next_read_ ? poll(now) : coordinator_actions{};
    if (!is_coordinator())
        return {};
    // The lease is checked by the local clock, so that a coordinator that was
    // paused past its lease does not act.
    if (now >= lease_expiry_)
    {
        step_down("lease_expired", now);
        return {};
    }
    return coordinate(now);
}

coordinator_actions map_coordinator::poll(time_point now)
{
    phase_ = phase::polling;
    next_read_ = now + settings_.candidacy_interval;
    return {read_key{coordinator_key(group_)}};
}

coordinator_actions map_coordinator::coordinate(time_point now)
{
    coordinator_actions out;
    if (!renewing_ && now - renewal_sent_ >= settings_.renewal_interval)
    {
        renewing_ = true;
        renewal_sent_ = now;
        out.emplace_back(renew_lease{lease_});
    }
    if (phase_ == phase::record_unknown && now >= next_read_)
    {
        phase_ = phase::reading;
        out.emplace_back(read_key{map_key(group_)});
    }
    bool const may_decide = !is_pending() || is_overdue(now);
    if (phase_ == phase::leading && may_decide && now >= next_decision_)
    {
        phase_ = phase::sampling;
        next_decision_ = now + settings_.decision_interval;
        out.emplace_back(sample_engine{});
    }
    return out;
}

coordinator_actions
map_coordinator::on_read(result<range_reply> const& reply, time_point now)
{
    if (phase_ == phase::polling)
    {
        phase_ = phase::candidate;
        return reply ? on_coordinator_key(*reply, now) : coordinator_actions{};
    }
    if (phase_ != phase::reading)
        return {};
    phase_ = phase::record_unknown;
    next_read_ = now + settings_.retry_interval;
    return reply ? on_map_key(*reply, now) : coordinator_actions{};
}

coordinator_actions
map_coordinator::on_coordinator_key(range_reply const& reply, time_point now)
{
    if (!reply.values.empty())
        return {};
    phase_ = phase::requesting;
    lease_sent_ = now;
    return {request_lease{settings_.lease_time}};
}

coordinator_actions
map_coordinator::on_lease(result<std::int64_t> const& lease, time_point now)
{
    if (phase_ != phase::requesting)
        return {};
    phase_ = phase::candidate;
    lease_expiry_ = lease_sent_ + settings_.lease_time;
    if (!lease || now >= lease_expiry_)
        return {};
    phase_ = phase::acquiring;
    lease_ = *lease;
    std::string const key = coordinator_key(group_);
    commit_transaction action;
    action.request.conditions = {{key, 0}};
    action.request.writes = {{key, candidate_, lease_}};
    return {std::move(action)};
}

coordinator_actions
map_coordinator::on_map_key(range_reply const& reply, time_point now)
{
    map_revision_ = 0;
    coordinator_actions out;
    auto const it = reply.values.find(map_key(group_));
    if (it != reply.values.end())
    {
        result<map_record> record = decode_record(it->second.value);
        if (!record)
        {
            step_down("record_corrupt", now);
            return {};
        }
        map_revision_ = it->second.modify_revision;
        bool const record_changed = !target_ || *target_ != *record;
        if (record_changed)
            pending_since_ = now;
        target_ = std::move(*record);
        out.emplace_back(announce_record{*target_});
    }
    phase_ = phase::leading;
    // A write with an unknown outcome that is not visible yet may still take
    // effect. It is repeated under the same conditions, so that only one of the
    // two can succeed.
    bool const not_visible = !target_ || *target_ != publishing_;
    if (std::exchange(outcome_unknown_, false) && not_visible)
    {
        outcome_unknown_ = true;
        out.emplace_back(write_record());
    }
    return out;
}

void map_coordinator::on_renewed(
    result<duration> const& remaining, time_point now)
{
    renewing_ = false;
    if (!is_coordinator())
        return;
    if (remaining && *remaining > duration::zero())
        lease_expiry_ =
            renewal_sent_ + std::min(*remaining, settings_.lease_time);
    else if (
        remaining || remaining.error().code == result_code::platform_refused)
        step_down("lease_lost", now);
}

coordinator_actions map_coordinator::on_sample(
    std::optional<engine_sample> const& sample, time_point now)
{
    if (phase_ != phase::sampling)
        return {};
    phase_ = phase::leading;
    if (!sample || now >= lease_expiry_ ||
        sample->in_force.version != report_.group_in_force.version)
        return {};
    return decide(*sample, now);
}

// A map that some rank cannot load is abandoned by publishing the slots in
// force under a newer version: all ranks have those weights, and versions must
// not decrease.
coordinator_actions
map_coordinator::decide(engine_sample const& sample, time_point now)
{
    if (is_overdue(now))
    {
        log_.warning(event{"expert_map_abandoned"}
                         .with("group", group_)
                         .with("version", target_->map.version));
        return publish(sample.in_force, now);
    }
    if (is_pending())
        return {};
    std::optional<placement_decision> decision =
        policy_.decide(sample.in_force, sample.popularity, now);
    if (!decision || !is_complete(decision->map) ||
        decision->map.shape != sample.in_force.shape ||
        decision->map.slots == sample.in_force.slots)
        return {};
    log_.info(event{"placement_decided"}
                  .with("group", group_)
                  .with("version", newest_version() + 1)
                  .with("fence", fence_)
                  .with("moves", decision->moves)
                  .with("skew_before", decision->skew_before)
                  .with("skew_after", decision->skew_after)
                  .with("reason", std::string_view{decision->summary}));
    return publish(std::move(decision->map), now);
}

coordinator_actions map_coordinator::publish(expert_map map, time_point now)
{
    map.version = newest_version() + 1;
    publishing_ = {std::move(map), fence_};
    pending_since_ = now;
    return {write_record()};
}

commit_transaction map_coordinator::write_record()
{
    phase_ = phase::publishing;
    commit_transaction action;
    std::string const coordinator = coordinator_key(group_);
    std::string const key = map_key(group_);
    action.request.conditions = {{coordinator, fence_}, {key, map_revision_}};
    action.request.writes = {{key, encode_record(publishing_), 0}};
    action.request.reads_on_failure = {coordinator};
    return action;
}

bool map_coordinator::still_elected(transaction_reply const& reply) const
{
    auto const it = reply.values.find(coordinator_key(group_));
    return it != reply.values.end() && it->second.modify_revision == fence_;
}

coordinator_actions map_coordinator::on_committed(
    result<transaction_reply> const& reply, time_point now)
{
    if (phase_ == phase::acquiring)
    {
        phase_ = phase::candidate;
        if (!reply || !reply->succeeded)
            return {};
        phase_ = phase::record_unknown;
        next_read_ = now;
        fence_ = reply->revision;
        renewal_sent_ = lease_sent_;
        log_.info(event{"coordinator_elected"}
                      .with("group", group_)
                      .with("fence", fence_));
        return {};
    }
    if (phase_ != phase::publishing)
        return {};
    // The record is read back to find out whether a write without a reply took
    // effect.
    phase_ = phase::record_unknown;
    next_read_ = now + settings_.retry_interval;
    outcome_unknown_ = outcome_unknown_ || is_outcome_unknown(reply);
    if (!reply)
        return {};
    outcome_unknown_ = false;
    if (!reply->succeeded)
    {
        if (!still_elected(*reply))
            step_down("superseded", now);
        return {};
    }
    phase_ = phase::leading;
    map_revision_ = reply->revision;
    target_ = publishing_;
    return {announce_record{*target_}};
}

void map_coordinator::step_down(std::string_view reason, time_point now)
{
    log_.warning(event{"coordinator_stepped_down"}
                     .with("group", group_)
                     .with("fence", fence_)
                     .with("reason", reason));
    phase_ = phase::candidate;
    next_read_ = now + settings_.candidacy_interval;
    renewing_ = false;
    outcome_unknown_ = false;
}

} // namespace hornbeamweir
