#include <hornbeamweir/core/content_hash.hpp>
#include <hornbeamweir/relay/replica_rate_limits.hpp>

#include <algorithm>
#include <cmath>
#include <vector>

namespace hornbeamweir::relay
{

namespace
{

/// Answers without which a limit ends.
constexpr double answers_per_age = 4;
/// Limit below which a replica gets nothing until the limit ends.
constexpr double min_rate = 1e-3;
/// Entries that use a replica, in excess of its limit in requests per second.
constexpr std::size_t spare_entries = 2;
/// Time whose requests may be sent at once after a pause, beside one.
constexpr double burst_s = 0.1;

duration age_limit(replica_rate_limits::observation const& it)
{
    double const rate = std::max(it.per_second.value_or(1), min_rate);
    constexpr duration longest = replica_rate_limits::max_age * 6;
    duration const rare = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{answers_per_age / rate});
    return std::clamp(rare, duration{replica_rate_limits::max_age}, longest);
}

bool is_fresh(replica_rate_limits::observation const& it, time_point now)
{
    return now - it.at < age_limit(it);
}

} // namespace

bool replica_rate_limits::on_answer(
    backend_server_id const& id,
    std::optional<double> per_second,
    time_point sent_at,
    time_point now)
{
    auto const known = own_.find(id);
    std::optional<double> const before = limit_of(id);
    bool const is_older = known != own_.end() && known->second.at > sent_at;
    if (!per_second && (!before || is_older))
        return false;
    own_[id] = {per_second, now};
    if (before == per_second)
        return false;
    refresh(now);
    return true;
}

void replica_rate_limits::on_peer_report(
    process_name const& peer, observations seen)
{
    if (seen.empty())
        of_peers_.erase(peer);
    else
        of_peers_[peer] = std::move(seen);
}

void replica_rate_limits::set_loads(
    process_name self,
    std::uint32_t own,
    std::map<process_name, std::uint32_t> others)
{
    self_ = std::move(self);
    own_load_ = own;
    loads_ = std::move(others);
}

std::optional<double>
replica_rate_limits::limit_of(backend_server_id const& id) const
{
    auto const it = limits_.find(id);
    return it == limits_.end() ? std::nullopt
                               : std::optional{it->second.per_second};
}

std::map<backend_server_id, replica_rate_limits::observation>
replica_rate_limits::newest() const
{
    std::map<backend_server_id, observation> out = own_;
    for (auto const& [peer, seen] : of_peers_)
    {
        for (auto const& [id, it] : seen)
        {
            observation& known = out.try_emplace(id, it).first->second;
            if (it.at > known.at)
                known = it;
        }
    }
    return out;
}

// The same entries come first for all, as they rank by a hash. An entry that
// is not among them leaves the replica to those that are.
double replica_rate_limits::own_rate(
    backend_server_id const& id, double per_second) const
{
    std::size_t const wanted =
        spare_entries + static_cast<std::size_t>(std::min(per_second, 1e6));
    auto const rank = [&](process_name const& name)
    { return stable_hash(id.str() + '/' + name.str()); };
    std::vector<std::pair<std::uint64_t, std::uint32_t>> others;
    for (auto const& [name, load] : loads_)
        others.emplace_back(rank(name), load);
    std::sort(others.begin(), others.end());
    std::uint64_t const own_rank = rank(self_);
    std::size_t const before = static_cast<std::size_t>(std::count_if(
        others.begin(),
        others.end(),
        [&](auto const& it) { return it.first < own_rank; }));
    if (before >= wanted)
        return 0;
    others.resize(std::min(others.size(), wanted - 1));
    double const own = own_load_ + 1;
    double sum = own;
    for (auto const& [hash, load] : others)
        sum += load + 1;
    return per_second * own / sum;
}

std::optional<duration>
replica_rate_limits::delay_of(backend_server_id const& id, time_point now) const
{
    auto const it = limits_.find(id);
    if (it == limits_.end())
        return duration::zero();
    pacing filled = it->second;
    fill(filled, now);
    if (filled.requests >= 1)
        return duration::zero();
    if (filled.own_rate < min_rate)
        return std::nullopt;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{
               (1 - filled.requests) / filled.own_rate}) +
           duration{1};
}

void replica_rate_limits::fill(pacing& it, time_point now)
{
    double const elapsed =
        std::chrono::duration<double>{now - it.filled_at}.count();
    double const max_burst = 1 + it.own_rate * burst_s;
    it.requests = std::min(it.requests + it.own_rate * elapsed, max_burst);
    it.filled_at = now;
}

void replica_rate_limits::on_sent(backend_server_id const& id, time_point now)
{
    auto const it = limits_.find(id);
    if (it == limits_.end())
        return;
    fill(it->second, now);
    it->second.requests -= 1;
}

// Filling before the loads change applies each part to its own time only.
void replica_rate_limits::refresh(time_point now)
{
    std::erase_if(
        own_, [&](auto const& it) { return !is_fresh(it.second, now); });
    for (auto& [peer, seen] : of_peers_)
    {
        std::erase_if(
            seen, [&](auto const& it) { return !is_fresh(it.second, now); });
    }
    std::erase_if(of_peers_, [](auto const& it) { return it.second.empty(); });
    std::map<backend_server_id, observation> const current = newest();
    std::erase_if(
        limits_,
        [&](auto const& it)
        {
            auto const found = current.find(it.first);
            return found == current.end() || !found->second.per_second;
        });
    for (auto const& [id, it] : current)
    {
        if (!it.per_second)
            continue;
        pacing& limit =
            limits_.try_emplace(id, pacing{0, 0, 0, now}).first->second;
        fill(limit, now);
        limit.per_second = *it.per_second;
        limit.own_rate = own_rate(id, limit.per_second);
    }
}

} // namespace hornbeamweir::relay
