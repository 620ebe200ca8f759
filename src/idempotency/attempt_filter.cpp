#include <hornbeamweir/idempotency/attempt_filter.hpp>

namespace hornbeamweir
{

namespace
{

/// Time after the deadline within which duplicates may arrive, because of clock
/// drift and of entries that apply their deadline late.
constexpr duration grace_period = std::chrono::seconds{10};

} // namespace

bool attempt_filter::register_attempt(
    std::string const& id, std::uint32_t attempt, time_point deadline)
{
    attempt_key const key{id, attempt};
    if (!recorded_.insert(key).second)
        return false;
    expiries_.emplace(deadline + grace_period, key);
    return true;
}

void attempt_filter::expire(time_point now)
{
    while (!expiries_.empty() && expiries_.begin()->first <= now)
    {
        recorded_.erase(expiries_.begin()->second);
        expiries_.erase(expiries_.begin());
    }
}

} // namespace hornbeamweir
