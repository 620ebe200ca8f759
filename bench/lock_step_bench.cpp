#include <hornbeamweir/relay/load_report_schedule.hpp>
#include <hornbeamweir/relay/relay_core.hpp>

#include "lock_step/callers.hpp"
#include "lock_step/engine_group.hpp"

#include <cstdio>
#include <fstream>
#include <set>

/// \file
/// \brief Simulates, in virtual time, the entries of a lock-step group under
/// more load than it can serve while its experts are unevenly loaded.

namespace
{

using namespace hornbeamweir;
using namespace bench::lock_step;
using std::chrono::milliseconds;

constexpr std::uint64_t seed = 20261204;
constexpr std::size_t ranks = 63;
constexpr std::size_t entries = 13;
constexpr double requests_per_second = 259;
constexpr duration run_time = std::chrono::seconds{34};
constexpr duration resolution = milliseconds{1};
constexpr duration tick_interval = milliseconds{20};
/// Demand for experts changes this often, and the skew rises until the map
/// that follows is in force.
constexpr duration change_interval = milliseconds{2530};
constexpr double skew_after_change = 3.0;
constexpr double balanced_skew = 1.38;

struct scenario
{
    char const* name;
    /// Time from a change of demand to the map that follows it.
    duration map_lag;
    /// Minimum credit: the floor of the users' quiet day where no map ever
    /// follows the demand in time, else their target.
    double min_credit;
};

constexpr scenario scenarios[] = {
    {"no map follows", change_interval, 0.44},
    {"maps follow within 1 s", milliseconds{1000}, 0.62},
    {"maps follow within 0.5 s", milliseconds{500}, 0.62}};

/// A request that can't be served is rejected before its caller would have
/// given up on it.
constexpr duration max_rejection_wait = milliseconds{1000};
/// Callers that give up waiting, as a fraction of the requests; they should
/// have been told when to come back instead.
constexpr double max_abandoned = 0.01;

engine_profile profile()
{
    engine_profile out;
    out.slots = 10;
    out.stride = 5;
    out.step = duration{4550};
    out.per_sequence = duration{1090};
    out.prompt_tokens_per_second = 61'400;
    out.mean_prompt_tokens = 800;
    out.expert_share = 0.85;
    return out;
}

route_configuration configuration(caller_patience const& patience)
{
    route it;
    it.name = "stream";
    it.host = "h";
    it.prefix = "/";
    it.services = {{service_name{"lm"}, 1}};
    it.retries = retry_class::resumable_stream;
    it.streaming = true;
    it.open_to_all = true;
    it.timeout = patience.deadline;
    it.target_latency = patience.target_latency;
    it.target_gap = patience.target_gap;
    it.max_attempts = 2;
    route_configuration out;
    out.version = 1;
    out.routes = {it};
    out.services = {{service_name{"lm"}, 400, profile()}};
    return out;
}

std::map<backend_server_id, replica> replicas()
{
    std::map<backend_server_id, replica> out;
    for (std::size_t rank = 0; rank < ranks; ++rank)
    {
        replica it;
        it.id = backend_server_id{std::to_string(rank)};
        it.service = service_name{"lm"};
        it.address = "127.0.0.1:" + std::to_string(1 + rank);
        it.slots = profile().slots;
        out.emplace(it.id, it);
    }
    return out;
}

class simulation
{
public:
    explicit simulation(scenario const& conditions)
        : conditions_{conditions}
        , random_{seed}
        , group_{profile(), ranks}
    {
        for (std::size_t n = 0; n < entries; ++n)
        {
            cores_.push_back(std::make_unique<relay::relay_core>(
                relay::relay_settings{}, log_, metrics_, random_source{n + 1}));
            static_cast<void>(
                cores_[n]->routes().update(configuration(patience_), now_));
            static_cast<void>(cores_[n]->replicas().update(replicas(), now_));
        }
    }

