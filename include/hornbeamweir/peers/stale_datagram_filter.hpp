#pragma once

#include <map>
#include <peers.pb.h>
#include <string>
#include <utility>

namespace hornbeamweir
{

/// \brief Detects datagrams that arrive after a newer one from their sender.
/// \remarks Datagrams of each kind are compared separately. Load messages,
/// reports and heartbeats each carry the sender's complete state, so that a
/// stale one adds nothing. Orders are accepted in any sequence: their fencing
/// tokens decide which apply.
class stale_datagram_filter
{
public:
    /// \brief Records the datagram if it is the newest of its sender and kind.
    /// \returns Whether it is; always true for orders, which are not recorded.
    [[nodiscard]] bool is_newest(wire::datagram const& message);

private:
    /// Names of processes that have ended stay until the table is full; it
    /// starts anew then, and a late datagram may pass once.
    static constexpr std::size_t max_stamps = 65'536;

    struct stamp
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
    };

    std::map<std::pair<std::string, int>, stamp> newest_;
};

} // namespace hornbeamweir
