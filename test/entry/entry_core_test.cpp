#include "test/support/core_fixture.hpp"

#include <catch2/catch.hpp>

using namespace hornbeamweir;
using test::entry_fixture;

namespace
{

template <typename Action>
std::vector<Action> actions_of_type(std::vector<entry_action> const& actions)
{
    std::vector<Action> found;
    for (entry_action const& it : actions)
    {
        if (Action const* const one = std::get_if<Action>(&it))
            found.push_back(*one);
    }
    return found;
}

std::vector<wire::execute> executions(std::vector<entry_action> const& actions)
{
    std::vector<wire::execute> found;
    for (send_envelope const& it : actions_of_type<send_envelope>(actions))
    {
        if (it.message.has_execute())
            found.push_back(it.message.execute());
    }
    return found;
}

http_request_message request(std::string const& target, header_list extra = {})
{
    extra.push_back({"Authorization", "Bearer token"});
    return {"POST", target, std::move(extra), R"({"model":"m"})"};
}

std::string const completions = "/v1/chat/completions";

} // namespace

TEST_CASE("an entry rejects requests until a configuration is active")
{
    entry_fixture entry;
    CHECK(!entry.core.ready());
    static_cast<void>(entry.core.on_request(request(completions), entry.now));
    std::vector<entry_action> const rejected = entry.core.take_actions();
    REQUIRE(actions_of_type<respond_head>(rejected).size() == 1);
    CHECK(actions_of_type<respond_head>(rejected).front().status == 503);
    entry.activate(test::make_configuration(1));
    CHECK(entry.core.ready());
    CHECK(actions_of_type<dial_agent>(entry.core.take_actions()).size() == 2);
}

TEST_CASE("an agent's heartbeat does not announce a configuration revision")
{
    entry_fixture entry;
    entry.activate(test::make_configuration(1));
    entry.pong("rank-0", 7, 999);
    static_cast<void>(entry.core.take_actions());
    entry.activate(test::make_configuration(2));
    CHECK(entry.core.status(entry.now).at("revision").as_uint64() == 2);
}

TEST_CASE(
    "an attempt carries an incarnation and a latest start, but no caller token")
{
    entry_fixture entry;
    entry.activate(test::make_configuration(1));
    entry.pong("rank-0", 7, 1);
    time_point const last_heartbeat = entry.now;
    entry.now += std::chrono::milliseconds{400};
    static_cast<void>(entry.core.on_request(request(completions), entry.now));
    std::vector<wire::execute> const sent =
        executions(entry.core.take_actions());
    REQUIRE(sent.size() == 1);
    CHECK(sent.front().agent_incarnation() == 7);
    // The request arrives 400 ms after the heartbeat, and the attempt must
    // start within 2 s.
    CHECK(
        from_wire(sent.front().start_before_us()) <=
        last_heartbeat + std::chrono::milliseconds{2400});
    for (wire::header_field const& it : sent.front().headers())
        CHECK(it.name() != "Authorization");
}

TEST_CASE("a request is answered with 'may have run' when its agent restarts")
{
    entry_fixture entry;
    entry.activate(test::make_configuration(1));
    entry.pong("service-0", 7, 1);
    static_cast<void>(
        entry.core.on_request(request("/services/s/x"), entry.now));
    REQUIRE(executions(entry.core.take_actions()).size() == 1);
    entry.pong("service-0", 8, 1);
    std::vector<entry_action> const actions = entry.core.take_actions();
    REQUIRE(actions_of_type<respond_data>(actions).size() == 1);
    CHECK(
        actions_of_type<respond_data>(actions).front().bytes.find(
            "may have run") != std::string::npos);
    CHECK(entry.core.live_requests() == 0);
}

