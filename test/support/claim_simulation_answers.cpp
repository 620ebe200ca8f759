#include "test/support/claim_simulation_nodes.hpp"

/// \file
/// \brief Checks of the results that callers receive in the simulation.

using namespace hornbeamweir;

namespace test
{

void claim_simulation::on_request_failed(
    active_request const& request, fail_request const& action)
{
    result_code const code = action.reason.code;
    ++result_
          .failures[std::string{name_of(code)} + " " + action.reason.message];
    if (code == result_code::key_reused)
    {
        ++result_.reused;
        return;
    }
    if (action.state != execution_state::not_run)
    {
        ++result_.may_have_run;
        return;
    }
    ++result_.not_run;
    reported_not_run_.push_back(request.machine.request().id);
    if (recovered_since_ != time_point{} &&
        request.machine.request().arrived > recovered_since_)
        report_violation(
            "rejected after the faults ended: " + action.reason.message);
    // If the claim was not decided, the entry cannot know of earlier requests
    // with the key.
    bool const claim_undecided =
        code == result_code::platform_unavailable ||
        code == result_code::platform_outcome_unknown ||
        code == result_code::deadline_exceeded;
    auto const executed = executed_at_.find(request.key);
    if (!claim_undecided && executed != executed_at_.end() &&
        executed->second < request.machine.request().arrived)
        report_violation(
            "reported as not run, but its key was executed before: " +
            request.key);
}

void claim_simulation::on_request_completed(active_request const& request)
{
    ++result_.done;
    std::string const body = request.machine.request().message.body;
    if (request.relayed != answer_for(request.key, body))
        report_violation("unexpected answer: " + request.relayed);
}

} // namespace test
