#include <hornbeamweir/peers/rate_messages.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <vector>

namespace hornbeamweir
{

void encode_rates(
    relay::replica_rate_limits::observations const& seen,
    time_point now,
    wire::entry_load& out)
{
    for (auto const& [id, it] : seen)
    {
        wire::replica_rate& rate = *out.add_rates();
        rate.set_replica(id.str());
        if (it.per_second)
            rate.set_per_second(*it.per_second);
        rate.set_age_us(static_cast<std::uint64_t>(
            std::max(now - it.at, duration::zero()).count()));
    }
}

relay::replica_rate_limits::observations
decode_rates(wire::entry_load const& message, time_point now)
{
    constexpr std::uint64_t max_age_us = std::uint64_t{3600} * 1'000'000;
    relay::replica_rate_limits::observations out;
    for (wire::replica_rate const& it : message.rates())
    {
        bool const is_valid =
            !it.replica().empty() &&
            (!it.has_per_second() ||
             (std::isfinite(it.per_second()) && it.per_second() >= 0));
        if (!is_valid)
            continue;
        duration const age{
            static_cast<duration::rep>(std::min(it.age_us(), max_age_us))};
        out[backend_server_id{it.replica()}] = {
            it.has_per_second() ? std::optional{it.per_second()} : std::nullopt,
            now - age};
    }
    return out;
}

// The others that a response names cold are told by the registry, or by their
// own responses.
void encode_cold(
    std::map<backend_server_id, duration> const& remaining,
    wire::entry_load& out)
{
    constexpr std::size_t max_told = 64;
    std::vector<std::pair<duration, backend_server_id>> longest;
    longest.reserve(remaining.size());
    for (auto const& [id, time] : remaining)
        longest.emplace_back(time, id);
    std::size_t const told = std::min(longest.size(), max_told);
    std::partial_sort(
        longest.begin(),
        longest.begin() + static_cast<std::ptrdiff_t>(told),
        longest.end(),
        std::greater<>{});
    longest.resize(told);
    for (auto const& [time, id] : longest)
    {
        wire::replica_cold& cold = *out.add_cold();
        cold.set_replica(id.str());
        cold.set_remaining_us(static_cast<std::uint64_t>(time.count()));
    }
}

std::map<backend_server_id, duration>
decode_cold(wire::entry_load const& message)
{
    constexpr std::uint64_t max_us = std::uint64_t{3600} * 1'000'000;
    std::map<backend_server_id, duration> out;
    for (wire::replica_cold const& it : message.cold())
    {
        if (!it.replica().empty())
        {
            out[backend_server_id{it.replica()}] =
                duration{static_cast<duration::rep>(
                    std::min(it.remaining_us(), max_us))};
        }
    }
    return out;
}

} // namespace hornbeamweir
