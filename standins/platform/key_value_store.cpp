#include "standins/platform/key_value_store.hpp"

#include <algorithm>

namespace standin
{

std::map<std::string, stored_value>
key_value_store::range(std::string const& key, std::string const& end) const
{
    std::map<std::string, stored_value> found;
    if (end.empty())
    {
        auto const it = values_.find(key);
        if (it != values_.end())
            found.insert(*it);
        return found;
    }
    for (auto it = values_.lower_bound(key);
         it != values_.end() && it->first < end;
         ++it)
        found.insert(*it);
    return found;
}

bool key_value_store::apply(hornbeamweir::transaction const& request)
{
    for (hornbeamweir::key_condition const& condition : request.conditions)
    {
        auto const it = values_.find(condition.key);
        std::int64_t const current =
            it == values_.end() ? 0 : it->second.modify_revision;
        if (current != condition.modify_revision)
            return false;
    }
    if (!request.writes.empty())
        ++revision_;
    for (hornbeamweir::key_write const& write : request.writes)
    {
        if (write.value)
            put(write.key, *write.value, write.lease);
        else
            erase(write.key);
    }
    return true;
}

void key_value_store::put(
    std::string const& key, std::string const& value, std::int64_t id)
{
    stored_value& stored = values_[key];
    stored.value = value;
    stored.modify_revision = revision_;
    if (stored.create_revision == 0)
        stored.create_revision = revision_;
    if (id != 0)
        lease_of_[key] = id;
    else
        lease_of_.erase(key);
    changes_.push_back({key, stored, revision_});
}

void key_value_store::erase(std::string const& key)
{
    if (values_.erase(key) == 0)
        return;
    lease_of_.erase(key);
    changes_.push_back({key, std::nullopt, revision_});
}

std::int64_t key_value_store::grant(duration time_to_live, time_point now)
{
    std::int64_t const id = next_lease_++;
    leases_[id] = {time_to_live, now + time_to_live};
    return id;
}

duration key_value_store::renew(std::int64_t id, time_point now)
{
    auto const it = leases_.find(id);
    if (it == leases_.end())
        return duration::zero();
    it->second.expires_at = now + it->second.time_to_live;
    return it->second.time_to_live;
}

void key_value_store::expire(time_point now)
{
    for (auto it = leases_.begin(); it != leases_.end();)
    {
        if (it->second.expires_at > now)
        {
            ++it;
            continue;
        }
        std::vector<std::string> keys;
        for (auto key = lease_of_.begin(); key != lease_of_.end(); ++key)
        {
            if (key->second == it->first)
                keys.push_back(key->first);
        }
        if (!keys.empty())
            ++revision_;
        for (std::string const& key : keys)
            erase(key);
        it = leases_.erase(it);
    }
}

std::vector<key_value_store::change>
key_value_store::since(std::int64_t revision) const
{
    std::vector<change> found;
    std::copy_if(
        changes_.begin(),
        changes_.end(),
        std::back_inserter(found),
        [&](change const& it) { return it.revision >= revision; });
    return found;
}

} // namespace standin
