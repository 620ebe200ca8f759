#include <hornbeamweir/replicas/replica_directory.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

/// The entry of a replica that has gone lapses within this time.
constexpr duration absence = std::chrono::seconds{5};

} // namespace

std::vector<replica_directory::change> replica_directory::update(
    std::map<backend_server_id, replica> snapshot, time_point now)
{
    std::erase_if(
        absent_, [&](auto const& it) { return now - it.second > absence; });
    std::vector<change> changes;
    if (has_read_ && now - last_read_ > outage)
        keep_until_ = now + return_time;
    last_read_ = now;
    has_read_ = true;
    for (auto const& [id, next] : snapshot)
    {
        auto const it = known_.find(id);
        if (it == known_.end())
            changes.push_back({next, "added"});
        else if (it->second != next)
            changes.push_back({next, "changed"});
    }
    for (auto const& [id, old] : known_)
    {
        if (snapshot.contains(id))
            continue;
        if (now < keep_until_)
            snapshot.emplace(id, old);
        else
            changes.push_back({old, "removed"});
    }
    known_ = std::move(snapshot);
    return changes;
}

void replica_directory::on_misdirected(
    backend_server_id const& id, time_point now)
{
    absent_[id] = now;
}

// The entry of a replica that has crashed lapses only after some time.
bool replica_directory::is_replaced(replica const& it) const
{
    return std::any_of(
        known_.begin(),
        known_.end(),
        [&](auto const& other)
        {
            return other.second.address == it.address &&
                   other.second.registered > it.registered;
        });
}

std::vector<replica const*>
replica_directory::usable(service_name const& service) const
{
    std::vector<replica const*> out;
    for (auto const& [id, it] : known_)
    {
        bool const present =
            !it.draining && !absent_.contains(id) && !is_replaced(it);
        if (it.service == service && present)
            out.push_back(&it);
    }
    return out;
}

replica const*
replica_directory::find_by_address(std::string const& address) const
{
    replica const* latest = nullptr;
    for (auto const& [id, it] : known_)
    {
        bool const later = !latest || it.registered > latest->registered;
        if (it.address == address && later)
            latest = &it;
    }
    return latest;
}

replica const* replica_directory::find(backend_server_id const& id) const
{
    auto const it = known_.find(id);
    return it == known_.end() ? nullptr : &it->second;
}

} // namespace hornbeamweir
