#include <hornbeamweir/core/content_hash.hpp>
#include <hornbeamweir/core/overloaded.hpp>
#include <hornbeamweir/entry/entry_core.hpp>
#include <hornbeamweir/routing/cost_aware_policy.hpp>

#include <catch2/catch.hpp>

using namespace hornbeamweir;
using namespace std::chrono_literals;

namespace
{

constexpr char const* token = "t";

/// An entry with simulated agents.
class entry_with_agents
{
public:
    /// \param failing Number of agents, from the first, that fail every
    /// attempt.
    entry_with_agents(std::size_t agents, std::size_t failing)
        : agents_{agents}
        , failing_{failing}
        , policy_{random_source{1}}
        , core_{settings(), random_source{2}, policy_, log_, metrics_}
    {
        encoded_configuration const revision =
            encode_configuration(make_objects(), 1, "note-1");
        core_.on_platform_head(revision.head, now_);
        // The entry may request parts in several rounds.
        constexpr int rounds = 2;
        for (int n = 0; n < rounds; ++n)
        {
            for (auto it = revision.contents.begin();
                 it != revision.contents.end();
                 ++it)
                core_.on_platform_part(it->first, it->second, now_);
        }
        for (std::size_t n = 0; n < agents_; ++n)
            send_pong(n);
        static_cast<void>(core_.take_actions());
    }

    [[nodiscard]] bool ready() const { return core_.ready(); }

    /// Sends one request; each of its attempts ends after the given time.
    void request(duration attempt_time)
    {
        http_request_message message;
        message.method = "GET";
        message.target = "/services/stock/items";
        message.headers = {
            {"Authorization", "Bearer t"}, {"X-Request-Timeout-Ms", "10000"}};
        ++requests;
        static_cast<void>(core_.on_request(std::move(message), now_));
        for (std::vector<entry_action> actions = core_.take_actions();
             !actions.empty();
             actions = core_.take_actions())
        {
            for (entry_action const& action : actions)
            {
                if (send_envelope const* const it =
                        std::get_if<send_envelope>(&action))
                    respond(*it, attempt_time);
                else if (
                    respond_head const* const head =
                        std::get_if<respond_head>(&action))
                    succeeded += head->status == 200 ? 1 : 0;
            }
        }
        now_ += 1ms;
    }

    std::size_t requests = 0;
    std::size_t attempts = 0;
    std::size_t succeeded = 0;
    std::vector<std::uint64_t> timeouts_us;

private:
    static entry_settings settings()
    {
        entry_settings out;
        out.identity.data_centre = data_centre_id{"dc"};
        return out;
    }

    static std::string name(std::size_t n) { return "s" + std::to_string(n); }

    [[nodiscard]] configuration_part make_objects() const
    {
        configuration_part out;
        customer shop;
        shop.id = customer_id{"shop"};
        shop.token_hash = content_hash(token);
        shop.requests_per_second = 1e6;
        shop.burst = 1'000'000;
        out.customers[shop.id] = shop;
        for (std::size_t n = 0; n < agents_; ++n)
        {
            backend_server server;
            server.id = backend_server_id{name(n)};
            server.kind = backend_kind::service;
            server.service = "stock";
            server.vm = vm_id{name(n)};
            server.data_centre = data_centre_id{"dc"};
            server.agent_address = "127.0.0.1:1";
            out.backend_servers[server.id] = server;
        }
        return out;
    }

    void send_pong(std::size_t n)
    {
        wire::envelope message;
        message.set_incarnation(1);
        message.mutable_membership()->mutable_pong()->set_state(
            wire::agent_state_up);
        core_.on_message(
            {peer_side::dialled, "agent/" + name(n)}, message, now_);
    }

    void respond(send_envelope const& sent, duration attempt_time)
    {
        if (!sent.message.has_execute())
            return;
        wire::execute const& execute = sent.message.execute();
        ++attempts;
        timeouts_us.push_back(execute.timeout_us());
        now_ += attempt_time;
        std::size_t const n = std::stoul(sent.to.id.substr(7));
        wire::envelope message;
        wire::answer& frame = *message.mutable_answer();
        frame.set_request_id(execute.request_id());
        frame.set_attempt(execute.attempt());
        if (n < failing_)
        {
            frame.mutable_failure()->set_state(
                wire::execution_state_may_have_run);
            core_.on_message(sent.to, message, now_);
            return;
        }
        frame.mutable_head()->set_status(200);
        core_.on_message(sent.to, message, now_);
        frame.set_sequence(1);
        frame.mutable_end();
        core_.on_message(sent.to, message, now_);
    }

    std::size_t agents_;
    std::size_t failing_;
    time_point now_{1s};
    null_event_log log_;
    metrics_registry metrics_;
    cost_aware_policy policy_;
    entry_core core_;
};

} // namespace

TEST_CASE(
    "attempts stay within 1.2 x requests if half or more of the servers fail")
{
    std::size_t const failing = GENERATE(6U, 11U, 12U);
    CAPTURE(failing);
    entry_with_agents simulation{12, failing};
    REQUIRE(simulation.ready());
    constexpr int requests = 2000;
    for (int n = 0; n < requests; ++n)
        simulation.request(0ms);
    CHECK(simulation.requests == requests);
    CHECK(simulation.attempts >= simulation.requests);
    CHECK(simulation.attempts * 10 <= simulation.requests * 12);
    if (failing == 6)
        CHECK(simulation.succeeded * 100 >= simulation.requests * 95);
}

TEST_CASE(
    "the budget is capped, earned by requests and consumed only by retries")
{
    retry_budget budget;
    std::size_t retries = 0;
    for (; budget.available(); ++retries)
        budget.take();
    CHECK(retries == 10);
    constexpr int requests = 100;
    for (int n = 0; n < requests; ++n)
        budget.on_request();
    for (retries = 0; budget.available(); ++retries)
        budget.take();
    CHECK(retries <= 15);

    // The second failure is not retried, because there is no third agent.
    entry_with_agents simulation{2, 2};
    for (int n = 0; n < 5; ++n)
        simulation.request(0ms);
    CHECK(simulation.attempts == 10);
    for (int n = 0; n < 5; ++n)
        simulation.request(0ms);
    CHECK(simulation.attempts == 20);
}

TEST_CASE("each attempt carries the time that is left until the deadline")
{
    entry_with_agents simulation{3, 3};
    simulation.request(1s);
    REQUIRE(simulation.timeouts_us.size() == 3);
    CHECK(simulation.timeouts_us[0] == 10'000'000);
    CHECK(simulation.timeouts_us[1] == 9'000'000);
    CHECK(simulation.timeouts_us[2] == 8'000'000);
}
