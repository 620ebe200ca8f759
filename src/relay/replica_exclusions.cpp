#include <hornbeamweir/relay/replica_exclusions.hpp>

#include <algorithm>

namespace hornbeamweir::relay
{

namespace
{

/// Upper limits of the random addition: part of the delay, and a minimum that
/// spreads the requests of many entries.
constexpr double max_addition = 0.2;
constexpr duration min_spread = std::chrono::milliseconds{200};

} // namespace

bool replica_exclusions::on_leaving(
    backend_server_id const& id, store_position registration)
{
    auto const [known, added] = leaving_.emplace(id, registration);
    bool const is_newer = known->second < registration;
    known->second = std::max(known->second, registration);
    if (leaving_.size() > max_leaving)
    {
        leaving_.erase(std::min_element(
            leaving_.begin(),
            leaving_.end(),
            [](auto const& a, auto const& b) { return a.second < b.second; }));
    }
    return added || is_newer;
}

time_point replica_exclusions::on_retry_after(
    backend_server_id const& id, duration delay, time_point now)
{
    std::erase_if(
        backing_off_until_, [&](auto const& it) { return it.second <= now; });
    duration const wanted = std::clamp(delay, duration{}, max_retry_after);
    double const spread = std::max(
        max_addition * static_cast<double>(wanted.count()),
        static_cast<double>(min_spread.count()));
    time_point& until = backing_off_until_[id];
    until = std::max(
        until,
        now + wanted +
            duration{static_cast<duration::rep>(spread * random_.unit())});
    return until;
}

// A replica that returns under its id registers anew. In an outage of the store
// the registration of a leaving replica may also be replaced; its next answer
// then excludes it again.
bool replica_exclusions::is_leaving(replica const& it) const
{
    auto const found = leaving_.find(it.id);
    return found != leaving_.end() && it.registered_at() <= found->second;
}

std::optional<time_point> replica_exclusions::backing_off_until(
    backend_server_id const& id, time_point now) const
{
    auto const it = backing_off_until_.find(id);
    if (it == backing_off_until_.end() || it->second <= now)
        return std::nullopt;
    return it->second;
}

} // namespace hornbeamweir::relay
