#include <hornbeamweir/transport/connection_table.hpp>

#include <algorithm>

namespace hornbeamweir
{

std::optional<int>
connection_table::on_accepted(int descriptor, std::string host)
{
    on_closed(descriptor);
    ++silent_by_host_[host];
    silent_.emplace(
        descriptor, silent_connection{std::move(host), next_number_++});
    if (size() <= max_connections_)
        return std::nullopt;
    std::optional<int> const ended = oldest_of_busiest_host();
    if (ended)
        on_closed(*ended);
    return ended;
}

// A host that opens many connections competes with itself only; the oldest is
// the least likely to complete its handshake.
std::optional<int> connection_table::oldest_of_busiest_host() const
{
    auto const busiest = std::max_element(
        silent_by_host_.begin(),
        silent_by_host_.end(),
        [](auto const& a, auto const& b) { return a.second < b.second; });
    std::optional<int> oldest;
    std::uint64_t number = next_number_;
    for (auto it = silent_.begin(); it != silent_.end(); ++it)
    {
        if (it->second.number >= number || it->second.host != busiest->first)
            continue;
        number = it->second.number;
        oldest = it->first;
    }
    return oldest;
}

void connection_table::forget_silent(
    std::map<int, silent_connection>::iterator it)
{
    auto const of_host = silent_by_host_.find(it->second.host);
    if (--of_host->second == 0)
        silent_by_host_.erase(of_host);
    silent_.erase(it);
}

void connection_table::on_message(int descriptor)
{
    auto const it = silent_.find(descriptor);
    if (it == silent_.end())
        return;
    proven_.insert(descriptor);
    forget_silent(it);
}

void connection_table::on_closed(int descriptor)
{
    auto const it = silent_.find(descriptor);
    if (it != silent_.end())
        forget_silent(it);
    proven_.erase(descriptor);
}

} // namespace hornbeamweir