    caller_totals run()
    {
        time_point const end = now_ + run_time;
        time_point next_arrival = now_;
        while (now_ < end)
        {
            while (next_arrival <= now_)
            {
                next_arrival += interarrival_time();
                send_new();
            }
            send_retries();
            run_group();
            if ((now_ - time_point{}) % tick_interval == duration::zero())
                tick();
            exchange_loads();
            now_ += resolution;
        }
        return totals_;
    }

private:
    duration interarrival_time()
    {
        constexpr double us_per_s = 1e6;
        return duration{static_cast<duration::rep>(
            -std::log(1 - random_.unit()) * us_per_s / requests_per_second)};
    }

    [[nodiscard]] double skew() const
    {
        bool const follows =
            (now_ - time_point{}) % change_interval >= conditions_.map_lag;
        return follows ? balanced_skew : skew_after_change;
    }

    void send_new()
    {
        ++totals_.requests;
        caller_request it;
        it.work = draw_work(random_);
        it.first_sent = now_;
        send(it);
    }

    void send(caller_request it)
    {
        std::size_t const entry = random_.below(entries);
        std::uint64_t const exchange = ++last_exchange_;
        it.attempt_sent = now_;
        it.last_event = now_;
        callers_[exchange] = {entry, it};
        relay_request message;
        message.method = "POST";
        message.host = "h";
        message.target = "/x";
        message.caller_timeout = it.first_sent + patience_.deadline - now_;
        apply(
            entry,
            cores_[entry]->on_request(exchange, std::move(message), now_));
    }

    void send_retries()
    {
        while (!retries_.empty() && retries_.begin()->first <= now_)
        {
            caller_request const it = retries_.begin()->second;
            retries_.erase(retries_.begin());
            send(it);
        }
    }

    void apply(std::size_t entry, relay::actions const& out)
    {
        for (relay::action const& it : out)
        {
            if (relay::open_attempt const* const open =
                    std::get_if<relay::open_attempt>(&it))
            {
                group_.submit(
                    std::stoul(open->target.id.str()),
                    {entry, open->exchange, open->attempt},
                    callers_.at(open->exchange).second.work);
                attempts_[open->exchange] = open->attempt;
            }
            else if (
                relay::close_attempt const* const close =
                    std::get_if<relay::close_attempt>(&it))
                group_.cancel(
                    {entry, close->exchange, attempts_[close->exchange]});
            else if (
                relay::send_error const* const error =
                    std::get_if<relay::send_error>(&it))
                on_rejected(error->exchange, error->retry_after);
        }
    }

    void on_rejected(std::uint64_t exchange, std::optional<duration> delay)
    {
        auto const found = callers_.find(exchange);
        if (found == callers_.end())
            return;
        caller_request it = found->second.second;
        callers_.erase(found);
        totals_.max_rejection_wait =
            std::max(totals_.max_rejection_wait, now_ - it.attempt_sent);
        totals_.held += now_ - it.attempt_sent;
        if (it.retried || !delay)
        {
            ++totals_.rejected;
            return;
        }
        it.retried = true;
        retries_.emplace(now_ + *delay, it);
    }

    void run_group()
    {
        if (pass_ends_ && now_ >= *pass_ends_)
        {
            pass_ends_.reset();
            for (stream_event const& it : group_.end_pass())
                on_event(it);
        }
        if (pass_ends_)
            return;
        duration const length = group_.begin_pass(skew());
        if (length > duration::zero())
            pass_ends_ = now_ + length;
    }

    void on_event(stream_event const& event)
    {
        auto const found = callers_.find(event.key.exchange);
        if (found == callers_.end())
            return;
        caller_request& it = found->second.second;
        it.late =
            it.late ||
            (it.has_event ? now_ - it.last_event > patience_.target_gap
                          : now_ - it.first_sent > patience_.target_latency);
        it.last_event = now_;
        std::size_t const entry = event.key.entry;
        relay::relay_core& core = *cores_[entry];
        std::uint64_t const exchange = event.key.exchange;
        std::uint32_t const attempt = event.key.attempt;
        if (!it.has_event)
        {
            replica_response_head head;
            head.status = 200;
            head.is_signed = true;
            apply(entry, core.on_head(exchange, attempt, head, now_));
        }
        it.has_event = true;
        std::string const bytes =
            "id: " + std::to_string(event.number) + "\ndata: x\n\n";
        apply(entry, core.on_data(exchange, attempt, bytes, now_));
        if (!event.last)
            return;
        ++(it.late ? totals_.late : totals_.on_time);
        callers_.erase(found);
        apply(entry, core.on_end(exchange, attempt, now_));
    }

