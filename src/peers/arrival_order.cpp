#include <hornbeamweir/peers/arrival_order.hpp>

namespace hornbeamweir
{

bool arrival_order::is_newest(wire::datagram const& message)
{
    if (message.has_order())
        return true;
    newest& it =
        newest_[{message.sender(), static_cast<int>(message.body_case())}];
    // Incarnations are random, so that those of two starts have no order.
    bool const overtaken = it.incarnation == message.incarnation() &&
                           message.sequence() <= it.sequence;
    if (!overtaken)
        it = {message.incarnation(), message.sequence()};
    return !overtaken;
}

} // namespace hornbeamweir
