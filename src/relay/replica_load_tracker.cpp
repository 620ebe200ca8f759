#include <hornbeamweir/relay/replica_load_tracker.hpp>

namespace hornbeamweir
{

namespace
{

/// Peers count for longer than their reports are valid: a peer that is
/// partitioned from this entry may still send requests to the same replicas.
constexpr duration peer_retention = std::chrono::seconds{20};

} // namespace

void replica_load_tracker::on_attempt_started(backend_server_id const& id)
{
    ++local_[id];
    ++started_;
}

void replica_load_tracker::on_attempt_ended(backend_server_id const& id)
{
    auto const it = local_.find(id);
    if (it == local_.end())
        return;
    ++ended_;
    if (--it->second == 0)
        local_.erase(it);
}

void replica_load_tracker::on_peer_load(
    process_name const& peer,
    std::map<backend_server_id, std::uint32_t> loads,
    time_point now)
{
    peer_load& it = peers_[peer];
    subtract(it.loads);
    std::erase_if(loads, [](auto const& load) { return load.second == 0; });
    for (auto const& [id, n] : loads)
        of_peers_[id] += n;
    it = {std::move(loads), now};
}

void replica_load_tracker::subtract(
    std::map<backend_server_id, std::uint32_t> const& loads)
{
    for (auto const& [id, n] : loads)
    {
        auto const it = of_peers_.find(id);
        if ((it->second -= n) == 0)
            of_peers_.erase(it);
    }
}

void replica_load_tracker::expire(time_point now)
{
    std::erase_if(
        peers_,
        [now](auto const& it)
        {
            return it.second.loads.empty() &&
                   now - it.second.received_at > peer_retention;
        });
    for (auto& [name, peer] : peers_)
    {
        if (peer.loads.empty() || now - peer.received_at <= max_report_age)
            continue;
        subtract(peer.loads);
        peer.loads.clear();
    }
}

void replica_load_tracker::on_rank_status(
    backend_server_id const& id, rank_status status)
{
    ranks_[id] = status;
}

std::uint32_t replica_load_tracker::in_flight(backend_server_id const& id) const
{
    auto const it = of_peers_.find(id);
    return own_in_flight(id) + (it == of_peers_.end() ? 0 : it->second);
}

std::vector<std::uint32_t> replica_load_tracker::peers_in_flight(
    std::vector<replica const*> const& replicas, time_point now) const
{
    std::vector<std::uint32_t> out;
    for (auto const& [name, peer] : peers_)
    {
        if (now - peer.received_at > max_report_age)
            continue;
        std::uint32_t total = 0;
        for (replica const* replica : replicas)
        {
            auto const it = peer.loads.find(replica->id);
            total += it == peer.loads.end() ? 0 : it->second;
        }
        out.push_back(total);
    }
    return out;
}

rank_status replica_load_tracker::status_of(
    backend_server_id const& id, time_point now) const
{
    auto const it = ranks_.find(id);
    if (it == ranks_.end() || now - it->second.received_at > max_report_age)
        return {};
    return it->second;
}

// Registrations may be lost in an outage of the store, and reports in a
// partition.
std::set<process_name> replica_load_tracker::other_entries(time_point now) const
{
    std::set<process_name> out;
    if (registered_)
        out = registered_();
    for (auto const& [name, peer] : peers_)
    {
        if (now - peer.received_at <= peer_retention)
            out.insert(name);
    }
    return out;
}

namespace
{

std::uint32_t total_of(std::map<backend_server_id, std::uint32_t> const& loads)
{
    std::uint32_t out = 0;
    for (auto const& [id, n] : loads)
        out += n;
    return out;
}

} // namespace

std::uint32_t replica_load_tracker::own_total() const
{
    return total_of(local_);
}

std::map<process_name, std::uint32_t>
replica_load_tracker::peer_totals(time_point now) const
{
    std::map<process_name, std::uint32_t> out;
    for (auto const& [name, peer] : peers_)
    {
        if (now - peer.received_at <= max_report_age)
            out.emplace(name, total_of(peer.loads));
    }
    return out;
}

} // namespace hornbeamweir
