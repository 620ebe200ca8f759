#pragma once

#include <hornbeamweir/core/error.hpp>
#include <hornbeamweir/entry/inbound_request.hpp>
#include <hornbeamweir/entry/token_stream.hpp>
#include <hornbeamweir/idempotency/claim.hpp>
#include <hornbeamweir/routing/routing_policy.hpp>

#include <optional>
#include <proxy.pb.h>
#include <set>
#include <variant>
#include <vector>

namespace hornbeamweir
{

/// \brief Requests a backend server; on_chosen() receives the result.
struct choose_backend
{
    std::set<backend_server_id> excluded;
    /// Whether the attempt is charged to the retry budget.
    bool retry = false;
};

/// \brief Requests a durable claim; on_claimed() receives the result.
struct make_claim
{
    claim_request request;
};

/// \brief Releases a claim under which nothing was or will be executed.
struct release_claim
{
    std::string claim;
    /// Fencing token of the claim.
    std::uint64_t fence = 0;
};

/// \brief Sends an attempt to a backend server's agent.
struct start_attempt
{
    backend_server_id target;
    /// Number of the attempt, from 1.
    std::uint32_t attempt = 0;
    /// Incarnation of the target's agent.
    std::uint64_t incarnation = 0;
    /// Fencing token of the claim; 0 without a claim.
    std::uint64_t fence = 0;
    /// Whether the agent may only replay a recorded response, not execute.
    bool replay_only = false;
    /// Number of tokens already relayed when an interrupted stream is resumed;
    /// 0 otherwise.
    std::uint32_t resume_from_token = 0;
};

/// \brief Tells the agent that an attempt's response is no longer needed.
struct cancel_attempt
{
    backend_server_id target;
    std::uint32_t attempt = 0;
};

/// \brief Reports that an attempt has ended and no longer counts as load.
struct attempt_ended
{
    backend_server_id target;
    std::uint32_t attempt = 0;
    attempt_outcome outcome = attempt_outcome::failed;
};

struct relay_head
{
    unsigned status = 0;
    header_list headers;
};

struct relay_data
{
    std::string bytes;
};

struct relay_end
{
};

/// \brief Sends the caller an error response. Used only while no response head
/// has been relayed.
struct fail_request
{
    error reason;
    execution_state state = execution_state::not_run;
};

/// \brief Aborts a response that was relayed in part.
struct abort_relay
{
    error reason;
    execution_state state = execution_state::may_have_run;
};

using request_action = std::variant<
    choose_backend,
    make_claim,
    release_claim,
    start_attempt,
    cancel_attempt,
    attempt_ended,
    relay_head,
    relay_data,
    relay_end,
    fail_request,
    abort_relay>;

using request_actions = std::vector<request_action>;

/// \brief A backend server chosen for an attempt.
struct chosen_backend
{
    backend_server_id id;
    /// Incarnation of the backend server's agent.
    std::uint64_t incarnation = 0;
};

/// \brief State machine of one request: claim, attempts, and relay of the
/// response.
/// \remarks Sans-I/O. Ends with exactly one of relay_end, fail_request and
/// abort_relay, unless the caller disconnects first.
class request_machine
{
public:
    static constexpr std::uint32_t max_attempts = 4;

    explicit request_machine(inbound_request request);

    [[nodiscard]] request_actions start();

    /// \param target Empty if no backend server is available.
    [[nodiscard]] request_actions
    on_chosen(std::optional<chosen_backend> target);

    [[nodiscard]] request_actions on_claimed(claim_outcome const& outcome);

    /// \brief Handles a claim granted for a backend server that has been taken
    /// out of service since it was chosen.
    [[nodiscard]] request_actions
    on_claimed_out_of_service(std::uint64_t fence);

    /// \brief Handles one frame of the response. Drops frames of another
    /// attempt, late frames and duplicates.
    /// \param budget_available Whether the retry budget allows another attempt.
    [[nodiscard]] request_actions
    on_answer(wire::answer const& frame, bool budget_available);

    /// \brief Handles the loss of the current attempt's agent: it restarted, is
    /// unreachable or was removed.
    /// \param sent Whether the attempt may have reached the agent.
    /// \param budget_available Whether the retry budget allows another attempt.
    [[nodiscard]] request_actions
    on_agent_lost(bool sent, bool budget_available);

    [[nodiscard]] request_actions on_deadline();
    [[nodiscard]] request_actions on_caller_disconnected();
    /// \brief Ends the request as complete: the caller has got as many bytes as
    /// the head of the response states.
    [[nodiscard]] request_actions on_delivered();

    [[nodiscard]] inbound_request const& request() const noexcept
    {
        return request_;
    }
    [[nodiscard]] bool finished() const noexcept
    {
        return phase_ == phase::finished;
    }
    /// \brief Whether the request waits for a backend server to be chosen.
    [[nodiscard]] bool is_choosing() const noexcept
    {
        return phase_ == phase::choosing;
    }
    /// \brief Backend server of the current or last attempt; empty before the
    /// first choice.
    [[nodiscard]] std::optional<backend_server_id> const&
    target() const noexcept
    {
        return target_;
    }
    [[nodiscard]] std::uint32_t attempt() const noexcept { return attempt_; }
    [[nodiscard]] std::uint64_t dropped_frames() const noexcept
    {
        return dropped_frames_;
    }

private:
    enum class phase
    {
        choosing,
        claiming,
        awaiting_head,
        receiving_body,
        finished
    };

    [[nodiscard]] request_actions
    on_failure(error reason, execution_state state, bool budget_available);
    [[nodiscard]] request_actions finish_with_error(
        error reason,
        execution_state state,
        attempt_outcome outcome = attempt_outcome::failed);
    [[nodiscard]] request_actions complete();
    [[nodiscard]] request_actions begin_attempt(bool replay_only);
    [[nodiscard]] request_actions retry();
    [[nodiscard]] bool
    can_retry(execution_state state, bool budget_available) const noexcept;
    [[nodiscard]] bool can_resume() const noexcept;
    [[nodiscard]] request_actions
    handle_head(wire::answer_head const& head, bool budget_available);
    [[nodiscard]] request_actions handle_data(std::string const& bytes);
    [[nodiscard]] request_actions handle_end(bool budget_available);
    [[nodiscard]] request_actions
    handle_frame(wire::answer const& frame, bool budget_available);
    void end_attempt(request_actions& out, attempt_outcome outcome);
    [[nodiscard]] bool attempt_in_flight() const noexcept
    {
        return phase_ == phase::awaiting_head ||
               phase_ == phase::receiving_body;
    }

    inbound_request request_;
    phase phase_ = phase::choosing;
    std::set<backend_server_id> excluded_;
    std::optional<backend_server_id> target_;
    std::uint64_t target_incarnation_ = 0;
    std::uint64_t fence_ = 0;
    std::uint32_t attempt_ = 0;
    std::uint64_t next_sequence_ = 0;
    std::uint64_t dropped_frames_ = 0;
    bool replaying_ = false;
    /// Whether the response head of any attempt was relayed.
    bool head_relayed_ = false;
    unsigned status_ = 0;
    /// Set while the response is a resumable stream.
    std::optional<token_stream> stream_;
    /// Whether any attempt so far may have been executed.
    bool may_have_run_ = false;
};

} // namespace hornbeamweir
