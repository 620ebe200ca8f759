#include <hornbeamweir/core/random_source.hpp>
#include <hornbeamweir/expert_map/demand_window.hpp>

#include <catch2/catch.hpp>

using namespace hornbeamweir;
using std::chrono::milliseconds;

namespace
{

constexpr std::uint32_t ranks = 4;
constexpr std::size_t experts = 96;

/// \brief Reports random activations of all ranks, 25 ms apart, each rank every
/// 100 ms.
struct noisy_feed
{
    /// \param hot First of 10 experts that get a share of 0.6.
    void run(std::size_t hot, int reports)
    {
        constexpr int choices = 2000;
        for (int k = 0; k < reports; ++k, ++reported)
        {
            now += milliseconds{25};
            std::uint32_t const rank = reported % ranks;
            for (int n = 0; n < choices; ++n)
            {
                std::size_t const expert = random.unit() < 0.6
                                               ? hot + random.below(10)
                                               : random.below(experts);
                ++counts[rank].counts[expert];
            }
            window.on_counts(rank, counts[rank], now);
            window.learn_noise(experts, now);
        }
    }

    demand_window window;
    random_source random{7};
    std::uint32_t reported = 0;
    std::vector<activation_counts> counts{
        ranks, {1, 1, std::vector<std::uint64_t>(experts, 0)}};
    time_point now{std::chrono::seconds{100}};
};

} // namespace

// A new map can't be planned before the change is noticed.
TEST_CASE("a change of demand is noticed within two reports", "[demand]")
{
    noisy_feed feed;
    feed.run(0, 40);
    feed.run(50, 2);
    expert_demand const recent = feed.window.recent(experts, feed.now);
    CHECK(recent.settled);
    CHECK_FALSE(recent.activations_before.empty());
    CHECK(recent.activations[55] > 5 * recent.activations[5]);
}

// Noise taken for a change would discard activations and make needless maps.
TEST_CASE("noise is not taken for a change of demand", "[demand]")
{
    noisy_feed feed;
    for (int k = 0; k < 200; ++k)
    {
        feed.run(0, 1);
        CHECK(feed.window.recent(experts, feed.now).activations_before.empty());
    }
}
