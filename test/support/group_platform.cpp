#include "test/support/group_model.hpp"

using namespace hornbeamweir;
using namespace test::group_model_setup;

namespace test
{

void group_model::read(
    std::uint32_t rank,
    std::string const& key,
    std::function<void(node&, result<range_reply> const&)> done)
{
    ++calls_;
    result<range_reply> reply =
        failure(result_code::platform_unavailable, "down");
    if (platform_down_until_ <= now_)
    {
        reply = range_reply{{}, revision_};
        auto const it = keys_.find(key);
        if (it != keys_.end())
            reply->values[key] = it->second.stored;
    }
    schedule_at_agent(
        rank,
        random_delay(),
        [reply = std::move(reply), done = std::move(done)](node& agent)
        { done(agent, reply); });
}

void group_model::commit(std::uint32_t rank, transaction const& request)
{
    ++calls_;
    bool const lost = chance(rates_.lose_reply);
    // A transaction may take effect long after its sender's call timed out.
    duration const effect_delay = lost ? 4 * call_timeout : random_delay();
    bool const down = platform_down_until_ > now_;
    if (down && !lost)
    {
        schedule_at_agent(
            rank,
            random_delay(),
            [this, rank](node& agent)
            {
                perform(
                    rank,
                    agent.coordinator.on_committed(
                        failure(result_code::platform_unavailable, "down"),
                        now_));
            });
        return;
    }
    schedule(
        effect_delay,
        [this, rank, request, lost]
        {
            bool const succeeded = apply(request);
            if (lost)
                return;
            schedule_at_agent(
                rank,
                random_delay(),
                [this, rank, reply = reply_to(request, succeeded)](node& agent)
                {
                    perform(rank, agent.coordinator.on_committed(reply, now_));
                });
        });
    if (!lost)
        return;
    schedule_at_agent(
        rank,
        call_timeout,
        [this, rank](node& agent)
        {
            perform(
                rank,
                agent.coordinator.on_committed(
                    failure(result_code::platform_outcome_unknown, "lost"),
                    now_));
        });
}

transaction_reply
group_model::reply_to(transaction const& request, bool succeeded) const
{
    transaction_reply reply{succeeded, revision_, {}};
    for (std::string const& key : request.reads_on_failure)
    {
        auto const it = keys_.find(key);
        if (!succeeded && it != keys_.end())
            reply.values[key] = it->second.stored;
    }
    return reply;
}

bool group_model::apply(transaction const& request)
{
    for (key_condition const& it : request.conditions)
    {
        auto const found = keys_.find(it.key);
        std::int64_t const current_revision =
            found == keys_.end() ? 0 : found->second.stored.modify_revision;
        if (current_revision != it.modify_revision &&
            !chance(rates_.ignore_conditions))
            return false;
    }
    ++revision_;
    for (key_write const& it : request.writes)
        keys_[it.key] = {{*it.value, revision_, revision_}, it.lease};
    return true;
}

void group_model::grant(std::uint32_t rank, duration time_to_live)
{
    ++calls_;
    result<std::int64_t> reply =
        failure(result_code::platform_unavailable, "down");
    if (platform_down_until_ <= now_)
    {
        reply = ++revision_;
        leases_[revision_] = now_ + time_to_live;
    }
    schedule_at_agent(
        rank,
        random_delay(),
        [this, rank, reply](node& agent)
        { perform(rank, agent.coordinator.on_lease(reply, now_)); });
}

void group_model::renew(std::uint32_t rank, std::int64_t lease)
{
    ++calls_;
    result<duration> reply = failure(result_code::platform_unavailable, "down");
    auto const it = leases_.find(lease);
    if (platform_down_until_ <= now_ && it == leases_.end())
        reply = duration::zero();
    else if (platform_down_until_ <= now_)
    {
        it->second = now_ + settings_.lease_time;
        reply = settings_.lease_time;
    }
    schedule_at_agent(
        rank,
        random_delay(),
        [this, reply](node& agent)
        { agent.coordinator.on_renewed(reply, now_); });
}

void group_model::expire_leases()
{
    std::erase_if(
        leases_, [this](auto const& lease) { return lease.second < now_; });
    std::erase_if(
        keys_,
        [this](auto const& key)
        {
            return key.second.lease != 0 &&
                   leases_.find(key.second.lease) == leases_.end();
        });
}

} // namespace test
