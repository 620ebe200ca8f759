#pragma once

#include <map>
#include <peers.pb.h>
#include <string>
#include <utility>

namespace hornbeamweir
{

/// \brief Detects datagrams that arrive after a newer one of the same sender
/// and kind. \remarks Load messages, reports and heartbeats each carry the
/// sender's complete state, so that a stale one adds nothing. Orders are
/// accepted in any sequence: their fencing tokens decide which apply.
class stale_datagram_filter
{
public:
    /// \brief Records a datagram.
    /// \returns Whether it was sent after all recorded ones of its sender and
    /// kind; always true for orders.
    [[nodiscard]] bool is_newest(wire::datagram const& message);

private:
    struct stamp
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
    };

    std::map<std::pair<std::string, int>, stamp> newest_;
};

} // namespace hornbeamweir
