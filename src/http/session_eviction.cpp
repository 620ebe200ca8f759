#include "session_eviction.hpp"

#include <tuple>

namespace hornbeamweir
{

namespace
{

/// Maximum number of connections that are passed over because a request has
/// just arrived on them.
constexpr int max_passed_over = 8;
/// Time without a byte after which a request has stalled.
constexpr duration stall_time = std::chrono::seconds{1};

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
        chosen->evict(result_code::connection_limit);
        return true;
    }
    return false;
}

bool make_room(
    http_session_shared& shared,
    http_session const& requester,
    std::size_t wanted)
{
    time_point const now = process_clock::now();
    // Stalled requests before others, large ones before small ones.
    auto const precedence = [now](http_session const& it)
    {
        return std::pair{
            now - it.last_received_at() >= stall_time, it.held_bytes()};
    };
    bool const is_small = wanted <= memory_budget::large_holding;
    while (!shared.budget->fits(requester.held_bytes(), wanted))
    {
        http_session* chosen = nullptr;
        for (http_session* it : shared.waiting)
        {
            bool const may_end = it != &requester && it->has_received() &&
                                 (precedence(*it).first ||
                                  (is_small && it->held_bytes() > 2 * wanted));
            if (may_end && (!chosen || precedence(*chosen) < precedence(*it)))
                chosen = it;
        }
        if (!chosen)
            return false;
        chosen->evict(result_code::memory_limit);
    }
    return true;
}

} // namespace hornbeamweir
