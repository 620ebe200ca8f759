#include "test/support/deployment.hpp"

#include <catch2/catch.hpp>

#include <thread>

using test::deployment;
using test::finished_process;

namespace
{

std::string note(std::string const& id, int base, std::string const& body)
{
    return "note: " + id + "\nbase_revision: " + std::to_string(base) + "\n" +
           body + "\n";
}

void set_faults(deployment const& system, std::string const& body)
{
    static_cast<void>(test::send_request(
        system.platform_port(), {"POST", "/faults", {}, body}));
}

bool contains(finished_process const& it, std::string const& text)
{
    return it.output.find(text) != std::string::npos;
}

std::string const raise_burst =
    "changed: {customers: [{id: vizijel, burst: 7}]}";

} // namespace

TEST_CASE("release notes come into force everywhere, once")
{
    deployment system{{2, 1, 1, 5}};
    system.apply_first_note();

    SECTION("applying the same note again changes nothing")
    {
        std::string const file = system.write("n.yaml", system.first_note());
        finished_process const again = system.operate({"apply", file});
        CHECK(again.code == 0);
        CHECK(contains(again, "it had been applied before"));
        CHECK(contains(again, "accepted as revision 1"));
    }
    SECTION("reusing a note id with different content is a conflict")
    {
        std::string const file =
            system.write("n.yaml", note("first", 1, raise_burst));
        CHECK(system.operate({"apply", file}).code == 3);
    }
    SECTION("one of two concurrent notes gets a conflict naming the objects")
    {
        std::string const mine =
            system.write("a.yaml", note("mine", 1, raise_burst));
        std::string const theirs = system.write(
            "b.yaml",
            note(
                "theirs", 1, "changed: {customers: [{id: tanabe, burst: 9}]}"));
        finished_process first;
        finished_process second;
        std::thread racer{[&] { first = system.operate({"apply", mine}); }};
        second = system.operate({"apply", theirs});
        racer.join();
        CHECK(
            ((first.code == 0 && second.code == 3) ||
             (first.code == 3 && second.code == 0)));
        finished_process const& loser = first.code == 3 ? first : second;
        std::string const winner_object =
            first.code == 3 ? "customers/tanabe" : "customers/vizijel";
        INFO(loser.output);
        CHECK(contains(loser, winner_object));
        CHECK(contains(loser, "base_revision: 2"));
        CHECK(contains(system.operate({"status"}), "revision 2"));
    }
    SECTION("a lost response is resolved from the stored note record")
    {
        set_faults(system, R"({"lose_answers":1})");
        std::string const file =
            system.write("n.yaml", note("second", 1, raise_burst));
        finished_process const applied = system.operate({"apply", file});
        INFO(applied.output);
        CHECK(applied.code == 0);
        CHECK(contains(applied, "accepted as revision 2"));
        CHECK(contains(applied, "in force everywhere"));
    }
    SECTION("plan shows the changes and the required base revision")
    {
        std::string const file =
            system.write("n.yaml", note("second", 0, raise_burst));
        finished_process const planned = system.operate({"plan", file});
        CHECK(planned.code == 3);
        CHECK(contains(planned, "burst: 100 -> 7"));
        CHECK(contains(planned, "set it to 1"));
    }
    SECTION("status works while the platform is unavailable")
    {
        set_faults(system, R"({"down":1})");
        finished_process const status = system.operate({"status"});
        CHECK(status.code == 4);
        CHECK(contains(status, "platform: unreachable"));
        CHECK(contains(status, "entry-0: revision 1, ready"));
    }
    SECTION("an entry that starts without the platform loads from its peers")
    {
        set_faults(system, R"({"down":1})");
        system.process("entry-0").kill();
        system.start_entry(0);
        CHECK(test::eventually(
            [&]
            {
                return test::get(system.admin_port(0), "/status")
                           .body.find("\"revision\":1,") != std::string::npos;
            }));
    }
    SECTION("explain tells why a request went where it did")
    {
        test::http_answer const answer = system.call(
            0,
            "POST",
            "/v1/completions",
            R"({"model":"stroke-coach","max_tokens":2})");
        std::string const* const id =
            find_header(answer.headers, "X-Request-Id");
        REQUIRE(id != nullptr);
        // The caller may receive the last byte before the result is logged.
        finished_process explained;
        CHECK(test::eventually(
            [&]
            {
                explained = system.operate({"explain", *id});
                return contains(explained, "result=ok");
            }));
        CHECK(explained.code == 0);
        CHECK(contains(explained, "event=routing_decision"));
        CHECK(contains(explained, "chosen=rank-0"));
    }
    SECTION("a data centre is taken out of service and back")
    {
        auto const status_of_call = [&]
        {
            return system
                .call(
                    0,
                    "POST",
                    "/v1/completions",
                    R"({"model":"stroke-coach","max_tokens":2})")
                .status;
        };
        finished_process const unknown = system.operate({"evacuate", "x"});
        CHECK(unknown.code == 2);
        CHECK(contains(
            unknown, "found data centre \"x\", expected one of hu-central-a"));
        std::string const file = system.write(
            "n.yaml",
            note(
                "all",
                1,
                "added: {data_centres: [{id: hu-central-a, evacuated: "
                "true}]}"));
        finished_process const planned = system.operate({"plan", file});
        INFO(planned.output);
        CHECK(contains(
            planned, "model stroke-coach: 1 -> 0 backend servers in use"));
        CHECK(contains(planned, "would have no backend server in use"));
        CHECK(contains(planned, "all data centres would be out of service"));
        CHECK(system.operate({"evacuate", "hu-central-a"}).code == 0);
        CHECK(status_of_call() == 503);
        finished_process const again =
            system.operate({"evacuate", "hu-central-a"});
        CHECK(again.code == 0);
        CHECK(contains(again, "already evacuated at revision 2"));
        CHECK(contains(
            system.operate({"status"}),
            "evacuated data centres: hu-central-a"));
        CHECK(system.operate({"restore", "hu-central-a"}).code == 0);
        CHECK(status_of_call() == 200);
    }
    SECTION("drain takes a VM's backend servers out of service")
    {
        CHECK(system.operate({"drain", "vm-rank-0"}).code == 0);
        test::http_answer const answer = system.call(
            0,
            "POST",
            "/v1/completions",
            R"({"model":"stroke-coach","max_tokens":2})");
        CHECK(answer.status == 503);
        CHECK(answer.body.find("not run") != std::string::npos);
        CHECK(find_header(answer.headers, "Retry-After") != nullptr);
    }
}

TEST_CASE("invalid command lines and files give exit code 2")
{
    CHECK(test::run_program("hornbeamweir", {}).code == 2);
    CHECK(test::run_program("hornbeamweir", {"fly"}).code == 2);
    CHECK(test::run_program("hornbeamweir", {"check"}).code == 2);
    CHECK(test::run_program("hornbeamweir", {"check", "/nowhere"}).code == 2);
    CHECK(test::run_program("hornbeamweir", {"status"}).code == 2);
    CHECK(test::run_program("hornbeamweir", {"-o", "xml", "status"}).code == 2);
    CHECK(test::run_program("hornbeamweir-entry", {}).code == 2);
    CHECK(test::run_program("hornbeamweir-agent", {"--oops"}).code == 2);
    CHECK(test::run_program("hornbeamweir-agent", {"--version"}).code == 0);
    CHECK(
        test::run_program("hornbeamweir-entry", {"-s", "/nowhere"}).code == 2);
}
