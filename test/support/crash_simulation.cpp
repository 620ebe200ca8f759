#include "crash_simulation.hpp"

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
constexpr milliseconds wait_time{20};
constexpr milliseconds first_event_time{50};
constexpr milliseconds answer_time{400};
constexpr milliseconds plain_answer_time{60};
constexpr milliseconds repeat_delay{100};
constexpr milliseconds restart_time{2000};
constexpr milliseconds stall_time{1500};
constexpr milliseconds incident_time{500};
constexpr milliseconds detection_time{3000};

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
    out.timeout = milliseconds{8000};
    out.target_latency = milliseconds{500};
    out.max_attempts = 2;
    return out;
}

route plain_route(std::string const& prefix, retry_class retries)
{
    route out = stream_route();
    out.name = prefix;
    out.prefix = prefix;
    out.retries = retries;
    out.streaming = false;
    out.timeout = milliseconds{3000};
    out.target_latency = milliseconds{300};
    return out;
}

} // namespace

crash_simulation::crash_simulation(options const& chosen)
    : options_{chosen}
    , cut_(chosen.entries)
    , disturbed_at_(chosen.entries)
    , random_{chosen.seed}
    , replicas_(chosen.replicas)
{
    configuration_.version = 1;
    configuration_.routes = {
        stream_route(),
        plain_route("/plain/", retry_class::idempotent),
        plain_route("/once/", retry_class::at_most_once)};
    configuration_.services = {{service_name{"lm"}, 100, {}}};
    for (std::size_t n = 0; n < chosen.entries; ++n)
    {
        entries_.push_back(make_entry(n));
        schedules_.emplace_back(random_source{random_.next()});
    }
    register_replicas();
}

std::unique_ptr<relay_core> crash_simulation::make_entry(std::size_t number)
{
    relay_settings settings;
    settings.data_centre = data_centre_id{"a"};
    settings.retry_budget.allowance = 1000;
    std::unique_ptr<relay_core> out = std::make_unique<relay_core>(
        settings, log_, metrics_, random_source{random_.next()});
    out->routes().update(configuration_, now_);
    std::vector<process_name> others;
    for (std::size_t n = 0; n < options_.entries; ++n)
    {
        if (n != number)
            others.emplace_back(std::to_string(n));
    }
    out->quarantine().set_entries(
        process_name{std::to_string(number)}, std::move(others));
    return out;
}

void crash_simulation::restart(std::size_t entry)
{
    for (replica_state& it : replicas_)
    {
        std::erase_if(
            it.attempts,
            [&](attempt_state const& open) { return open.entry == entry; });
    }
    disturbed_at_[entry] = now_;
    entries_[entry] = make_entry(entry);
    schedules_[entry] = crash_report_schedule{random_source{random_.next()}};
    register_replicas();
}

void crash_simulation::set_cut(std::size_t entry, bool cut)
{
    cut_[entry] = cut;
    disturbed_at_[entry] = now_;
}

bool crash_simulation::is_blocked(
    std::size_t entry, std::string const& part) const
{
    return entries_[entry]->quarantine().is_blocked(
        {{trait_kind::prompt_part, part}});
}

void crash_simulation::exchange_reports()
{
    for (std::size_t n = 0; n < entries_.size(); ++n)
    {
        request_quarantine const& from = entries_[n]->quarantine();
        std::vector<process_name> others;
        for (std::size_t to = 0; to < entries_.size(); ++to)
        {
            if (to != n)
                others.emplace_back(std::to_string(to));
        }
        if (from.empty())
            continue;
        for (process_name const& it :
             schedules_[n].on_tick(from.revision(), std::move(others), now_))
        {
            std::size_t const to = std::stoul(it.str());
            bool const lost =
                cut_[n] || cut_[to] || random_.unit() < options_.message_loss;
            if (!lost)
                apply(to, entries_[to]->on_crash_report(from.report(), now_));
        }
    }
}

bool crash_simulation::is_body_blocked(
    std::size_t entry, std::string const& body) const
{
    relay_request sent;
    sent.method = "POST";
    sent.target = "/plain/";
    sent.host = "h";
    sent.body = body;
    return entries_[entry]->quarantine().is_blocked(traits_of(sent, {}));
}

std::string crash_simulation::id_of(std::size_t replica) const
{
    return std::to_string(replica) + "-" +
           std::to_string(replicas_[replica].incarnation);
}

