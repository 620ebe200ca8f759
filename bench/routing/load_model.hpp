#pragma once

#include <hornbeamweir/routing/retry_budget.hpp>

#include "bench/routing/scenario.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <queue>

namespace bench
{

/// \brief Discrete-event simulation of entries that route requests to groups.
/// \remarks The ranks of a group advance in lock-step. Each entry has its own
/// policy and sees the load of the ranks only through delayed reports.
class load_model
{
public:
    using policy_factory = std::function<std::unique_ptr<routing_policy>(
        random_source, load_model const&)>;

    static constexpr std::size_t groups = 12;
    static constexpr std::size_t ranks_per_group = 4;
    static constexpr std::size_t ranks = groups * ranks_per_group;
    static constexpr std::size_t entries = 4;

    load_model(scenario parameters, policy_factory const& make_policy)
        : scenario_{std::move(parameters)}
        , random_{scenario_.seed}
        , ranks_(ranks)
        , stepping_(groups, false)
    {
        ranks_[0].slowdown = scenario_.straggler_slowdown;
        for (std::size_t n = 0; n < entries; ++n)
        {
            entries_.emplace_back();
            entries_.back().policy =
                make_policy(random_source{scenario_.seed + n + 1}, *this);
            for (std::size_t rank = 0; rank < ranks; ++rank)
                entries_.back().candidates.push_back(make_candidate(rank));
            entries_.back().report_times.resize(ranks);
        }
    }

    [[nodiscard]] rank_state const& rank(std::size_t n) const
    {
        return ranks_[n];
    }

    [[nodiscard]] static std::size_t rank_of(routing_candidate const& candidate)
    {
        return std::stoul(candidate.id.str());
    }

    [[nodiscard]] measurement run()
    {
        for (std::size_t rank = 0; rank < ranks; ++rank)
        {
            schedule(
                scenario_.report_interval * static_cast<int>(rank) /
                    static_cast<int>(ranks),
                [this, rank] { report_load(rank); });
        }
        schedule(duration{0}, [this] { on_arrival(); });
        while (!events_.empty() && (now_ < end_ || in_flight_ > 0))
        {
            event const next = events_.top();
            events_.pop();
            now_ = next.at;
            next.run();
        }
        result_.skew = skew_total_ / static_cast<double>(skew_steps_);
        return std::move(result_);
    }

private:
    struct event
    {
        time_point at;
        std::uint64_t sequence = 0;
        std::function<void()> run;

        [[nodiscard]] friend bool operator<(event const& lhs, event const& rhs)
        {
            return lhs.at != rhs.at ? lhs.at > rhs.at
                                    : lhs.sequence > rhs.sequence;
        }
    };

    struct entry_state
    {
        std::unique_ptr<routing_policy> policy;
        std::vector<routing_candidate> candidates;
        /// Time of each rank's last load report.
        std::vector<time_point> report_times;
        hornbeamweir::retry_budget budget;
    };

    static constexpr std::size_t batch_size = 16;
    /// Duration of a step without requests.
    static constexpr double step_base_us = 4000;
    /// Time that each request adds to a step.
    static constexpr double step_request_us = 500;
    static constexpr double mean_tokens = 40;
    static constexpr std::uint32_t max_tokens = 400;
    static constexpr std::uint32_t prefill_steps = 10;
    static constexpr std::uint32_t cached_prefill_steps = 2;
    /// Maximum number of prefixes cached at a rank.
    static constexpr std::size_t cache_size = 20;
    static constexpr std::size_t max_attempts = 4;
    /// Fraction of the cache events that each entry misses.
    static constexpr double event_loss = 0.2;
    /// Time from a change in a cache to the arrival of its event.
    static constexpr duration event_delay = std::chrono::seconds{2};
    /// Time until a failing rank rejects an attempt.
    static constexpr duration failure_delay = std::chrono::milliseconds{5};
    /// Latencies, skew and prefix hits are measured from this time on.
    static constexpr time_point warm_up{std::chrono::seconds{10}};

