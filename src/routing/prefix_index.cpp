#include <hornbeamweir/core/content_hash.hpp>
#include <hornbeamweir/routing/prefix_index.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

constexpr std::size_t max_holders = 4;

} // namespace

prefix_index::prefix_index(std::size_t capacity) noexcept
    : capacity_{capacity}
{
}

void prefix_index::on_served(std::uint64_t prefix, backend_server_id const& id)
{
    if (prefix == 0)
        return;
    auto const it = index_.find(prefix);
    if (it == index_.end())
    {
        records_.push_front({prefix, {id}});
        index_.emplace(prefix, records_.begin());
        if (records_.size() > capacity_)
        {
            index_.erase(records_.back().prefix);
            records_.pop_back();
        }
        return;
    }
    records_.splice(records_.begin(), records_, it->second);
    std::vector<backend_server_id>& holders = it->second->holders;
    std::erase(holders, id);
    holders.insert(holders.begin(), id);
    if (holders.size() > max_holders)
        holders.pop_back();
}

void prefix_index::on_event(cache_event const& event)
{
    if (event.stored)
    {
        on_served(event.prefix, event.server);
        return;
    }
    auto const it = index_.find(event.prefix);
    if (it != index_.end())
        std::erase(it->second->holders, event.server);
}

std::vector<backend_server_id> const&
prefix_index::holders(std::uint64_t prefix) const
{
    static std::vector<backend_server_id> const none;
    auto const it = index_.find(prefix);
    return it == index_.end() ? none : it->second->holders;
}

std::size_t preferred_candidate(
    std::uint64_t prefix, std::span<routing_candidate const> candidates)
{
    std::size_t best = 0;
    std::uint64_t highest = 0;
    for (std::size_t n = 0; n < candidates.size(); ++n)
    {
        std::uint64_t const seed = prefix ^ stable_hash(candidates[n].id.str());
        std::uint64_t const weight = random_source{seed}.next();
        if (n == 0 || weight > highest)
        {
            best = n;
            highest = weight;
        }
    }
    return best;
}

} // namespace hornbeamweir
