#pragma once

#include <map>
#include <peers.pb.h>
#include <string>
#include <utility>

namespace hornbeamweir
{

/// \brief Tells which datagrams were overtaken by newer ones.
/// \remarks Loads, reports and beats carry the whole state that they tell, so
/// that an overtaken one says nothing. Orders are accepted in any order: their
/// fences decide.
class arrival_order
{
public:
    /// \brief Notes a datagram.
    /// \returns Whether it was sent after all others of its sender and kind.
    [[nodiscard]] bool is_newest(wire::datagram const& message);

private:
    struct newest
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
    };

    std::map<std::pair<std::string, int>, newest> newest_;
};

} // namespace hornbeamweir
