#include "test/support/deployment.hpp"

#include <catch2/catch.hpp>

#include <csignal>

using test::deployment;
using test::http_answer;

namespace
{

constexpr char const* completion =
    R"({"model":"stroke-coach","max_tokens":8,"messages":[]})";

http_answer award(deployment const& system, int entry, std::string const& key)
{
    return system.call(
        entry,
        "POST",
        "/services/badges/award",
        "{}",
        {{"Idempotency-Key", key}});
}

bool rejected(http_answer const& answer)
{
    return answer.status == 503 &&
           find_header(answer.headers, "Retry-After") != nullptr &&
           answer.body.find("\"not run\"") != std::string::npos;
}

} // namespace

TEST_CASE("awards are rejected while the platform is unavailable")
{
    deployment system{{2, 1, 1, 5}};
    system.apply_first_note();
    REQUIRE(award(system, 0, "award-1").status == 200);

    SECTION("killed")
    {
        system.process("platform").kill();
        CHECK(rejected(award(system, 0, "award-2")));
        CHECK(system.executions("award-2") == 0);
        CHECK(
            system.call(0, "POST", "/v1/chat/completions", completion).status ==
            200);
    }
    SECTION("suspended and resumed")
    {
        system.process("platform").signal(SIGSTOP);
        CHECK(rejected(award(system, 0, "award-3")));
        CHECK(
            system.call(0, "POST", "/v1/chat/completions", completion).status ==
            200);
        CHECK(system.executions("award-3") == 0);
        system.process("platform").signal(SIGCONT);
        // The delayed claim may still take effect. The request has not been
        // executed, so a retry at another entry executes it.
        REQUIRE(test::eventually(
            [&] { return award(system, 1, "award-3").status == 200; }));
        CHECK(system.executions("award-3") == 1);
        REQUIRE(test::eventually(
            [&] { return award(system, 0, "award-3").status == 200; }));
        CHECK(system.executions("award-3") == 1);
    }
}

TEST_CASE("a claim whose response was lost is read back and executed once")
{
    deployment system{{2, 1, 1, 5}};
    system.apply_first_note();
    hornbeamweir::http_request_message faults;
    faults.method = "POST";
    faults.target = "/faults";
    faults.body = R"({"lose_answers":1})";
    REQUIRE(test::send_request(system.platform_port(), faults).whole);
    http_answer const first = award(system, 0, "award-4");
    CHECK(first.status == 200);
    CHECK(award(system, 1, "award-4").body == first.body);
    CHECK(system.executions("award-4") == 1);
}
