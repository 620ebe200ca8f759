#include <hornbeamweir/relay/replica_load_tracker.hpp>

namespace hornbeamweir
{

void replica_load_tracker::on_ended(backend_server_id const& id)
{
    auto const it = own_.find(id);
    if (it != own_.end() && --it->second == 0)
        own_.erase(it);
}

void replica_load_tracker::on_peer_load(
    process_name const& peer,
    std::map<backend_server_id, std::uint32_t> loads,
    time_point now)
{
    peers_[peer] = {std::move(loads), now};
}

void replica_load_tracker::on_rank_status(
    backend_server_id const& id, rank_status condition)
{
    ranks_[id] = condition;
}

std::uint32_t replica_load_tracker::in_flight(
    backend_server_id const& id, time_point now) const
{
    auto const own = own_.find(id);
    std::uint32_t total = own == own_.end() ? 0 : own->second;
    for (auto const& [name, peer] : peers_)
    {
        auto const it = peer.loads.find(id);
        if (it != peer.loads.end() && now - peer.at <= validity)
            total += it->second;
    }
    return total;
}

rank_status
replica_load_tracker::rank(backend_server_id const& id, time_point now) const
{
    auto const it = ranks_.find(id);
    if (it == ranks_.end() || now - it->second.at > validity)
        return {};
    return it->second;
}

// Peers that have gone silent still count for a while: they may be cut off
// from here and send to the same replicas all the same.
std::size_t replica_load_tracker::entries(time_point now) const
{
    constexpr duration remembered = std::chrono::seconds{20};
    std::size_t n = 1;
    for (auto const& [name, peer] : peers_)
    {
        if (now - peer.at <= remembered)
            ++n;
    }
    return n;
}

} // namespace hornbeamweir
