#include <hornbeamweir/core/content_hash.hpp>
#include <hornbeamweir/core/random_source.hpp>
#include <hornbeamweir/membership/backend_subset.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

/// With fewer other entries, each entry pings all of them.
constexpr std::size_t min_ring_size = 16;
constexpr std::size_t vm_list_watcher_count = 5;

/// Weight of a choice for a chooser in rendezvous hashing, from their hashes.
std::uint64_t weight(std::uint64_t choice, std::uint64_t chooser) noexcept
{
    constexpr std::uint64_t hash_multiplier = 0x9fb21c651e98df25ULL;
    return random_source{choice ^ (chooser * hash_multiplier)}.next();
}

/// Hashes of all entries but one.
std::vector<std::uint64_t>
hashes_without(process_name const& self, std::span<process_name const> entries)
{
    std::vector<std::uint64_t> hashes;
    for (process_name const& it : entries)
    {
        if (it != self)
            hashes.push_back(stable_hash(it.str()));
    }
    return hashes;
}

} // namespace

backend_subset::backend_subset(
    subset_settings settings,
    process_name const& self,
    std::span<process_name const> entries)
    : settings_{settings}
    , self_{stable_hash(self.str())}
    , others_{hashes_without(self, entries)}
{
}

bool backend_subset::is_among_heaviest_entries(std::uint64_t server) const
{
    std::uint64_t const own_weight = weight(self_, server);
    std::size_t heavier = 0;
    for (std::uint64_t const other : others_)
    {
        heavier += weight(other, server) > own_weight ? 1 : 0;
        if (heavier >= settings_.entries_per_server)
            return false;
    }
    return true;
}

std::vector<backend_server_id>
backend_subset::select_from(std::vector<backend_server_id> const& servers) const
{
    std::vector<backend_server_id> chosen;
    std::vector<std::pair<std::uint64_t, backend_server_id>> rest;
    for (backend_server_id const& id : servers)
    {
        std::uint64_t const hash = stable_hash(id.str());
        if (is_among_heaviest_entries(hash))
            chosen.push_back(id);
        else
            rest.emplace_back(weight(hash, self_), id);
    }
    std::size_t const shortfall =
        settings_.min_servers_per_target -
        std::min(settings_.min_servers_per_target, chosen.size());
    std::size_t const extra = std::min(shortfall, rest.size());
    std::partial_sort(
        rest.begin(),
        rest.begin() + static_cast<std::ptrdiff_t>(extra),
        rest.end(),
        std::greater<>{});
    for (std::size_t n = 0; n < extra; ++n)
        chosen.push_back(std::move(rest[n].second));
    return chosen;
}

std::set<backend_server_id>
backend_subset::select(configuration const& current) const
{
    std::map<std::string, std::vector<backend_server_id>> by_target;
    std::map<std::string, std::vector<backend_server_id>> in_use_by_target;
    std::set<backend_server_id> all;
    current.for_each_part(
        [&](configuration_part const& part)
        {
            for (auto it = part.backend_servers.begin();
                 it != part.backend_servers.end();
                 ++it)
            {
                backend_server const& server = it->second;
                model_group const* const group = current.find(server.group);
                std::string const target =
                    server.kind == backend_kind::service
                        ? "service/" + server.service
                        : "model/" + (group != nullptr ? group->model : "");
                by_target[target].push_back(server.id);
                if (!current.is_evacuated(server.data_centre))
                    in_use_by_target[target].push_back(server.id);
                all.insert(server.id);
            }
        });
    if (all.size() <= settings_.full_coverage_limit)
        return all;
    // Connections into evacuated data centres are kept for the attempts in
    // progress there; without the second selection an entry whose subset lies
    // in such data centres would have too few backend servers, or none.
    std::set<backend_server_id> chosen;
    for (std::map<std::string, std::vector<backend_server_id>> const* const
             index : {&by_target, &in_use_by_target})
    {
        for (auto it = index->begin(); it != index->end(); ++it)
        {
            for (backend_server_id& id : select_from(it->second))
                chosen.insert(std::move(id));
        }
    }
    return chosen;
}

std::vector<process_name>
neighbours(process_name const& self, std::span<process_name const> entries)
{
    std::vector<process_name> ring{entries.begin(), entries.end()};
    std::erase(ring, self);
    if (ring.size() < min_ring_size)
        return ring;
    ring.push_back(self);
    std::sort(
        ring.begin(),
        ring.end(),
        [](process_name const& lhs, process_name const& rhs)
        { return stable_hash(lhs.str()) < stable_hash(rhs.str()); });
    std::size_t const self_index = static_cast<std::size_t>(
        std::find(ring.begin(), ring.end(), self) - ring.begin());
    std::vector<process_name> chosen;
    for (std::size_t distance = 1; distance < ring.size(); distance *= 2)
        chosen.push_back(ring[(self_index + distance) % ring.size()]);
    return chosen;
}

bool watches_vm_list(
    process_name const& self, std::span<process_name const> entries)
{
    std::uint64_t const own_hash = stable_hash(self.str());
    std::vector<std::uint64_t> const others = hashes_without(self, entries);
    std::ptrdiff_t const smaller_hashes = std::count_if(
        others.begin(),
        others.end(),
        [own_hash](std::uint64_t other) { return other < own_hash; });
    return static_cast<std::size_t>(smaller_hashes) < vm_list_watcher_count;
}

} // namespace hornbeamweir
