#include "retry_simulation.hpp"

#include "relay_fixture.hpp"

#include <algorithm>

namespace test
{

using namespace hornbeamweir;
using namespace hornbeamweir::relay;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds step_time{10};
constexpr milliseconds report_interval{100};
constexpr milliseconds first_event_time{60};
constexpr milliseconds event_interval{100};
constexpr std::uint64_t events = 20;
constexpr milliseconds stall_time{1500};
constexpr milliseconds caller_timeout{8000};

route stream_route()
{
    route out;
    out.name = "stream";
    out.host = "h";
    out.prefix = "/";
    out.services = {{service_name{"lm"}, 1}};
    out.retries = retry_class::resumable_stream;
    out.streaming = true;
    out.open_to_all = true;
    out.timeout = caller_timeout;
    out.target_latency = milliseconds{400};
    out.max_attempts = 2;
    return out;
}

std::size_t count_within(
    std::vector<time_point> const& in, time_point start, duration length)
{
    auto const from = std::lower_bound(in.begin(), in.end(), start);
    auto const to = std::lower_bound(from, in.end(), start + length);
    return static_cast<std::size_t>(to - from);
}

} // namespace

retry_simulation::retry_simulation(options const& chosen)
    : options_{chosen}
    , random_{chosen.seed}
    , weights_(chosen.entries, 1.0)
    , cut_(chosen.entries)
{
    configuration_.version = 1;
    configuration_.routes = {stream_route()};
    configuration_.services = {{service_name{"lm"}, 400, {}}};
    for (std::size_t n = 0; n < chosen.replicas; ++n)
    {
        replica it;
        it.id = backend_server_id{std::to_string(n)};
        it.service = service_name{"lm"};
        it.address = "127.0.0.1:" + std::to_string(n + 1);
        it.data_centre = data_centre_id{"a"};
        it.slots = 12;
        it.registration_revision = 1;
        replicas_.emplace(it.id, it);
    }
    for (std::size_t n = 0; n < chosen.entries; ++n)
        entries_.push_back(make_entry(n));
}

std::unique_ptr<relay_core> retry_simulation::make_entry(std::size_t number)
{
    relay_settings settings;
    settings.name = process_name{std::to_string(number)};
    settings.data_centre = data_centre_id{"a"};
    settings.retry_budget = options_.limits;
    settings.started_at = now_;
    std::unique_ptr<relay_core> out = std::make_unique<relay_core>(
        settings, log_, metrics_, random_source{random_.next()});
    out->routes().update(configuration_, now_);
    out->loads().set_registered_entries(
        [this, number]
        {
            std::set<process_name> others;
            for (std::size_t n = 0; n < options_.entries; ++n)
            {
                if (n != number)
                    others.emplace(std::to_string(n));
            }
            return others;
        });
    static_cast<void>(out->replicas().update(replicas_, now_));
    return out;
}

void retry_simulation::fail_group(duration down)
{
    if (closed_until_ > now_)
        return;
    stalled_until_ = now_ + stall_time;
    closed_until_ = now_ + std::max<duration>(down, stall_time);
}

void retry_simulation::restart(std::size_t entry)
{
    std::erase_if(
        attempts_, [&](attempt_state const& it) { return it.entry == entry; });
    entries_[entry] = make_entry(entry);
}

void retry_simulation::run(duration time)
{
    for (time_point const end = now_ + time; now_ < end;)
        step();
}

void retry_simulation::step()
{
    now_ += step_time;
    if (stalled_until_ != time_point{} && stalled_until_ <= now_)
        end_stall();
    if (stalled_until_ == time_point{})
        advance_group();
    for (std::size_t n = 0; n < entries_.size(); ++n)
    {
        entries_[n]->routes().confirm(now_);
        apply(n, entries_[n]->on_tick(now_));
    }
    if (now_ - reported_at_ >= report_interval)
        exchange_reports();
    send_requests();
}

void retry_simulation::send_requests()
{
    double total = 0;
    for (double const weight : weights_)
        total += weight;
    due_requests_ += options_.requests_per_second *
                     std::chrono::duration<double>{step_time}.count();
    for (; due_requests_ >= 1; --due_requests_)
    {
        double choice = random_.unit() * total;
        std::size_t entry = 0;
        while (entry + 1 < weights_.size() && choice >= weights_[entry])
            choice -= weights_[entry++];
        relay_request out;
        exchange_id const id = ++last_exchange_;
        out.id = request_id{std::to_string(id)};
        out.method = "POST";
        out.target = "/x";
        out.host = "h";
        out.caller_timeout = caller_timeout;
        requests_.push_back(now_);
        apply(entry, entries_[entry]->on_request(id, std::move(out), now_));
    }
}

