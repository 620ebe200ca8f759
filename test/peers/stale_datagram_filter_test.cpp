#include <hornbeamweir/peers/stale_datagram_filter.hpp>

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
make_datagram(char const* sender, int incarnation, int sequence, kind body_kind)
{
    wire::datagram out;
    out.set_sender(sender);
    out.set_incarnation(static_cast<std::uint64_t>(incarnation));
    out.set_sequence(static_cast<std::uint64_t>(sequence));
    if (body_kind == kind::load)
        out.mutable_load();
    else if (body_kind == kind::report)
        out.mutable_report();
    else
        out.mutable_order();
    return out;
}

} // namespace

TEST_CASE("stale datagrams are detected by their sender's sequence", "[peers]")
{
    struct row
    {
        char const* sender;
        int incarnation;
        int sequence;
        kind body_kind;
        bool newest;
    };
    std::vector<row> const rows{
        {"a", 7, 5, kind::report, true},
        {"a", 7, 6, kind::report, true},
        {"a", 7, 5, kind::report, false},
        // A duplicate.
        {"a", 7, 6, kind::report, false},
        // Each kind and sender has its own sequence.
        {"a", 7, 4, kind::load, true},
        {"b", 7, 1, kind::report, true},
        // The sequence starts again after a restart.
        {"a", 9, 1, kind::report, true},
        {"a", 9, 3, kind::report, true},
        {"a", 9, 2, kind::report, false},
        // Late orders pass; their fencing tokens decide whether they apply.
        {"a", 9, 9, kind::order, true},
        {"a", 9, 8, kind::order, true},
    };
    stale_datagram_filter filter;
    for (row const& it : rows)
    {
        CAPTURE(it.sender, it.incarnation, it.sequence);
        CHECK(
            filter.is_newest(make_datagram(
                it.sender, it.incarnation, it.sequence, it.body_kind)) ==
            it.newest);
    }
}