TEST_CASE("a request gets a 504 response at the first tick after its deadline")
{
    entry_fixture entry;
    entry.activate(test::make_configuration(1));
    entry.pong("service-0", 7, 1);
    static_cast<void>(entry.core.on_request(
        request("/services/s/x", {{"X-Request-Timeout-Ms", "200"}}),
        entry.now));
    static_cast<void>(entry.core.take_actions());
    entry.now += std::chrono::milliseconds{200};
    entry.core.on_tick(entry.now);
    std::vector<entry_action> const actions = entry.core.take_actions();
    REQUIRE(actions_of_type<respond_head>(actions).size() == 1);
    CHECK(actions_of_type<respond_head>(actions).front().status == 504);
    CHECK(entry.core.live_requests() == 0);
}

TEST_CASE(
    "a request whose backend server is removed during the claim is not run")
{
    entry_fixture entry;
    entry.activate(test::make_configuration(1));
    entry.pong("service-0", 7, 1);
    entry.pong("rank-0", 7, 1);
    // Another request stays in progress, so that the map of requests is not
    // empty: a lookup with a dangling id reads the id only if there are keys to
    // compare it with.
    static_cast<void>(entry.core.on_request(request(completions), entry.now));
    static_cast<void>(entry.core.on_request(
        request("/services/s/x", {{"Idempotency-Key", "k"}}), entry.now));
    entry.core.on_tick(entry.now);
    if (!actions_of_type<grant_platform_lease>(entry.core.take_actions())
             .empty())
        entry.core.on_lease(std::int64_t{1}, entry.now);
    entry.now += std::chrono::milliseconds{100};
    entry.core.on_tick(entry.now);
    std::vector<commit_to_platform> const commits =
        actions_of_type<commit_to_platform>(entry.core.take_actions());
    REQUIRE(commits.size() == 1);
    entry.activate(test::make_configuration(2, false));
    static_cast<void>(entry.core.take_actions());
    entry.core.on_commit(
        commits.front().token, transaction_reply{true, 9, {}}, entry.now);
    std::vector<entry_action> const actions = entry.core.take_actions();
    REQUIRE(actions_of_type<respond_head>(actions).size() == 1);
    CHECK(
        actions_of_type<respond_data>(actions).front().bytes.find("not run") !=
        std::string::npos);
    CHECK(entry.core.live_requests() == 1);
}

// Guards against an answer that the log calls abandoned although its caller got
// all of it: callers may close the connection before the end is known here.
TEST_CASE("a response that was delivered in full is logged as complete")
{
    struct row
    {
        char const* name;
        char const* length;
        std::size_t written;
        char const* expected;
    };
    std::vector<row> const rows{
        {"all bytes were written", "5", 5, "result=ok"},
        {"some bytes were written", "5", 3, "outcome=abandoned"},
        {"without a length", "", 5, "outcome=abandoned"},
        {"with an odd length", "5x", 5, "outcome=abandoned"}};
    for (row const& it : rows)
    {
        CAPTURE(it.name);
        entry_fixture entry;
        entry.activate(test::make_configuration(1));
        entry.pong("service-0", 7, 1);
        request_id const id =
            entry.core.on_request(request("/services/s/x"), entry.now);
        std::vector<wire::execute> const sent =
            executions(entry.core.take_actions());
        REQUIRE(sent.size() == 1);
        wire::envelope head;
        head.mutable_answer()->set_request_id(id.str());
        head.mutable_answer()->set_attempt(sent.front().attempt());
        wire::envelope body = head;
        wire::answer_head& fields = *head.mutable_answer()->mutable_head();
        fields.set_status(200);
        if (*it.length != '\0')
        {
            wire::header_field& field = *fields.add_headers();
            field.set_name("Content-Length");
            field.set_value(it.length);
        }
        body.mutable_answer()->set_sequence(1);
        body.mutable_answer()->set_data("hello");
        for (wire::envelope const& message : {head, body})
            entry.core.on_message(
                {peer_side::dialled, "agent/service-0"}, message, entry.now);
        entry.core.on_response_written(id, it.written);
        entry.core.on_caller_disconnected(id, entry.now);
        CHECK(entry.core.live_requests() == 0);
        std::string lines;
        for (std::string const& line : entry.core.explain(id))
            lines += line + '\n';
        CHECK_THAT(lines, Catch::Contains(it.expected));
    }
}
