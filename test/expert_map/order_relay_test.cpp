#include <hornbeamweir/expert_map/order_relay.hpp>
#include <hornbeamweir/peers/rank_messages.hpp>

#include <catch2/catch.hpp>

#include <set>

using namespace hornbeamweir;

namespace
{

rank_order prepare_order(group_experts map, std::uint32_t rank = 0)
{
    rank_order out;
    out.rank = rank;
    out.version = 9;
    out.expected_orders = 100 + rank;
    out.mapping = std::make_shared<group_experts const>(std::move(map));
    return out;
}

} // namespace

// The coordinator's link carries a map a few times, not once for each rank.
TEST_CASE("orders of a map reach all ranks in few hops", "[expert_map]")
{
    struct row
    {
        std::uint32_t ranks;
        std::size_t hops;
    };
    for (row const& it :
         {row{1, 1}, row{6, 1}, row{12, 2}, row{63, 3}, row{129, 3}})
    {
        CAPTURE(it.ranks);
        std::vector<rank_order> orders;
        for (std::uint32_t n = 0; n < it.ranks; ++n)
            orders.push_back(prepare_order({}, n));
        std::vector<wire::rank_order> sent;
        for (relayed_order const& planned : plan_relay(orders))
        {
            sent.push_back(to_wire(planned.order));
            for (order_recipient const& to : planned.recipients)
            {
                wire::order_recipient& added = *sent.back().add_recipients();
                added.set_rank(to.rank);
                added.set_expected_orders(to.expected_orders);
            }
        }
        std::multiset<std::uint32_t> reached;
        std::size_t hops = 0;
        for (; !sent.empty(); ++hops)
        {
            std::vector<wire::rank_order> next;
            for (wire::rank_order const& message : sent)
            {
                reached.insert(message.rank());
                CHECK(message.expected_orders() == 100 + message.rank());
                for (passed_on_order& onward : orders_to_pass_on(message))
                    next.push_back(std::move(onward.message));
            }
            sent = std::move(next);
        }
        CHECK(reached.size() == it.ranks);
        CHECK(std::set(reached.begin(), reached.end()).size() == it.ranks);
        CHECK(hops == it.hops);
    }
}

TEST_CASE("agents with different bases get separate orders", "[expert_map]")
{
    std::shared_ptr<map_delta const> const delta =
        std::make_shared<map_delta const>();
    std::vector<rank_order> orders;
    for (std::uint32_t n = 0; n < 20; ++n)
    {
        orders.push_back(prepare_order({}, n));
        if (n % 2 == 0)
            orders.back().delta = delta;
    }
    for (relayed_order const& it : plan_relay(orders))
    {
        for (order_recipient const& to : it.recipients)
            CHECK(to.rank % 2 == it.order.rank % 2);
    }
}

TEST_CASE("a first map is restored from the group's shape", "[expert_map]")
{
    group_shape const shape{16, 129, 258};
    group_experts next = initial_experts(shape);
    next[3][7].push_back(200);
    std::sort(next[3][7].begin(), next[3][7].end());
    rank_order order = prepare_order(next);
    order.delta = std::make_shared<map_delta const>(
        *difference_of(initial_experts(shape), next));
    wire::rank_order const message = to_wire(order);
    CHECK(message.ByteSizeLong() < 100);
    shared_experts const restored = restore_map(message, nullptr);
    REQUIRE(restored);
    CHECK(*restored == next);
}

// An agent must neither stop nor send an order without a map to its rank.
TEST_CASE("malformed orders carry no map", "[expert_map]")
{
    struct row
    {
        char const* name;
        void (*change)(wire::rank_order&);
    };
    std::vector<row> const rows{
        {"fewer lists than sets", [](wire::rank_order& it) { it.set_sets(3); }},
        {"no ranks",
         [](wire::rank_order& it)
         {
             it.set_delta_stride(5);
             it.set_sets(4);
         }},
        {"a shape that does not fit into memory",
         [](wire::rank_order& it)
         {
             it.set_delta_stride(5);
             it.set_sets(4'000'000'000);
             it.set_ranks(4'000'000'000);
             it.set_experts(4'000'000'000);
         }},
        {"cells outside the map",
         [](wire::rank_order& it)
         {
             it.set_delta_stride(2);
             it.set_sets(1);
             it.set_ranks(2);
             it.set_experts(2);
             it.add_delta_cells(4'000'000'000);
         }},
        {"an unknown base",
         [](wire::rank_order& it)
         {
             it.set_delta_stride(2);
             it.set_base_version(77);
         }}};
    for (row const& it : rows)
    {
        CAPTURE(it.name);
        wire::rank_order message;
        message.set_operation("prepare");
        it.change(message);
        rank_order const order = from_wire(message);
        bool const has_map = order.mapping && !order.mapping->empty();
        CHECK_FALSE(has_map);
        CHECK_FALSE(restore_map(message, nullptr));
    }
}
