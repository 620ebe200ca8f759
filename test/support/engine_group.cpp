#include "engine_group.hpp"

#include <algorithm>
#include <set>

namespace test
{

using namespace hornbeamweir;

engine_group::engine_group(
    std::uint32_t ranks, duration copy_time, duration reform_time)
    : copy_time_{copy_time}
    , reform_time_{reform_time}
    , ranks_(ranks)
{
    for (std::uint32_t n = 0; n < ranks; ++n)
    {
        rank_state& it = ranks_[n].state;
        it.group = model_group_id{"g"};
        it.epoch = 1;
        it.rank = n;
        it.ranks = ranks;
        it.group_formed = true;
        it.incarnation = 1;
        it.active = 1;
    }
}

void engine_group::set_initial_map(group_experts const& mapping)
{
    rank_order order;
    order.mapping = std::make_shared<group_experts const>(mapping);
    for (engine& it : ranks_)
        store_map(order, it);
}

rank_experts
engine_group::experts(std::uint32_t rank, std::uint64_t version) const
{
    auto const it = ranks_[rank].maps.find(version);
    return it == ranks_[rank].maps.end() ? rank_experts{} : it->second;
}

void engine_group::store_map(rank_order const& order, engine& target)
{
    rank_experts& held = target.maps[order.version];
    held.clear();
    for (rank_experts const& set : *order.mapping)
        held.push_back(set.at(target.state.rank));
}

void engine_group::advance(time_point now)
{
    for (engine& it : ranks_)
    {
        if (it.copying_version != 0 && now >= it.copied_at)
        {
            it.state.prepared_version = it.copying_version;
            it.copying_version = 0;
        }
        it.state.group_formed = now >= formed_at_;
    }
}

void engine_group::begin_pass(time_point now)
{
    bool const held = std::any_of(
        ranks_.begin(),
        ranks_.end(),
        [&](engine const& it) { return it.state.held_step == step_ + 1; });
    if (held || now < formed_at_)
        return;
    ++step_;
    std::set<std::uint64_t> versions;
    for (engine& it : ranks_)
    {
        it.state.step = step_;
        if (it.state.armed_version != 0 && it.state.armed_step == step_)
        {
            it.state.map_version = it.state.armed_version;
            it.state.armed_version = 0;
        }
        versions.insert(it.state.map_version);
    }
    mixed_ += versions.size() > 1 ? 1 : 0;
}

void engine_group::restart(std::uint32_t rank, time_point now)
{
    std::uint64_t const epoch = ranks_.front().state.epoch + 1;
    formed_at_ = now + reform_time_;
    for (engine& it : ranks_)
    {
        engine restarted;
        restarted.state.group = it.state.group;
        restarted.state.epoch = epoch;
        restarted.state.rank = it.state.rank;
        restarted.state.ranks = it.state.ranks;
        restarted.state.incarnation = it.state.incarnation;
        restarted.state.orders_begun = it.state.orders_begun;
        restarted.state.step = step_;
        restarted.state.active = 1;
        restarted.maps[0] = it.maps[0];
        if (it.state.rank == rank)
        {
            ++restarted.state.incarnation;
            restarted.state.orders_begun = 0;
        }
        it = std::move(restarted);
    }
}

bool engine_group::execute(rank_order const& order, time_point now)
{
    engine& it = ranks_.at(order.rank);
    rank_state& state = it.state;
    if (order.epoch != state.epoch)
        return false;
    if (check_fences_ && order.fence < it.newest_fence)
        return false;
    it.newest_fence = std::max(it.newest_fence, order.fence);
    switch (order.operation)
    {
    case rank_operation::prepare:
        return prepare(order, now);
    case rank_operation::arm:
        return arm(order);
    case rank_operation::disarm:
        if (state.armed_version == order.version)
            state.armed_version = 0;
        return true;
    case rank_operation::hold:
        return hold(order);
    case rank_operation::release:
        if (state.held_step == order.step)
            state.held_step.reset();
        return true;
    }
    return false;
}

bool engine_group::prepare(rank_order const& order, time_point now)
{
    engine& it = ranks_[order.rank];
    bool const armed = it.state.armed_version != 0;
    if (armed || order.version < it.newest_version)
        return false;
    it.state.accepted_version = order.version;
    if (order.version == it.newest_version)
        return true;
    it.newest_version = order.version;
    it.copying_version = order.version;
    it.copied_at = now + copy_time_;
    it.state.prepared_version = 0;
    store_map(order, it);
    return true;
}

bool engine_group::arm(rank_order const& order)
{
    rank_state& state = ranks_[order.rank].state;
    if (state.prepared_version != order.version || order.step <= step_)
        return false;
    state.armed_version = order.version;
    state.armed_step = order.step;
    return true;
}

bool engine_group::hold(rank_order const& order)
{
    rank_state& state = ranks_[order.rank].state;
    bool const holds_another =
        state.held_step && *state.held_step != order.step;
    if (order.step <= step_ || holds_another)
        return false;
    state.held_step = order.step;
    return true;
}

bool engine_group::is_held() const
{
    return std::any_of(
        ranks_.begin(),
        ranks_.end(),
        [](engine const& it) { return it.state.held_step.has_value(); });
}

bool engine_group::is_armed() const
{
    return std::any_of(
        ranks_.begin(),
        ranks_.end(),
        [](engine const& it) { return it.state.armed_version != 0; });
}

} // namespace test