    static routing_candidate make_candidate(std::size_t rank)
    {
        routing_candidate out;
        out.id = hornbeamweir::backend_server_id{std::to_string(rank)};
        out.group = hornbeamweir::model_group_id{
            std::to_string(rank / ranks_per_group)};
        return out;
    }

    void schedule(duration delay, std::function<void()> run)
    {
        events_.push({now_ + delay, sequence_++, std::move(run)});
    }

    [[nodiscard]] double exponential(double mean)
    {
        return -mean * std::log(1 - random_.unit());
    }

    void on_arrival()
    {
        if (now_ >= end_)
            return;
        double const service_steps = mean_tokens + prefill_steps;
        double const step_us = step_base_us + step_request_us * batch_size;
        double const gap_us =
            service_steps * step_us /
            (scenario_.load * static_cast<double>(batch_size * ranks));
        schedule(
            duration{static_cast<duration::rep>(exponential(gap_us))},
            [this] { on_arrival(); });
        simulated_request request;
        request.entry = random_.below(entries);
        request.arrived = now_;
        request.tokens_left = std::min(
            max_tokens,
            1 + static_cast<std::uint32_t>(exponential(mean_tokens)));
        // Squaring the uniform draw makes low-numbered prefixes more popular.
        double const draw = random_.unit();
        if (scenario_.prefixes > 0)
            request.prefix =
                1 + static_cast<std::uint64_t>(
                        draw * draw * static_cast<double>(scenario_.prefixes));
        ++in_flight_;
        ++result_.requests;
        entries_[request.entry].budget.on_request();
        route(std::move(request));
    }

    void route(simulated_request request)
    {
        entry_state& entry = entries_[request.entry];
        std::vector<routing_candidate> allowed;
        for (std::size_t n = 0; n < ranks; ++n)
        {
            entry.candidates[n].report_age = now_ - entry.report_times[n];
            if (std::find(
                    request.excluded.begin(), request.excluded.end(), n) ==
                request.excluded.end())
                allowed.push_back(entry.candidates[n]);
        }
        routing_query query;
        query.prefix = request.prefix;
        request.rank = std::stoul(
            entry.policy->choose(query, allowed, now_)->chosen.str());
        ++request.attempts;
        request.sent = now_;
        ++result_.attempts;
        ++entry.candidates[request.rank].local_in_flight;
        entry.policy->on_started(entry.candidates[request.rank].id, now_);
        if (request.rank < scenario_.failing_groups * ranks_per_group)
        {
            schedule(failure_delay, [this, request] { fail(request); });
            return;
        }
        std::size_t const group = request.rank / ranks_per_group;
        ranks_[request.rank].queue.push_back(std::move(request));
        if (!stepping_[group])
            step(group);
    }

    void end_attempt(simulated_request const& request, attempt_outcome outcome)
    {
        entry_state& entry = entries_[request.entry];
        --entry.candidates[request.rank].local_in_flight;
        entry.policy->on_ended(
            {entry.candidates[request.rank].id,
             outcome,
             request.prefix,
             now_ - request.sent},
            now_);
    }

    void fail(simulated_request request)
    {
        end_attempt(request, attempt_outcome::failed);
        hornbeamweir::retry_budget& budget = entries_[request.entry].budget;
        if (request.attempts >= max_attempts || !budget.available())
        {
            --in_flight_;
            return;
        }
        budget.take();
        request.excluded.push_back(request.rank);
        route(std::move(request));
    }