void crash_simulation::register_replicas()
{
    std::map<backend_server_id, replica> snapshot;
    for (std::size_t n = 0; n < replicas_.size(); ++n)
    {
        replica it;
        it.id = backend_server_id{id_of(n)};
        it.service = service_name{"lm"};
        it.address = "127.0.0.1:" + std::to_string(n + 1);
        it.data_centre = data_centre_id{"a"};
        it.slots = 8;
        it.registration_revision = replicas_[n].incarnation + 1;
        snapshot.emplace(it.id, it);
    }
    for (std::unique_ptr<relay_core> const& it : entries_)
        static_cast<void>(it->replicas().update(snapshot, now_));
}

void crash_simulation::send(relay_request out, sent_request sent)
{
    exchange_id const id = ++last_exchange_;
    out.id = request_id{std::to_string(id)};
    out.method = "POST";
    out.target = sent.target;
    out.host = "h";
    out.body = sent.body;
    std::size_t const entry = sent.entry;
    totals_.sound += sent.crashing || sent.is_repeat ? 0 : 1;
    requests_.emplace(id, std::move(sent));
    apply(entry, entries_[entry]->on_request(id, std::move(out), now_));
}

void crash_simulation::request(
    std::size_t entry,
    std::vector<std::string> const& parts,
    std::string const& body)
{
    relay_request out;
    out.caller_timeout = milliseconds{8000};
    for (std::string const& it : parts)
        out.shared_parts.emplace_back(it);
    bool const has_part =
        std::find(parts.begin(), parts.end(), crashing_part_) != parts.end();
    bool const has_body = !body.empty() && body == crashing_body_;
    send(std::move(out), {"/x", body, entry, has_part || has_body, false});
}

void crash_simulation::plain_request(
    std::size_t entry, std::string const& body, std::string const& target)
{
    send_plain(
        {target, body, entry, !body.empty() && body == crashing_body_, false});
}

void crash_simulation::send_plain(sent_request sent)
{
    relay_request out;
    out.caller_timeout = milliseconds{3000};
    send(std::move(out), std::move(sent));
}

void crash_simulation::plan_repeat(
    sent_request const& failed, send_error const& reason)
{
    bool const may_repeat =
        failed.target == "/plain/" || reason.state == execution_state::not_run;
    if (failed.target == "/x" || failed.is_repeat || !may_repeat)
        return;
    sent_request again = failed;
    again.is_repeat = true;
    again.entry = (failed.entry + 1) % entries_.size();
    duration const delay = std::max<duration>(
        reason.retry_after.value_or(duration{}), repeat_delay);
    if (delay < plain_route("/", retry_class::idempotent).timeout / 3)
        repeats_.push_back({now_ + delay, std::move(again)});
}

void crash_simulation::send_due_repeats()
{
    for (due_repeat& it : std::exchange(repeats_, {}))
    {
        if (it.at > now_)
            repeats_.push_back(std::move(it));
        else
            send_plain(std::move(it.sent));
    }
}

void crash_simulation::apply(std::size_t entry, actions const& decided)
{
    for (action const& it : decided)
    {
        if (open_attempt const* sent = std::get_if<open_attempt>(&it))
            open(entry, *sent);
        else if (close_attempt const* gone = std::get_if<close_attempt>(&it))
            close(entry, gone->exchange);
        else if (check_replica const* checked = std::get_if<check_replica>(&it))
            check(entry, checked->target);
        else if (send_end const* end = std::get_if<send_end>(&it))
            totals_.sound_answered +=
                requests_.at(end->exchange).crashing ? 0 : 1;
        else if (send_error const* failed = std::get_if<send_error>(&it))
            plan_repeat(requests_.at(failed->exchange), *failed);
    }
}

void crash_simulation::open(std::size_t entry, open_attempt const& it)
{
    std::size_t const n = std::stoul(it.target.id.str());
    attempt_state const created{entry, it.exchange, it.attempt, now_, 0};
    if (!replicas_[n].up || it.target.id.str() != id_of(n))
    {
        fail(created, false, "Connection refused");
        return;
    }
    if (requests_.at(it.exchange).crashing)
    {
        ++totals_.crashing_sent;
        bool const is_sound =
            !cut_[entry] && now_ - disturbed_at_[entry] > detection_time;
        bool const late = totals_.crashes >= options_.counted_crashes &&
                          is_sound &&
                          now_ > totals_.last_counted_crash + detection_time;
        totals_.crashing_sent_late += late ? 1 : 0;
    }
    replicas_[n].attempts.push_back(created);
}

void crash_simulation::check(std::size_t entry, replica const& target)
{
    std::size_t const n = std::stoul(target.id.str());
    if (!replicas_[n].up)
        entries_[entry]->on_not_accepting(target, now_);
}