    void tick()
    {
        std::vector<std::uint64_t> leaving;
        for (auto const& [exchange, caller] : callers_)
        {
            if (now_ - caller.second.last_event > patience_.max_silence ||
                now_ - caller.second.first_sent > patience_.deadline)
                leaving.push_back(exchange);
        }
        for (std::uint64_t const exchange : leaving)
        {
            auto const found = callers_.find(exchange);
            std::size_t const entry = found->second.first;
            totals_.held += now_ - found->second.second.attempt_sent;
            ++totals_.abandoned;
            callers_.erase(found);
            apply(entry, cores_[entry]->on_caller_disconnected(exchange, now_));
        }
        for (std::size_t n = 0; n < entries; ++n)
        {
            cores_[n]->routes().confirm(now_);
            apply(n, cores_[n]->on_tick(now_));
        }
    }

    void exchange_loads()
    {
        for (std::size_t from = 0; from < entries; ++from)
        {
            replica_load_tracker const& loads = cores_[from]->loads();
            if (!schedules_[from].is_due(loads, now_))
                continue;
            schedules_[from].on_reported(loads, now_);
            for (std::size_t to = 0; to < entries; ++to)
            {
                if (from == to)
                    continue;
                cores_[to]->loads().on_peer_load(
                    process_name{std::to_string(from)},
                    loads.local_in_flight(),
                    now_);
            }
        }
    }

    scenario conditions_;
    caller_patience patience_;
    random_source random_;
    null_event_log log_;
    metrics_registry metrics_;
    engine_group group_;
    std::vector<std::unique_ptr<relay::relay_core>> cores_;
    std::array<load_report_schedule, entries> schedules_;
    /// Open requests by exchange, with their entry.
    std::map<std::uint64_t, std::pair<std::size_t, caller_request>> callers_;
    std::map<std::uint64_t, std::uint32_t> attempts_;
    std::multimap<time_point, caller_request> retries_;
    std::optional<time_point> pass_ends_;
    std::uint64_t last_exchange_ = 0;
    time_point now_{std::chrono::seconds{0}};
    caller_totals totals_;
};

bool check(bool holds, char const* scenario, char const* bound)
{
    std::printf("%s %s, %s\n", holds ? "held  " : "BROKEN", scenario, bound);
    return holds;
}

} // namespace

int main(int argc, char** argv)
{
    std::ofstream csv{argc > 1 ? argv[1] : "lock_step.csv"};
    csv << "scenario,requests,on_time,late,rejected,abandoned,credit\n";
    std::printf(
        "%-26s %8s %8s %8s %8s %9s %7s %8s\n",
        "scenario",
        "requests",
        "on time",
        "late",
        "rejected",
        "abandoned",
        "credit",
        "max wait");
    bool held = true;
    for (scenario const& it : scenarios)
    {
        caller_totals const totals = simulation{it}.run();
        std::printf(
            "%-26s %8u %8u %8u %8u %9u %7.3f %5lld ms\n",
            it.name,
            totals.requests,
            totals.on_time,
            totals.late,
            totals.rejected,
            totals.abandoned,
            totals.credit(),
            static_cast<long long>(std::chrono::duration_cast<milliseconds>(
                                       totals.max_rejection_wait)
                                       .count()));
        csv << it.name << ',' << totals.requests << ',' << totals.on_time << ','
            << totals.late << ',' << totals.rejected << ',' << totals.abandoned
            << ',' << totals.credit() << '\n';
        held = check(
                   totals.credit() >= it.min_credit,
                   it.name,
                   "credit above the floor or target") &&
               held;
        held = check(
                   totals.max_rejection_wait <= max_rejection_wait,
                   it.name,
                   "rejections without a long wait") &&
               held;
        held = check(
                   totals.abandoned <= max_abandoned * totals.requests,
                   it.name,
                   "callers rejected rather than kept waiting") &&
               held;
    }
    return held ? 0 : 1;
}
