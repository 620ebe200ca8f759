#include <hornbeamweir/idempotency/claim_ledger.hpp>
#include <hornbeamweir/idempotency/claim_record.hpp>

#include <algorithm>
#include <set>

namespace hornbeamweir
{

namespace
{

constexpr unsigned lost_answer_weight = 1;
constexpr unsigned refusal_weight = 2;

constexpr duration::rep commits_per_s_of_all_entries = 150;

ledger_decision decide(claim_request const& request, claim_verdict verdict)
{
    return {request.id, request.claim, {verdict, 0, {}, 0}};
}

} // namespace

ledger_limits limits_for(std::size_t entries) noexcept
{
    ledger_limits limits;
    duration const share =
        duration{std::chrono::seconds{entries}} / commits_per_s_of_all_entries;
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

// One lost answer is not yet a failing platform, a refusal is.
bool claim_ledger::failing() const noexcept
{
    return failures_ >= refusal_weight;
}

ledger_actions claim_ledger::begin(claim_request request, time_point now)
{
    if (failing())
        return {decide(request, claim_verdict::unavailable)};
    item it;
    it.claim = request.claim;
    it.expected_revision = static_cast<std::int64_t>(request.previous_fence);
    it.request = std::move(request);
    queue_.push_back(std::move(it));
    ledger_actions out;
    flush(out, now);
    return out;
}

ledger_actions claim_ledger::release(
    std::string const& claim, std::uint64_t fence, time_point now)
{
    item it;
    it.claim = claim;
    it.expected_revision = static_cast<std::int64_t>(fence);
    queue_.push_back(std::move(it));
    ledger_actions out;
    flush(out, now);
    return out;
}

ledger_actions claim_ledger::on_tick(time_point now)
{
    ledger_actions out;
    flush(out, now);
    probe(out, now);
    return out;
}

// No caller waits for a platform that fails: a lease is asked for instead.
void claim_ledger::probe(ledger_actions& out, time_point now)
{
    if (!failing() || lease_requested_ || pending() > 0 || now < next_commit_)
        return;
    lease_requested_ = true;
    lease_requested_at_ = now;
    out.emplace_back(ledger_lease{limits_.retention + 2 * limits_.lease_span});
}

bool claim_ledger::lease_usable(time_point now) const noexcept
{
    return lease_ != 0 && now - lease_since_ < 2 * limits_.lease_span;
}

void claim_ledger::request_lease(ledger_actions& out, time_point now)
{
    if (lease_requested_ ||
        (lease_ != 0 && now - lease_since_ < limits_.lease_span))
        return;
    lease_requested_ = true;
    lease_requested_at_ = now;
    out.emplace_back(ledger_lease{limits_.retention + 2 * limits_.lease_span});
}

void claim_ledger::flush(ledger_actions& out, time_point now)
{
    if (queue_.empty() || now < next_commit_ ||
        in_flight_.size() >= limits_.max_in_flight)
        return;
    request_lease(out, now);
    if (!lease_usable(now))
        return;
    batch items = take_batch();
    std::uint64_t const token = next_token_++;
    out.emplace_back(ledger_commit{token, make_transaction(items)});
    in_flight_.emplace(token, std::move(items));
    next_commit_ = now + limits_.commit_interval;
}

// A transaction may write each key once, so a second claim of a key waits.
claim_ledger::batch claim_ledger::take_batch()
{
    batch items;
    std::deque<item> rest;
    std::set<std::string> keys;
    for (item& it : queue_)
    {
        bool const fits =
            items.size() < limits_.max_claims && keys.insert(it.claim).second;
        if (fits)
            items.push_back(std::move(it));
        else
            rest.push_back(std::move(it));
    }
    queue_ = std::move(rest);
    return items;
}

transaction claim_ledger::make_transaction(batch const& items) const
{
    transaction commit;
    for (item const& it : items)
    {
        std::string const key = claim_key(it.claim);
        commit.conditions.push_back({key, it.expected_revision});
        if (it.request)
            commit.writes.push_back({key, encode_claim(*it.request), lease_});
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
    batch items = std::move(found->second);
    in_flight_.erase(found);
    ledger_actions out;
    if (!reply)
    {
        bool const may_have_written =
            reply.error().code != result_code::platform_unavailable;
        if (reply.error().code == result_code::platform_refused)
            lease_ = 0;
        on_failed(out, std::move(items), may_have_written, now);
        flush(out, now);
        return out;
    }
    failures_ = 0;
    // In reverse, as each is put at the front of the queue.
    for (auto it = items.rbegin(); it != items.rend(); ++it)
        settle(out, std::move(*it), *reply);
    flush(out, now);
    return out;
}

// One condition that does not hold fails the whole transaction: the claims
// whose own conditions held go into the next one.
void claim_ledger::settle(
    ledger_actions& out, item it, transaction_reply const& reply)
{
    if (reply.succeeded)
    {
        if (!it.request)
            return;
        claim_request const& request = *it.request;
        out.emplace_back(ledger_decision{
            request.id,
            request.claim,
            {claim_verdict::granted,
             static_cast<std::uint64_t>(reply.revision),
             request.holder,
             request.holder_incarnation}});
        return;
    }
    auto const stored = reply.values.find(claim_key(it.claim));
    std::int64_t const revision =
        stored == reply.values.end() ? 0 : stored->second.modify_revision;
    if (revision == it.expected_revision)
    {
        requeue(std::move(it));
        return;
    }
    if (!it.request)
        return;
    if (revision == 0)
    {
        // The earlier claim was released, so the key is free again.
        it.expected_revision = 0;
        requeue(std::move(it));
        return;
    }
    out.emplace_back(ledger_decision{
        it.request->id, it.claim, judge_claim(*it.request, stored->second)});
}

// A claim that may be durable is committed again: the conditions make that a
// read of the first commit's outcome, and keep it from taking effect later.
void claim_ledger::on_failed(
    ledger_actions& out, batch items, bool may_have_written, time_point now)
{
    failures_ += may_have_written ? lost_answer_weight : refusal_weight;
    if (failing())
    {
        next_commit_ = now + limits_.backoff;
        refuse_queue(out);
    }
    for (auto it = items.rbegin(); it != items.rend(); ++it)
    {
        it->uncertain = it->uncertain || may_have_written;
        ++it->read_backs;
        if (it->uncertain && it->read_backs <= limits_.max_read_backs)
            requeue(std::move(*it));
        else if (it->request)
            out.emplace_back(decide(
                *it->request,
                it->uncertain ? claim_verdict::unknown
                              : claim_verdict::unavailable));
    }
}

void claim_ledger::refuse_queue(ledger_actions& out)
{
    std::deque<item> kept;
    for (item& it : queue_)
    {
        if (it.uncertain || !it.request)
            kept.push_back(std::move(it));
        else
            out.emplace_back(decide(*it.request, claim_verdict::unavailable));
    }
    queue_ = std::move(kept);
}

void claim_ledger::requeue(item it)
{
    queue_.push_front(std::move(it));
}

ledger_actions
claim_ledger::on_lease(result<std::int64_t> const& lease, time_point now)
{
    ledger_actions out;
    lease_requested_ = false;
    if (lease && *lease != 0)
    {
        lease_ = *lease;
        lease_since_ = lease_requested_at_;
        failures_ = 0;
        flush(out, now);
        return out;
    }
    if (failing() || !lease_usable(now))
    {
        batch items{
            std::make_move_iterator(queue_.begin()),
            std::make_move_iterator(queue_.end())};
        queue_.clear();
        on_failed(out, std::move(items), false, now);
    }
    return out;
}

} // namespace hornbeamweir