void retry_simulation::apply(std::size_t entry, actions const& decided)
{
    for (action const& it : decided)
    {
        if (open_attempt const* const opened = std::get_if<open_attempt>(&it))
        {
            attempt_state created;
            created.entry = entry;
            created.exchange = opened->exchange;
            created.attempt = opened->attempt;
            created.target = opened->target.id;
            created.began = now_;
            created.next_event = opened->resume_after.value_or(0) + 1;
            attempts_.push_back(created);
            on_arrival(created);
        }
        else if (
            close_attempt const* const closed = std::get_if<close_attempt>(&it))
        {
            std::erase_if(
                attempts_,
                [&](attempt_state const& open)
                { return open.exchange == closed->exchange; });
        }
    }
}

void retry_simulation::on_arrival(attempt_state const& it)
{
    if (++arrivals_[it.exchange] > 1)
        retries_.push_back(now_);
}

void retry_simulation::advance_group()
{
    for (attempt_state& it : std::exchange(attempts_, {}))
    {
        if (closed_until_ > now_)
            reject(it);
        else
            advance(std::move(it));
    }
}

void retry_simulation::advance(attempt_state it)
{
    relay_core& entry = *entries_[it.entry];
    if (!it.has_begun && now_ - it.began >= first_event_time)
    {
        it.has_begun = true;
        apply(
            it.entry,
            entry.on_head(it.exchange, it.attempt, signed_response(200), now_));
    }
    duration const since_first = now_ - it.began - first_event_time;
    bool const is_due =
        it.has_begun && since_first.count() % duration{event_interval}.count() <
                            duration{step_time}.count();
    if (is_due && it.next_event <= events)
    {
        apply(
            it.entry,
            entry.on_data(
                it.exchange,
                it.attempt,
                "id: " + std::to_string(it.next_event++) + "\ndata: x\n\n",
                now_));
    }
    if (is_due && it.next_event > events)
        apply(it.entry, entry.on_end(it.exchange, it.attempt, now_));
    else
        attempts_.push_back(std::move(it));
}

void retry_simulation::reject(attempt_state const& it)
{
    replica_response_head head = not_executed(503);
    head.faulty_replica = it.target.str() == "0" ? "1" : "0";
    apply(
        it.entry,
        entries_[it.entry]->on_head(it.exchange, it.attempt, head, now_));
}

void retry_simulation::end_stall()
{
    stalled_until_ = {};
    for (attempt_state const& it : std::exchange(attempts_, {}))
    {
        if (!it.has_begun)
            reject(it);
        else
            apply(
                it.entry,
                entries_[it.entry]->on_failed(
                    it.exchange,
                    it.attempt,
                    attempt_progress::sent,
                    "Connection reset by peer",
                    now_));
    }
}

void retry_simulation::exchange_reports()
{
    reported_at_ = now_;
    bool const is_open = closed_until_ <= now_;
    for (std::size_t to = 0; to < entries_.size(); ++to)
    {
        for (auto const& [id, it] : replicas_)
            entries_[to]->on_rank_status(id, {is_open, 1, now_});
        for (std::size_t from = 0; from < entries_.size(); ++from)
        {
            if (from == to || cut_[from] || cut_[to])
                continue;
            entries_[to]->loads().on_peer_load(
                process_name{std::to_string(from)},
                entries_[from]->loads().local_in_flight(),
                now_);
        }
    }
}

// As callers see it: requests of the window, of the one before it, or of the
// one between, whichever has most.
std::size_t retry_simulation::requests_within(time_point start) const
{
    duration const length = options_.limits.window;
    return std::max(
        {count_within(requests_, start, length),
         count_within(requests_, start - length, length),
         count_within(requests_, start - length / 2, length)});
}

retry_simulation::window retry_simulation::worst_window() const
{
    window worst;
    worst.allowed = options_.limits.allowance;
    for (time_point const& start : retries_)
    {
        window const it{
            start,
            count_within(retries_, start, options_.limits.window),
            options_.limits.ratio *
                    static_cast<double>(requests_within(start)) +
                options_.limits.allowance};
        if (it.excess() > worst.excess())
            worst = it;
    }
    return worst;
}

} // namespace test
