#include <hornbeamweir/expert_map/expert_map.hpp>

#include <catch2/catch.hpp>

using namespace hornbeamweir;

TEST_CASE("the initial map contains every expert")
{
    for (std::uint32_t ranks : {1U, 8U, 64U})
    {
        expert_map const map = make_initial_map({2, 64, ranks, 128 / ranks});
        CHECK(is_complete(map));
        CHECK(count_moves(map, map) == 0);
    }
}

TEST_CASE("moves are slots whose rank did not hold the expert before")
{
    expert_map const from = make_initial_map({1, 4, 2, 3});
    expert_map to = from;
    std::swap(to.slots[0], to.slots[1]);
    CHECK(count_moves(from, to) == 0);
    to.slots[0] = from.at(0, 1, 0);
    CHECK(count_moves(from, to) == 1);
}