    void step(std::size_t group)
    {
        double slowest = 0;
        double total = 0;
        bool busy = false;
        for (std::size_t n = 0; n < ranks_per_group; ++n)
        {
            std::size_t const rank = group * ranks_per_group + n;
            rank_state& state = ranks_[rank];
            fill_batch(rank);
            busy = busy || !state.active.empty();
            double const time_us =
                state.slowdown *
                (step_base_us +
                 step_request_us * static_cast<double>(state.active.size()));
            state.last_step = duration{static_cast<duration::rep>(time_us)};
            slowest = std::max(slowest, time_us);
            total += time_us;
        }
        stepping_[group] = busy;
        if (!busy)
            return;
        if (now_ >= warm_up && now_ < end_)
        {
            skew_total_ += slowest * ranks_per_group / total;
            ++skew_steps_;
        }
        schedule(
            duration{static_cast<duration::rep>(slowest)},
            [this, group]
            {
                for (std::size_t n = 0; n < ranks_per_group; ++n)
                    advance(ranks_[group * ranks_per_group + n]);
                step(group);
            });
    }

    void fill_batch(std::size_t rank)
    {
        rank_state& state = ranks_[rank];
        while (!state.queue.empty() && state.active.size() < batch_size)
        {
            simulated_request request = std::move(state.queue.front());
            state.queue.pop_front();
            bool const hit = request.prefix != 0 && state.holds(request.prefix);
            request.prefill_steps_left =
                hit ? cached_prefill_steps : prefill_steps;
            if (hit && request.arrived >= warm_up)
                ++result_.prefix_hits;
            if (request.prefix != 0)
                cache_prefix(rank, request.prefix);
            state.active.push_back(std::move(request));
        }
    }

    void cache_prefix(std::size_t rank, std::uint64_t prefix)
    {
        rank_state& state = ranks_[rank];
        bool const known = state.holds(prefix);
        state.cached.remove(prefix);
        state.cached.push_front(prefix);
        if (!known)
            send_cache_event({entries_[0].candidates[rank].id, prefix, true});
        if (state.cached.size() <= cache_size)
            return;
        send_cache_event(
            {entries_[0].candidates[rank].id, state.cached.back(), false});
        state.cached.pop_back();
    }

    void send_cache_event(hornbeamweir::cache_event const& change)
    {
        for (entry_state& entry : entries_)
        {
            if (random_.unit() < event_loss)
                continue;
            routing_policy* const policy = entry.policy.get();
            schedule(
                event_delay,
                [this, policy, change]
                { policy->on_cache_event(change, now_); });
        }
    }

    void advance(rank_state& state)
    {
        for (simulated_request& request : state.active)
        {
            --(request.prefill_steps_left > 0 ? request.prefill_steps_left
                                              : request.tokens_left);
            if (request.tokens_left > 0)
                continue;
            end_attempt(request, attempt_outcome::succeeded);
            ++result_.succeeded;
            --in_flight_;
            if (request.arrived >= warm_up)
            {
                result_.latencies_ms.push_back(
                    std::chrono::duration<double, std::milli>(
                        now_ - request.arrived)
                        .count());
            }
        }
        std::erase_if(
            state.active,
            [](simulated_request const& request)
            { return request.tokens_left == 0; });
    }

    void report_load(std::size_t rank)
    {
        rank_state const& state = ranks_[rank];
        std::uint32_t const active =
            static_cast<std::uint32_t>(state.active.size());
        std::uint32_t const queued =
            static_cast<std::uint32_t>(state.queue.size());
        duration const step_time = state.last_step;
        schedule(
            scenario_.report_delay,
            [this, rank, active, queued, step_time]
            {
                for (entry_state& entry : entries_)
                {
                    entry.candidates[rank].reported_in_flight = active;
                    entry.candidates[rank].reported_queued = queued;
                    entry.candidates[rank].reported_step_time = step_time;
                    entry.report_times[rank] = now_;
                }
            });
        schedule(
            scenario_.report_interval, [this, rank] { report_load(rank); });
    }

    scenario scenario_;
    random_source random_;
    std::vector<rank_state> ranks_;
    std::vector<bool> stepping_;
    std::vector<entry_state> entries_;
    std::priority_queue<event> events_;
    std::uint64_t sequence_ = 0;
    time_point now_{};
    time_point end_{std::chrono::seconds{60}};
    std::size_t in_flight_ = 0;
    double skew_total_ = 0;
    std::size_t skew_steps_ = 0;
    measurement result_;
};

} // namespace bench
