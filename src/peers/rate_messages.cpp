#include <hornbeamweir/peers/rate_messages.hpp>

#include <algorithm>
#include <cmath>

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

} // namespace hornbeamweir
