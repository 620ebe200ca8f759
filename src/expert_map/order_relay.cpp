#include <hornbeamweir/expert_map/order_relay.hpp>

#include <algorithm>
#include <map>

namespace hornbeamweir
{

std::vector<std::vector<std::size_t>> split_recipients(std::size_t n)
{
    std::vector<std::vector<std::size_t>> out(
        std::min<std::size_t>(n, relay_fan_out));
    for (std::size_t k = 0; k < n; ++k)
        out[k % out.size()].push_back(k);
    return out;
}

std::vector<relayed_order> plan_relay(std::vector<rank_order> const& orders)
{
    // Agents with the same base get the same difference.
    std::map<map_delta const*, std::vector<rank_order const*>> by_delta;
    for (rank_order const& it : orders)
        by_delta[it.delta.get()].push_back(&it);
    std::vector<relayed_order> out;
    for (auto const& [delta, group] : by_delta)
    {
        for (std::vector<std::size_t> const& row :
             split_recipients(group.size()))
        {
            relayed_order next{*group[row.front()], {}};
            for (std::size_t k = 1; k < row.size(); ++k)
                next.recipients.push_back(
                    {group[row[k]]->rank, group[row[k]]->expected_orders});
            out.push_back(std::move(next));
        }
    }
    return out;
}

} // namespace hornbeamweir