void crash_simulation::close(std::size_t entry, exchange_id exchange)
{
    for (replica_state& it : replicas_)
    {
        std::erase_if(
            it.attempts,
            [&](attempt_state const& open)
            { return open.entry == entry && open.exchange == exchange; });
    }
}

void crash_simulation::fail(
    attempt_state const& it, bool sent, std::string const& reason)
{
    apply(
        it.entry,
        entries_[it.entry]->on_failed(
            it.exchange,
            it.attempt,
            sent ? attempt_progress::sent : attempt_progress::not_sent,
            reason,
            now_));
}

void crash_simulation::crash(std::size_t replica)
{
    replica_state& crashed = replicas_[replica];
    if (!crashed.up)
        return;
    crashed.up = false;
    crashed.returns_at = now_ + restart_time;
    if (++totals_.crashes == options_.counted_crashes)
        totals_.last_counted_crash = now_;
    totals_.last_crash = now_;
    if (now_ - incident_began_ > incident_time)
    {
        incident_began_ = now_;
        ++totals_.incidents;
    }
    if (options_.lock_step && stalled_until_ <= now_)
        stalled_until_ = now_ + stall_time;
    for (attempt_state const& it : std::exchange(crashed.attempts, {}))
        fail(it, true, "end of stream");
}

bool crash_simulation::advance(attempt_state& it)
{
    relay_core& entry = *entries_[it.entry];
    sent_request const& sent = requests_.at(it.exchange);
    duration const age = now_ - it.began;
    auto const crashes_at = [&](crash_moment moment)
    { return sent.crashing && options_.moment == moment; };
    if (it.progress == 0 && age >= wait_time)
    {
        if (crashes_at(crash_moment::before_head))
            return true;
        // Sound requests without a prompt get no head before their answer.
        bool const has_head =
            sent.target == "/x" || sent.crashing || age >= first_event_time;
        if (!has_head)
            return false;
        it.progress = 1;
        apply(
            it.entry,
            entry.on_head(it.exchange, it.attempt, signed_response(200), now_));
        return crashes_at(crash_moment::after_head);
    }
    if (it.progress == 1 && age >= first_event_time)
    {
        it.progress = 2;
        apply(
            it.entry,
            entry.on_data(it.exchange, it.attempt, "id: 1\ndata: x\n\n", now_));
        return crashes_at(crash_moment::in_mid_answer);
    }
    return false;
}

void crash_simulation::advance(std::size_t replica)
{
    // Answers may lead to new attempts at the same replica.
    std::vector<attempt_state> open =
        std::exchange(replicas_[replica].attempts, {});
    bool crashes = false;
    for (attempt_state& it : open)
        crashes = advance(it) || crashes;
    std::vector<attempt_state> ended;
    for (attempt_state const& it : open)
    {
        milliseconds const time = requests_.at(it.exchange).target == "/x"
                                      ? answer_time
                                      : plain_answer_time;
        bool const ends =
            !crashes && it.progress == 2 && now_ - it.began >= time;
        (ends ? ended : replicas_[replica].attempts).push_back(it);
    }
    for (attempt_state const& it : ended)
        apply(
            it.entry,
            entries_[it.entry]->on_end(it.exchange, it.attempt, now_));
    if (crashes)
        crash(replica);
}

void crash_simulation::end_stall()
{
    stalled_until_ = {};
    for (replica_state& one : replicas_)
    {
        for (attempt_state const& it : std::exchange(one.attempts, {}))
        {
            if (it.progress > 0)
                fail(it, true, "Connection reset by peer");
            else
                apply(
                    it.entry,
                    entries_[it.entry]->on_head(
                        it.exchange, it.attempt, not_executed(503), now_));
        }
    }
}

void crash_simulation::step()
{
    now_ += step_time;
    bool registered = false;
    for (replica_state& it : replicas_)
    {
        if (it.up || now_ < it.returns_at)
            continue;
        it.up = true;
        ++it.incarnation;
        registered = true;
    }
    if (registered)
        register_replicas();
    bool const stalled = stalled_until_ > now_;
    if (!stalled && stalled_until_ != time_point{})
        end_stall();
    for (std::size_t n = 0; n < replicas_.size() && !stalled; ++n)
        advance(n);
    for (std::size_t n = 0; n < entries_.size(); ++n)
    {
        entries_[n]->routes().confirm(now_);
        apply(n, entries_[n]->on_tick(now_));
    }
    exchange_reports();
    send_due_repeats();
}

} // namespace test
