#include <hornbeamweir/expert_map/map_coordinator.hpp>

#include <catch2/catch.hpp>

using namespace hornbeamweir;

namespace
{

constexpr time_point start{std::chrono::seconds{100}};
model_group_id const group{"group-a"};

class swapping_policy final : public placement_policy
{
public:
    [[nodiscard]] std::optional<placement_decision> decide(
        expert_map const& current,
        popularity_report const&,
        time_point) override
    {
        placement_decision decision;
        decision.map = current;
        std::swap(decision.map.slots[0], decision.map.slots[1]);
        return decision;
    }
};

/// \returns The action, if it is the only one and of the given type.
template <typename Action, typename Actions>
std::optional<Action> single_action(Actions const& actions)
{
    if (actions.size() != 1)
        return std::nullopt;
    Action const* const it = std::get_if<Action>(&actions.front());
    return it == nullptr ? std::nullopt : std::optional<Action>{*it};
}

/// \brief A coordinator that was elected at start with fence 5, and is reading
/// the engine's map and the popularity of its experts.
struct elected_coordinator
{
    swapping_policy policy;
    null_event_log log;
    coordinator_settings settings;
    map_coordinator coordinator{group, "agent", settings, policy, log};
    expert_map map = make_initial_map({1, 4, 2, 3});

    elected_coordinator()
    {
        engine_map_report report;
        report.group_in_force = identify(map);
        coordinator.on_report(report, start);
        REQUIRE(single_action<read_key>(coordinator.on_tick(start)));
        REQUIRE(single_action<request_lease>(
            coordinator.on_read(range_reply{}, start)));
        REQUIRE(
            single_action<commit_transaction>(coordinator.on_lease(9, start)));
        transaction_reply won;
        won.succeeded = true;
        won.revision = 5;
        static_cast<void>(coordinator.on_committed(won, start));
        REQUIRE(single_action<read_key>(coordinator.on_tick(start)));
        static_cast<void>(coordinator.on_read(range_reply{}, start));
        REQUIRE(single_action<sample_engine>(coordinator.on_tick(start)));
    }

    /// \brief Completes the sample, upon which a new map is published.
    std::optional<commit_transaction> publish(time_point now)
    {
        return single_action<commit_transaction>(
            coordinator.on_sample(engine_sample{map, {}}, now));
    }
};

} // namespace

TEST_CASE("a map is published by compare-and-swap on fence and record")
{
    elected_coordinator elected;
    std::optional<commit_transaction> const written = elected.publish(start);
    REQUIRE(written);
    std::vector<key_condition> const conditions{
        {coordinator_key(group), 5}, {map_key(group), 0}};
    CHECK(written->request.conditions == conditions);
    result<map_record> const record =
        decode_record(*written->request.writes.front().value);
    REQUIRE(record);
    CHECK(record->fence == 5);
    CHECK(record->map.version == 2);
}

TEST_CASE("a coordinator paused past its lease does not act")
{
    elected_coordinator elected;
    time_point const later = start + elected.settings.lease_time;
    SECTION("resumed by a sample")
    {
        CHECK(!elected.publish(later));
    }
    SECTION("resumed by a tick")
    {
        CHECK(elected.coordinator.on_tick(later).empty());
        CHECK(!elected.coordinator.is_coordinator());
        CHECK(!elected.publish(later));
    }
}

TEST_CASE("a write with an unknown outcome is read back and repeated")
{
    elected_coordinator elected;
    std::optional<commit_transaction> const first = elected.publish(start);
    REQUIRE(first);
    static_cast<void>(elected.coordinator.on_committed(
        failure(result_code::platform_outcome_unknown, "lost"), start));
    time_point const later = start + elected.settings.retry_interval;
    REQUIRE(single_action<read_key>(elected.coordinator.on_tick(later)));
    std::optional<commit_transaction> const second =
        single_action<commit_transaction>(
            elected.coordinator.on_read(range_reply{}, later));
    REQUIRE(second);
    CHECK(second->request == first->request);
}

TEST_CASE("a participant ignores records with a lower version or fence")
{
    expert_map newer = make_initial_map({1, 4, 2, 3});
    newer.version = 7;
    struct row
    {
        std::uint64_t version;
        std::int64_t fence;
        std::uint64_t target;
    };
    for (row const& it : {row{6, 9, 7}, row{8, 4, 7}, row{8, 5, 8}})
    {
        map_participant participant{make_initial_map({1, 4, 2, 3})};
        static_cast<void>(participant.on_record(
            std::optional<map_record>{{newer, 5}}, start));
        expert_map other = newer;
        other.version = it.version;
        static_cast<void>(participant.on_record(
            std::optional<map_record>{{other, it.fence}}, start));
        CHECK(participant.target().map.version == it.target);
    }
}
