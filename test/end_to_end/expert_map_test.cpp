#include <hornbeamweir/core/overloaded.hpp>
#include <hornbeamweir/expert_map/engine_report.hpp>
#include <hornbeamweir/platform/etcd_gateway.hpp>
#include <hornbeamweir/platform/etcd_json.hpp>

#include "test/support/deployment.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

#include <thread>

using namespace hornbeamweir;
using test::deployment;
using test::http_answer;

namespace
{

constexpr char const* long_stream =
    R"({"model":"stroke-coach","max_tokens":600,"stream":true,"messages":[]})";

std::int64_t record(deployment const& system, std::string const& name)
{
    http_answer const answer =
        test::get(system.engine_port(0), "/expert_map/records");
    return boost::json::parse(answer.body).at(name).to_number<std::int64_t>();
}

void post(int port, std::string const& target, std::string const& body)
{
    http_answer const answer = test::send_request(
        port, {"POST", target, {{"Content-Type", "application/json"}}, body});
    REQUIRE(answer.status == 200);
}

/// Version 2 replaces an expert of rank 0 by a second replica of another one;
/// version 3 restores it.
map_record numbered_map(std::uint64_t version)
{
    map_record record{make_initial_map({1, 8, 2, 8}), 1};
    record.map.version = version;
    if (version == 2)
        record.map.slots[1] = record.map.slots[0];
    return record;
}

/// Writes a map record as a coordinator does, and sends the order to one rank
/// only.
void change_map(deployment const& system, std::uint64_t version)
{
    map_record const next = numbered_map(version);
    transaction request;
    request.writes = {
        {map_key(model_group_id{"group-a"}), encode_record(next), 0}};
    post(
        system.platform_port(),
        "/v3/kv/txn",
        boost::json::serialize(etcd::encode_transaction(request)));
    post(
        system.engine_port(0),
        "/expert_map",
        encode_order({next.map, next.fence}));
}

bool has_coordinator(deployment const& system)
{
    for (char const* agent : {"agent-rank-0", "agent-rank-1"})
    {
        if (system.log(agent).find("coordinator_elected") != std::string::npos)
            return true;
    }
    return false;
}

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

/// Runs a coordinator against the gateway. Its simulated group activates every
/// new map immediately.
class gateway_coordinator
{
public:
    explicit gateway_coordinator(int port)
        : platform_{
              context_,
              {"127.0.0.1:" + std::to_string(port)},
              std::chrono::seconds{1}}
    {
        activate(make_initial_map({1, 4, 2, 3}));
    }

    void run_until_version(std::uint64_t version)
    {
        time_point const end = process_clock::now() + std::chrono::seconds{5};
        while (map_.version < version && process_clock::now() < end)
        {
            perform(machine_.on_tick(process_clock::now()));
            context_.restart();
            context_.run_for(std::chrono::milliseconds{10});
        }
    }

    [[nodiscard]] expert_map const& map() const noexcept { return map_; }

private:
    void activate(expert_map map)
    {
        map_ = std::move(map);
        engine_map_report report;
        report.group_in_force = identify(map_);
        machine_.on_report(report, process_clock::now());
    }

    void perform(coordinator_actions actions)
    {
        time_point const now = process_clock::now();
        for (coordinator_action const& action : actions)
        {
            std::visit(
                overloaded{
                    [&](request_lease const& it)
                    {
                        platform_.grant_lease(
                            it.time_to_live,
                            [this, now](result<std::int64_t> const& lease)
                            { perform(machine_.on_lease(lease, now)); });
                    },
                    [](renew_lease const&) {},
                    [&](read_key const& it)
                    {
                        platform_.read(
                            it.key,
                            [this, now](result<range_reply> const& reply)
                            { perform(machine_.on_read(reply, now)); });
                    },
                    [&](commit_transaction const& it)
                    {
                        platform_.commit(
                            it.request,
                            [this, now](result<transaction_reply> const& reply)
                            { perform(machine_.on_committed(reply, now)); });
                    },
                    [&](sample_engine const&) {
                        perform(
                            machine_.on_sample(engine_sample{map_, {}}, now));
                    },
                    [&](announce_record const& it)
                    { activate(it.record.map); }},
                action);
        }
    }

    static coordinator_settings fast_settings()
    {
        coordinator_settings settings;
        settings.decision_interval = std::chrono::milliseconds{20};
        settings.retry_interval = std::chrono::milliseconds{20};
        return settings;
    }

    boost::asio::io_context context_;
    etcd_gateway platform_;
    swapping_policy policy_;
    null_event_log log_;
    map_coordinator machine_{
        model_group_id{"group-b"}, "agent", fast_settings(), policy_, log_};
    expert_map map_;
};

} // namespace

TEST_CASE("expert maps are written through the platform gateway")
{
    deployment const system{{1, 1, 0, 5}};
    gateway_coordinator run{system.platform_port()};
    run.run_until_version(3);
    CHECK(run.map().version >= 3);
    // The next two writes take effect, but their responses are lost.
    post(system.platform_port(), "/faults", R"({"lose_answers": 2})");
    std::uint64_t const before = run.map().version;
    run.run_until_version(before + 4);
    CHECK(run.map().version >= before + 4);
}

TEST_CASE("the expert map changes while a response is streamed")
{
    deployment system{{}};
    system.apply_first_note();
    CHECK(test::eventually([&] { return has_coordinator(system); }));

    http_answer answer;
    std::thread caller{[&] {
        answer = system.call(0, "POST", "/v1/chat/completions", long_stream);
    }};
    change_map(system, 2);
    bool changed =
        test::eventually([&] { return record(system, "version") == 2; });
    change_map(system, 3);
    std::optional<engine_map_report> const loading =
        decode_engine_report(test::get(system.engine_port(0), "/health").body);
    changed = changed &&
              test::eventually([&] { return record(system, "version") == 3; });
    std::int64_t const held_by_change = record(system, "held_steps");

    post(system.engine_port(1), "/expert_map/replace_rank", "{}");
    bool const held =
        test::eventually([&] { return record(system, "held_steps") > 0; });
    std::int64_t const steps = record(system, "steps");
    bool const resumed =
        test::eventually([&] { return record(system, "steps") > steps + 10; });
    caller.join();

    CHECK(changed);
    CHECK((loading && loading->loading.version == 3));
    CHECK(held_by_change == 0);
    CHECK(held);
    CHECK(resumed);
    CHECK(record(system, "version") == 3);
    CHECK(record(system, "changes") == 2);
    CHECK(record(system, "mixed_steps") == 0);
    CHECK(answer.status == 200);
    CHECK(answer.body.ends_with("data: [DONE]\n\n"));
}
