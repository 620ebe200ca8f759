#include <hornbeamweir/expert_map/map_participant.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

constexpr duration order_repeat_interval = std::chrono::seconds{2};
constexpr duration min_read_interval = std::chrono::seconds{5};
constexpr duration max_read_interval = std::chrono::seconds{30};
constexpr duration engine_read_interval = std::chrono::seconds{2};

bool is_due(time_point last, duration interval, time_point now) noexcept
{
    return last == time_point{} || now - last >= interval;
}

} // namespace

map_participant::map_participant(expert_map fallback)
    : target_{std::move(fallback), 0}
    , target_identity_{identify(target_.map)}
{
}

participant_actions
map_participant::on_report(engine_map_report const& report, time_point now)
{
    bool const restarted =
        report.local.in_force.version < last_report_.local.in_force.version;
    must_read_ = must_read_ || restarted;
    if (restarted ||
        report.max_ordered_version > last_report_.max_ordered_version)
        read_interval_ = duration::zero();
    last_report_ = report;
    participant_actions out = advance(now);
    bool const needs_record = must_read_ || record_may_be_newer();
    if (needs_record && is_due(read_at_, read_interval_, now))
    {
        read_at_ = now;
        read_interval_ = std::clamp(
            2 * read_interval_, min_read_interval, max_read_interval);
        out.emplace_back(read_map_record{});
    }
    return out;
}

participant_actions map_participant::advance(time_point now)
{
    bool const joining = last_report_.local.in_force.empty() &&
                         !last_report_.group_in_force.empty();
    return joining ? join(now) : follow_target(now);
}

void map_participant::on_order_rejected() noexcept
{
    must_read_ = true;
}

bool map_participant::record_may_be_newer() const noexcept
{
    return last_report_.max_ordered_version > target_.map.version ||
           last_report_.group_in_force.version > target_.map.version;
}

// A rank that joins loads the map in force first: the group cannot execute
// steps without it, and a pending change may still be abandoned.
participant_actions map_participant::join(time_point now)
{
    map_identity const& wanted = last_report_.group_in_force;
    if (last_report_.local.staged == wanted || last_report_.loading == wanted)
        return {};
    if (target_identity_ == wanted)
        return order(target_.map, now);
    if (!is_due(engine_read_at_, engine_read_interval, now))
        return {};
    engine_read_at_ = now;
    return {read_engine_map{}};
}

participant_actions map_participant::follow_target(time_point now)
{
    bool const reached =
        last_report_.local.in_force == target_identity_ ||
        last_report_.local.in_force.version >= target_.map.version;
    if (reached)
        return {};
    if (last_report_.local.staged == target_identity_ ||
        last_report_.loading == target_identity_)
        return {};
    return order(target_.map, now);
}

// An engine that does not check fencing tokens may execute an older order after
// this one. Its report then shows the older map, and the order is repeated.
participant_actions
map_participant::order(expert_map const& map, time_point now)
{
    map_identity const identity = identify(map);
    if (last_ordered_ == identity &&
        !is_due(ordered_at_, order_repeat_interval, now))
        return {};
    last_ordered_ = identity;
    ordered_at_ = now;
    return {load_map{map, target_.fence}};
}

// Versions and fences only increase. A delayed reply must not restore an older
// record.
participant_actions map_participant::on_record(
    result<std::optional<map_record>> const& record, time_point now)
{
    if (!record)
        return {};
    must_read_ = false;
    if (!record->has_value())
        return {};
    map_record const& found = **record;
    if (found.map.version <= target_.map.version || found.fence < target_.fence)
        return {};
    target_ = found;
    target_identity_ = identify(target_.map);
    return advance(now);
}

participant_actions map_participant::on_engine_map(
    std::optional<expert_map> const& map, time_point now)
{
    bool const joining = last_report_.local.in_force.empty();
    if (!map || !joining || identify(*map) != last_report_.group_in_force)
        return {};
    return order(*map, now);
}

} // namespace hornbeamweir
