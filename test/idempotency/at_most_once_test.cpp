#include "test/support/claim_simulation.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using test::claim_simulation;
using test::fault_rates;
using test::simulation_result;

namespace
{

constexpr std::uint64_t runs_per_case = 5;

std::string first_violation(std::vector<std::string> const& violations)
{
    return violations.empty() ? std::string{} : violations.front();
}

} // namespace

TEST_CASE("under any faults a key is executed at most once")
{
    rc::prop(
        "at most one execution per key, no executed request reported as not "
        "run, and every request ends",
        []
        {
            std::uint64_t const seed = *rc::gen::arbitrary<std::uint64_t>();
            fault_rates rates;
            rates.loss = *rc::gen::element(0.0, 0.03, 0.2);
            rates.duplicate = *rc::gen::element(0.0, 0.1, 0.5);
            rates.delayed = *rc::gen::element(0.0, 0.05, 0.4);
            rates.lost_platform_reply = *rc::gen::element(0.0, 0.1, 0.5);
            rates.crashes = *rc::gen::inRange(0U, 4U);
            rates.pauses = *rc::gen::inRange(0U, 4U);
            for (std::uint64_t n = 0; n < runs_per_case; ++n)
            {
                simulation_result const result =
                    claim_simulation{seed + n, rates}.run();
                RC_ASSERT(first_violation(result.violations) == "");
            }
        });
}

TEST_CASE("without faults every request is answered from one execution per key")
{
    fault_rates no_faults;
    no_faults.loss = no_faults.duplicate = no_faults.delayed = 0;
    no_faults.lost_platform_reply = no_faults.backend_unreachable =
        no_faults.broken_response = 0;
    no_faults.failed_probe = no_faults.stale_incarnation =
        no_faults.unsendable = 0;
    no_faults.retention_bytes = 1024 * 1024;
    no_faults.crashes = no_faults.pauses = no_faults.outages = 0;
    simulation_result const result = claim_simulation{7, no_faults}.run();
    CAPTURE(result.failures);
    CHECK(result.violations.empty());
    CHECK(result.may_have_run == 0);
    CHECK(result.not_run == 0);
    // Each of 6 keys has 7 requests, one of them with a different body.
    CHECK(result.done + result.reused == 42);
    CHECK(result.executions_by_key.size() == 6);
}
