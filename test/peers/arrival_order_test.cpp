#include <hornbeamweir/peers/arrival_order.hpp>

#include <catch2/catch.hpp>

#include <vector>

using namespace hornbeamweir;

namespace
{

enum class kind
{
    load,
    report,
    order
};

wire::datagram
message(char const* sender, int incarnation, int sequence, kind of)
{
    wire::datagram out;
    out.set_sender(sender);
    out.set_incarnation(static_cast<std::uint64_t>(incarnation));
    out.set_sequence(static_cast<std::uint64_t>(sequence));
    if (of == kind::load)
        out.mutable_load();
    else if (of == kind::report)
        out.mutable_report();
    else
        out.mutable_order();
    return out;
}

} // namespace

TEST_CASE("overtaken datagrams are told by their sender's sequence", "[peers]")
{
    struct row
    {
        char const* sender;
        int incarnation;
        int sequence;
        kind of;
        bool newest;
    };
    std::vector<row> const rows{
        {"a", 7, 5, kind::report, true},
        {"a", 7, 6, kind::report, true},
        {"a", 7, 5, kind::report, false},
        // Doubled on the way.
        {"a", 7, 6, kind::report, false},
        // Kinds and senders stand for themselves.
        {"a", 7, 4, kind::load, true},
        {"b", 7, 1, kind::report, true},
        // A restart counts anew.
        {"a", 9, 1, kind::report, true},
        {"a", 9, 3, kind::report, true},
        {"a", 9, 2, kind::report, false},
        // Late orders are for their fences to refuse.
        {"a", 9, 9, kind::order, true},
        {"a", 9, 8, kind::order, true},
    };
    arrival_order order;
    for (row const& it : rows)
    {
        CAPTURE(it.sender, it.incarnation, it.sequence);
        CHECK(
            order.is_newest(message(
                it.sender, it.incarnation, it.sequence, it.of)) == it.newest);
    }
}
