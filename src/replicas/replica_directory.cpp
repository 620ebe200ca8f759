#include <hornbeamweir/replicas/replica_directory.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

/// Time for which a replica is excluded after a different one responded at its
/// address; the registration of a stopped replica expires within it.
constexpr duration misdirected_exclusion = std::chrono::seconds{5};

} // namespace

std::vector<replica_directory::change> replica_directory::update(
    std::map<backend_server_id, replica> snapshot, time_point now)
{
    std::erase_if(
        misdirected_,
        [&](auto const& it)
        { return now - it.second > misdirected_exclusion; });
    std::vector<change> changes;
    if (has_read_ && now - last_read_ > max_read_gap)
        retain_until_ = now + reregistration_time;
    last_read_ = now;
    has_read_ = true;
    for (auto const& [id, next] : snapshot)
    {
        auto const it = replicas_.find(id);
        if (it == replicas_.end())
            changes.push_back({next, "added"});
        else if (it->second != next)
            changes.push_back({next, "changed"});
    }
    for (auto const& [id, old] : replicas_)
    {
        if (snapshot.contains(id))
            continue;
        if (now < retain_until_)
            snapshot.emplace(id, old);
        else
            changes.push_back({old, "removed"});
    }
    replicas_ = std::move(snapshot);
    find_usable();
    return changes;
}

void replica_directory::on_misdirected(
    backend_server_id const& id, time_point now)
{
    misdirected_[id] = now;
    find_usable();
}

// The registration of a crashed replica remains until it expires, so a
// restarted replica may be registered at the same address.
void replica_directory::find_usable()
{
    usable_.clear();
    evacuated_services_.clear();
    newest_at_.clear();
    for (auto const& [id, it] : replicas_)
    {
        replica const*& newest = newest_at_[it.address];
        if (!newest || it.registered_at() > newest->registered_at())
            newest = &it;
    }
    for (auto const& [id, it] : replicas_)
    {
        bool const is_superseded =
            newest_at_[it.address]->registered_at() > it.registered_at();
        if (it.draining || misdirected_.contains(id) || is_superseded)
            continue;
        if (evacuated_.contains(it.data_centre))
            evacuated_services_.insert(it.service);
        else
            usable_[it.service].push_back(&it);
    }
}

void replica_directory::set_evacuated(std::set<data_centre_id> data_centres)
{
    evacuated_ = std::move(data_centres);
    find_usable();
}

bool replica_directory::is_evacuated(service_name const& service) const
{
    return evacuated_services_.contains(service) && usable(service).empty();
}

std::map<data_centre_id, std::size_t>
replica_directory::replicas_by_data_centre() const
{
    std::map<data_centre_id, std::size_t> out;
    for (auto const& [id, it] : replicas_)
        out[it.data_centre] += it.draining ? 0 : 1;
    return out;
}

std::vector<replica const*> const&
replica_directory::usable(service_name const& service) const
{
    static std::vector<replica const*> const none;
    auto const it = usable_.find(service);
    return it == usable_.end() ? none : it->second;
}

replica const*
replica_directory::find_by_address(std::string const& address) const
{
    auto const it = newest_at_.find(address);
    return it == newest_at_.end() ? nullptr : it->second;
}

bool replica_directory::is_current(
    backend_server_id const& id, std::int64_t registration_revision) const
{
    replica const* const it = find(id);
    return it && it->registration_revision == registration_revision &&
           find_by_address(it->address) == it;
}

replica const* replica_directory::find(backend_server_id const& id) const
{
    auto const it = replicas_.find(id);
    return it == replicas_.end() ? nullptr : &it->second;
}

} // namespace hornbeamweir
