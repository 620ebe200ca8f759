#include <hornbeamweir/expert_map/map_record.hpp>
#include <hornbeamweir/expert_map/step_agreement.hpp>

#include <catch2/catch.hpp>

using namespace hornbeamweir;

TEST_CASE("ranks agree on a map that all of them hold")
{
    struct row
    {
        std::vector<rank_maps> ranks;
        std::uint64_t next;
    };
    std::vector<row> const rows{
        {{{{6, 6}, {}}, {{6, 6}, {}}}, 6},
        {{{{6, 6}, {7, 7}}, {{6, 6}, {}}}, 6},
        {{{{6, 6}, {7, 7}}, {{6, 6}, {7, 7}}}, 7},
        // One rank has staged version 8 and dropped 7, the minimum of the two.
        {{{{6, 6}, {7, 7}}, {{6, 6}, {8, 8}}}, 6},
        // Two maps with different contents were published under one version.
        {{{{6, 6}, {7, 1}}, {{6, 6}, {7, 2}}}, 6},
        // A rank has just joined and holds no map, or has loaded one.
        {{{{6, 6}, {}}, {{}, {}}}, 0},
        {{{{6, 6}, {7, 7}}, {{}, {6, 6}}}, 6},
        {{{{6, 6}, {7, 7}}, {{}, {7, 7}}}, 7},
        {{{{6, 6}, {}}, {{}, {7, 7}}}, 0},
        {{{{}, {}}, {{}, {}}}, 0},
        {{}, 0}};
    for (row const& it : rows)
    {
        std::optional<map_identity> const next = next_map(it.ranks);
        CHECK((next ? next->version : 0) == it.next);
    }
}

TEST_CASE("records are decoded as encoded, and malformed ones rejected")
{
    map_record const record{make_initial_map({2, 4, 2, 3}), 17};
    CHECK(decode_record(encode_record(record)) == record);
    for (char const* malformed :
         {"",
          "{}",
          R"({"map":{"version":1}})",
          R"({"map":{"version":1,"layers":1,"experts":2,"ranks":1,)"
          R"("slots_per_rank":2,"slots":[0,0]}})"})
        CHECK(!decode_record(malformed));
}
