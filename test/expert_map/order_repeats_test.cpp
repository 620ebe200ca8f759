#include <hornbeamweir/expert_map/order_repeats.hpp>

#include <catch2/catch.hpp>

using hornbeamweir::order_repeats;

// Engines left one order in ten unanswered for 6 s: a group of 16 ranks, each
// of which has to be armed, stood for 0.1 s to 0.2 s at each change.
TEST_CASE("an unanswered order is repeated a few times", "[expert_map]")
{
    order_repeats repeats;
    std::uint64_t const number = repeats.on_received();
    int attempts = 1;
    while (repeats.is_due(number, attempts))
        ++attempts;
    CHECK(attempts == order_repeats::max_attempts);
}

// A hold that is repeated after the release would hold the pass again.
TEST_CASE("an order is not repeated after a newer one", "[expert_map]")
{
    order_repeats repeats;
    std::uint64_t const hold = repeats.on_received();
    std::uint64_t const release = repeats.on_received();
    CHECK_FALSE(repeats.is_due(hold, 1));
    CHECK(repeats.is_due(release, 1));
}
