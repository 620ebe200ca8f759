#include <hornbeamweir/idempotency/attempt_filter.hpp>

namespace hornbeamweir
{

namespace
{

/// Allows for clock drift and for entries that apply their deadline late.
constexpr duration grace_period = std::chrono::seconds{10};

} // namespace

bool attempt_filter::register_attempt(
    std::string const& request, std::uint32_t attempt, time_point deadline)
{
    attempt_key const key{request, attempt};
    if (!seen_.insert(key).second)
        return false;
    expiries_.emplace(deadline + grace_period, key);
    return true;
}

void attempt_filter::expire(time_point now)
{
    while (!expiries_.empty() && expiries_.begin()->first <= now)
    {
        seen_.erase(expiries_.begin()->second);
        expiries_.erase(expiries_.begin());
    }
}

} // namespace hornbeamweir
