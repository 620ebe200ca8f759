#include "session_eviction.hpp"

#include <tuple>

namespace hornbeamweir
{

namespace
{

/// Maximum number of connections that are passed over because a request has
/// just arrived on them.
constexpr int max_passed_over = 8;

http_session* choose_waiting(http_session_shared const& shared)
{
    // By kind, then by age.
    auto const precedence = [](http_session const& it)
    {
        return std::tuple{
            it.has_received(), it.served_requests() > 0, it.reading_since()};
    };
    http_session* chosen = nullptr;
    for (http_session* it : shared.waiting)
    {
        if (!chosen || precedence(*it) < precedence(*chosen))
            chosen = it;
    }
    return chosen;
}

} // namespace

bool free_connection(http_session_shared& shared)
{
    for (int n = 0; n <= max_passed_over; ++n)
    {
        http_session* const chosen = choose_waiting(shared);
        if (!chosen)
            return false;
        if (chosen->has_unread_request())
        {
            chosen->postpone_eviction();
            continue;
        }
        ++shared.evicted;
        chosen->evict();
        return true;
    }
    return false;
}

} // namespace hornbeamweir
