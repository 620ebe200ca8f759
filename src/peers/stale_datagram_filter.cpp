#include <hornbeamweir/peers/stale_datagram_filter.hpp>

namespace hornbeamweir
{

bool stale_datagram_filter::is_newest(wire::datagram const& message)
{
    if (message.has_order())
        return true;
    if (newest_.size() >= max_stamps)
        newest_.clear();
    stamp& newest =
        newest_[{message.sender(), static_cast<int>(message.body_case())}];
    // Incarnations are random and have no order; another one means a restart.
    bool const is_stale = newest.incarnation == message.incarnation() &&
                          message.sequence() <= newest.sequence;
    if (!is_stale)
        newest = {message.incarnation(), message.sequence()};
    return !is_stale;
}

} // namespace hornbeamweir
