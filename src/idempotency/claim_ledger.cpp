#include <hornbeamweir/idempotency/claim_ledger.hpp>
#include <hornbeamweir/idempotency/claim_record.hpp>

#include <algorithm>
#include <set>

namespace hornbeamweir
{

namespace
{

/// Weights of failed calls, which add up until the platform replies: calls that
/// may have taken effect, and calls that certainly did not.
constexpr unsigned uncertain_failure_weight = 1;
constexpr unsigned definite_failure_weight = 2;

/// Commit rate that all entries share.
constexpr duration::rep total_commits_per_s = 150;

ledger_decision
make_decision(claim_request const& request, claim_verdict verdict)
{
    return {request.id, request.claim, {verdict, 0, {}, 0}};
}

} // namespace

ledger_limits make_ledger_limits(std::size_t entries) noexcept
{
    ledger_limits limits;
    duration const share =
        duration{std::chrono::seconds{entries}} / total_commits_per_s;
    limits.commit_interval = std::max(limits.commit_interval, share);
    return limits;
}

claim_ledger::claim_ledger(ledger_limits limits) noexcept
    : limits_{limits}
{
}

std::size_t claim_ledger::pending() const noexcept
{
    std::size_t n = queue_.size();
    for (auto it = in_flight_.begin(); it != in_flight_.end(); ++it)
        n += it->second.size();
    return n;
}

// A single call of unknown outcome does not mean that the platform is failing,
// but a call that certainly had no effect does.
bool claim_ledger::failing() const noexcept
{
    return failure_weight_ >= definite_failure_weight;
}

ledger_actions claim_ledger::begin(claim_request request, time_point now)
{
    if (failing())
        return {make_decision(request, claim_verdict::unavailable)};
    operation op;
    op.claim = request.claim;
    op.expected_revision = static_cast<std::int64_t>(request.previous_fence);
    op.request = std::move(request);
    queue_.push_back(std::move(op));
    ledger_actions out;
    flush(out, now);
    return out;
}

ledger_actions claim_ledger::release(
    std::string const& claim, std::uint64_t fence, time_point now)
{
    operation op;
    op.claim = claim;
    op.expected_revision = static_cast<std::int64_t>(fence);
    queue_.push_back(std::move(op));
    ledger_actions out;
    flush(out, now);
    return out;
}

ledger_actions claim_ledger::on_tick(time_point now)
{
    ledger_actions out;
    flush(out, now);
    probe_platform(out, now);
    return out;
}

// Probes a failing platform with a lease request instead of a claim, so that
// claims can be rejected at once until the platform has recovered.
void claim_ledger::probe_platform(ledger_actions& out, time_point now)
{
    if (!failing() || lease_requested_ || pending() > 0 || now < next_commit_)
        return;
    lease_requested_ = true;
    lease_requested_at_ = now;
    out.emplace_back(
        ledger_lease{limits_.retention + 2 * limits_.lease_renewal_age});
}

bool claim_ledger::lease_usable(time_point now) const noexcept
{
    return lease_id_ != 0 &&
           now - lease_started_at_ < 2 * limits_.lease_renewal_age;
}

void claim_ledger::request_lease(ledger_actions& out, time_point now)
{
    if (lease_requested_ ||
        (lease_id_ != 0 && now - lease_started_at_ < limits_.lease_renewal_age))
        return;
    lease_requested_ = true;
    lease_requested_at_ = now;
    // A claim that is made at the maximum age of its lease is still kept for
    // the retention time.
    out.emplace_back(
        ledger_lease{limits_.retention + 2 * limits_.lease_renewal_age});
}

void claim_ledger::flush(ledger_actions& out, time_point now)
{
    if (queue_.empty() || now < next_commit_ ||
        in_flight_.size() >= limits_.max_in_flight)
        return;
    request_lease(out, now);
    if (!lease_usable(now))
        return;
    batch operations = take_batch();
    std::uint64_t const token = next_token_++;
    out.emplace_back(ledger_commit{token, make_transaction(operations)});
    in_flight_.emplace(token, std::move(operations));
    next_commit_ = now + limits_.commit_interval;
}

// A transaction may write each key only once, so a second claim of the same key
// stays in the queue.
claim_ledger::batch claim_ledger::take_batch()
{
    batch operations;
    std::deque<operation> rest;
    std::set<std::string> keys;
    for (operation& op : queue_)
    {
        bool const fits = operations.size() < limits_.max_operations &&
                          keys.insert(op.claim).second;
        if (fits)
            operations.push_back(std::move(op));
        else
            rest.push_back(std::move(op));
    }
    queue_ = std::move(rest);
    return operations;
}

transaction claim_ledger::make_transaction(batch const& operations) const
{
    transaction commit;
    for (operation const& op : operations)
    {
        std::string const key = claim_key(op.claim);
        commit.conditions.push_back({key, op.expected_revision});
        if (op.request)
            commit.writes.push_back(
                {key, encode_claim(*op.request), lease_id_});
        else
            commit.writes.push_back({key, std::nullopt, 0});
        commit.reads_on_failure.push_back(key);
    }
    return commit;
}

ledger_actions claim_ledger::on_commit(
    std::uint64_t token, result<transaction_reply> const& reply, time_point now)
{
    auto const found = in_flight_.find(token);
    if (found == in_flight_.end())
        return {};
    batch operations = std::move(found->second);
    in_flight_.erase(found);
    ledger_actions out;
    if (!reply)
    {
        bool const may_have_written =
            reply.error().code != result_code::platform_unavailable;
        // The platform refuses commits whose lease has expired.
        if (reply.error().code == result_code::platform_refused)
            lease_id_ = 0;
        on_failed(out, std::move(operations), may_have_written, now);
        flush(out, now);
        return out;
    }
    failure_weight_ = 0;
    // In reverse order, because requeue() inserts at the front of the queue.
    for (auto it = operations.rbegin(); it != operations.rend(); ++it)
        apply_reply(out, std::move(*it), *reply);
    flush(out, now);
    return out;
}

// A single condition that does not hold fails the entire transaction; claims
// whose own condition holds are queued again for the next one.
void claim_ledger::apply_reply(
    ledger_actions& out, operation op, transaction_reply const& reply)
{
    if (reply.succeeded)
    {
        if (!op.request)
            return;
        claim_request const& request = *op.request;
        out.emplace_back(ledger_decision{
            request.id,
            request.claim,
            {claim_verdict::granted,
             static_cast<std::uint64_t>(reply.revision),
             request.holder,
             request.holder_incarnation}});
        return;
    }
    auto const stored = reply.values.find(claim_key(op.claim));
    std::int64_t const revision =
        stored == reply.values.end() ? 0 : stored->second.modify_revision;
    if (revision == op.expected_revision)
    {
        requeue(std::move(op));
        return;
    }
    if (!op.request)
        return;
    if (revision == 0)
    {
        // The earlier claim was released or has expired, so the key is free.
        op.expected_revision = 0;
        requeue(std::move(op));
        return;
    }
    out.emplace_back(ledger_decision{
        op.request->id, op.claim, evaluate_claim(*op.request, stored->second)});
}

// A claim that may be durable is committed again. Its condition makes the
// second commit read the outcome of the first, or prevents the first from
// taking effect later.
void claim_ledger::on_failed(
    ledger_actions& out,
    batch operations,
    bool may_have_written,
    time_point now)
{
    failure_weight_ +=
        may_have_written ? uncertain_failure_weight : definite_failure_weight;
    if (failing())
    {
        next_commit_ = now + limits_.backoff;
        reject_queued(out);
    }
    for (auto it = operations.rbegin(); it != operations.rend(); ++it)
    {
        it->may_be_committed = it->may_be_committed || may_have_written;
        ++it->failed_calls;
        if (it->may_be_committed && it->failed_calls <= limits_.max_read_backs)
            requeue(std::move(*it));
        else if (it->request)
            out.emplace_back(make_decision(
                *it->request,
                it->may_be_committed ? claim_verdict::unknown
                                     : claim_verdict::unavailable));
    }
}

void claim_ledger::reject_queued(ledger_actions& out)
{
    std::deque<operation> kept;
    for (operation& op : queue_)
    {
        if (op.may_be_committed || !op.request)
            kept.push_back(std::move(op));
        else
            out.emplace_back(
                make_decision(*op.request, claim_verdict::unavailable));
    }
    queue_ = std::move(kept);
}

void claim_ledger::requeue(operation op)
{
    queue_.push_front(std::move(op));
}

ledger_actions
claim_ledger::on_lease(result<std::int64_t> const& lease, time_point now)
{
    ledger_actions out;
    lease_requested_ = false;
    if (lease && *lease != 0)
    {
        lease_id_ = *lease;
        lease_started_at_ = lease_requested_at_;
        failure_weight_ = 0;
        flush(out, now);
        return out;
    }
    if (failing() || !lease_usable(now))
    {
        batch operations{
            std::make_move_iterator(queue_.begin()),
            std::make_move_iterator(queue_.end())};
        queue_.clear();
        on_failed(out, std::move(operations), false, now);
    }
    return out;
}

} // namespace hornbeamweir
