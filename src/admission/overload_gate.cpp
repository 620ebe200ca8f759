#include <hornbeamweir/admission/overload_gate.hpp>

namespace hornbeamweir
{

overload_gate::overload_gate(random_source random) noexcept
    : queue_{random}
{
}

overload_gate::result
overload_gate::submit(queued_request const& item, time_point now)
{
    if (queue_.size() == 0 && limit_.allows(open_.size()))
    {
        open_.insert(item.id);
        return {decision::dispatch, {}};
    }
    std::optional<duration> const retry_after = queue_.push(item, now);
    if (retry_after)
        return {decision::reject, *retry_after};
    return {decision::queue, {}};
}

void overload_gate::release(request_id const& id, bool succeeded) noexcept
{
    std::size_t const open = open_.size();
    if (open_.erase(id) == 0)
        static_cast<void>(queue_.erase(id));
    else if (succeeded)
        limit_.on_success(open);
}

std::vector<request_id> overload_gate::dispatch_next(time_point now)
{
    std::vector<request_id> dispatched;
    while (limit_.allows(open_.size()))
    {
        std::optional<queued_request> const item = queue_.pop(now);
        if (!item)
            break;
        open_.insert(item->id);
        dispatched.push_back(item->id);
    }
    return dispatched;
}

} // namespace hornbeamweir
