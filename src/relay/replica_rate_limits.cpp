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
/// The same for cold replicas; more than the interval at which queued requests
/// are sent, or else the rate could not be used.
constexpr double cold_burst_s = 0.03;
/// Entries that use a cold replica: spare_entries, and this part of its rate.
/// Each of them may hold credit for one request. At a rate R they send at most
/// 2 + 0.2 R + 1.03 R requests in a second, where 1.5 R + 5 are tolerated. The
/// difference covers entries that disagree for a moment on who uses it.
constexpr double cold_entries_per_rate = 0.2;

duration age_limit(replica_rate_limits::observation const& it)
{
    double const rate = std::max(it.per_second.value_or(1), min_rate);
    constexpr duration longest = replica_rate_limits::max_age * 6;
    duration const rare = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{answers_per_age / rate});
    return std::clamp(rare, duration{replica_rate_limits::max_age}, longest);
}

/// Mixes the hashes of a replica and an entry (the finalizer of splitmix64).
/// Thousands of replicas may become cold at once, so their names are not hashed
/// with the names of all entries.
std::uint64_t mix(std::uint64_t replica, std::uint64_t entry)
{
    std::uint64_t out = replica ^ entry;
    out = (out ^ (out >> 30U)) * 0xbf58476d1ce4e5b9U;
    out = (out ^ (out >> 27U)) * 0x94d049bb133111ebU;
    return out ^ (out >> 31U);
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
    process_name const& peer, observations const& seen)
{
    // A peer that has restarted no longer names a limit that still holds.
    for (auto const& [id, it] : seen)
    {
        observation& known = of_peers_[peer].try_emplace(id, it).first->second;
        if (it.at > known.at)
            known = it;
    }
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
    // The rate of a cold replica is never above the one that it has named.
    if (auto const cold = cold_.find(id); cold != cold_.end())
        return delay_in(cold->second.current, now);
    auto const it = limits_.find(id);
    return it == limits_.end() ? duration::zero() : delay_in(it->second, now);
}

std::optional<duration> replica_rate_limits::delay_in(pacing it, time_point now)
{
    fill(it, now);
    if (it.requests >= 1)
        return duration::zero();
    if (it.own_rate < min_rate)
        return std::nullopt;
    return std::chrono::duration_cast<duration>(
               std::chrono::duration<double>{(1 - it.requests) / it.own_rate}) +
           duration{1};
}

void replica_rate_limits::set_entries(
    process_name const& self,
    std::set<process_name> const& others,
    time_point now)
{
    std::vector<std::uint64_t> hashes;
    for (process_name const& name : others)
    {
        if (name != self)
            hashes.push_back(stable_hash(name.str()));
    }
    std::sort(hashes.begin(), hashes.end());
    if (!learning_since_)
        learning_since_ = now;
    std::uint64_t const own = stable_hash(self.str());
    bool const has_learned = now - *learning_since_ >= learning_time;
    if (hashes == entry_hashes_ && own == self_hash_ &&
        has_learned == has_learned_)
        return;
    entry_hashes_ = std::move(hashes);
    self_hash_ = own;
    has_learned_ = has_learned;
    for (auto& [id, it] : cold_)
        divide_cold_rate(id, it, now);
}

void replica_rate_limits::set_cold_rates(
    std::map<backend_server_id, double> const& rates, time_point now)
{
    std::erase_if(
        cold_, [&](auto const& it) { return !rates.contains(it.first); });
    for (auto const& [id, rate] : rates)
    {
        auto const [it, is_new] =
            cold_.try_emplace(id, cold_limit{rate, {0, 0, 0, 0, now}});
        if (!is_new && it->second.tolerated == rate)
            continue;
        it->second.tolerated = rate;
        divide_cold_rate(id, it->second, now);
    }
}

double replica_rate_limits::cold_rate_of(
    backend_server_id const& id, cold_limit const& it) const
{
    return std::min(it.tolerated, limit_of(id).value_or(it.tolerated));
}

// Credit is kept up to the new maximum only, so an entry that leaves the
// replica to others has none.
void replica_rate_limits::divide_cold_rate(
    backend_server_id const& id, cold_limit& it, time_point now) const
{
    fill(it.current, now);
    it.current.per_second = cold_rate_of(id, it);
    it.current.own_rate = own_cold_rate(id, it.current.per_second);
    it.current.max_requests =
        it.current.own_rate > 0 ? 1 + it.current.own_rate * cold_burst_s : 0;
}

// As for named rates, the same entries come first for all of them.
double replica_rate_limits::own_cold_rate(
    backend_server_id const& id, double per_second) const
{
    if (!has_learned_)
        return 0;
    std::size_t const wanted =
        spare_entries + static_cast<std::size_t>(
                            cold_entries_per_rate * std::min(per_second, 1e6));
    std::uint64_t const replica = stable_hash(id.str());
    std::uint64_t const own_rank = mix(replica, self_hash_);
    std::size_t before = 0;
    for (std::uint64_t const entry : entry_hashes_)
        before += mix(replica, entry) < own_rank ? 1 : 0;
    if (before >= wanted)
        return 0;
    return per_second /
           static_cast<double>(std::min(wanted, entry_hashes_.size() + 1));
}

void replica_rate_limits::fill(pacing& it, time_point now)
{
    double const elapsed =
        std::chrono::duration<double>{now - it.filled_at}.count();
    it.requests =
        std::min(it.requests + it.own_rate * elapsed, it.max_requests);
    it.filled_at = now;
}

void replica_rate_limits::on_sent(backend_server_id const& id, time_point now)
{
    auto const charge = [&](pacing& it)
    {
        fill(it, now);
        it.requests -= 1;
    };
    if (auto const it = limits_.find(id); it != limits_.end())
        charge(it->second);
    if (auto const it = cold_.find(id); it != cold_.end())
        charge(it->second.current);
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
            limits_.try_emplace(id, pacing{0, 0, 0, 1, now}).first->second;
        fill(limit, now);
        limit.per_second = *it.per_second;
        limit.own_rate = own_rate(id, limit.per_second);
        limit.max_requests = 1 + limit.own_rate * burst_s;
    }
    for (auto& [id, it] : cold_)
    {
        if (it.current.per_second != cold_rate_of(id, it))
            divide_cold_rate(id, it, now);
    }
}

} // namespace hornbeamweir::relay
