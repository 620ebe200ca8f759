#include "state_exchange.hpp"

namespace hornbeamweir
{

namespace
{

constexpr duration peers_interval = std::chrono::milliseconds{500};
/// Waits of readers, so that their answers are young enough for others.
constexpr duration shared_poll_wait = std::chrono::milliseconds{1000};
/// Interval at which the data centres out of service are told again.
constexpr duration evacuations_interval = std::chrono::milliseconds{500};

std::uint64_t microseconds_of(duration value)
{
    return static_cast<std::uint64_t>(
        std::max(value, duration::zero()).count());
}

/// Ages of years are cut, so that a time minus an age stays representable.
duration age_of(std::uint64_t microseconds)
{
    constexpr std::uint64_t max_age = std::uint64_t{1} << 50U;
    return duration{
        static_cast<duration::rep>(std::min(microseconds, max_age))};
}

void adopt_evacuations(
    wire::state_answer const& answer,
    state_exchange::evacuation_handler const& adopt)
{
    evacuations told;
    told.revision = answer.evacuated_revision();
    told.era = answer.evacuated_era();
    for (std::string const& name : answer.evacuated())
        told.data_centres.emplace(name);
    evacuation_register::retained_map retained;
    for (wire::retained_evacuation const& it : answer.retained())
    {
        retained.emplace(
            data_centre_id{it.data_centre()}, age_of(it.remaining_us()));
    }
    adopt(told, retained);
}

} // namespace

state_exchange::state_exchange(
    process_name self,
    std::string role,
    versioned_route_table& routes,
    route_configuration_watcher& configuration,
    replica_watcher& replicas,
    evacuation_register const& evacuated,
    evacuation_handler adopt,
    peer_registry const& peers,
    datagram_link& link,
    event_log& log,
    metrics_registry& metrics)
    : sharing_{std::move(self)}
    , role_{std::move(role)}
    , routes_{routes}
    , configuration_{configuration}
    , replicas_{replicas}
    , evacuated_{evacuated}
    , adopt_{std::move(adopt)}
    , peers_{peers}
    , link_{link}
    , log_{log}
    , metrics_{metrics}
{
}

known_state state_exchange::known(time_point now) const
{
    known_state out;
    if (std::shared_ptr<route_table const> const table = routes_.table())
        out.configuration_version = table->configuration().version;
    out.configuration_as_of = routes_.confirmed_at();
    out.replicas_hash = replicas_.hash();
    out.replicas_as_of = replicas_.as_of();
    out.evacuated = evacuated_.stored();
    out.retained = evacuated_.retained(now);
    return out;
}

void state_exchange::on_tick(time_point now)
{
    if (now - peers_set_at_ >= peers_interval)
    {
        peers_set_at_ = now;
        std::vector<process_name> names;
        for (auto const& [name, endpoint] : peers_.peers(role_))
            names.push_back(name);
        bool const was_reader = sharing_.is_reader();
        sharing_.set_peers(names);
        if (was_reader != sharing_.is_reader())
        {
            event line{"state_reader_changed"};
            line.with("reads", sharing_.is_reader() ? "yes" : "no")
                .with("entries", names.size() + 1);
            log_.info(line);
        }
        configuration_.set_poll_wait(
            sharing_.is_shared() ? std::optional{shared_poll_wait}
                                 : std::nullopt);
        configuration_.set_continuous(sharing_.is_reader());
        replicas_.set_continuous(sharing_.is_reader());
    }
    if (sharing_.is_shared() && sharing_.is_reader())
        send_hints(now);
    tell_evacuations(now);
    perform(sharing_.on_tick(now), now);
}

void state_exchange::perform(state_sharing::step const& next, time_point now)
{
    if (next.configuration_confirmed)
        routes_.confirm(*next.configuration_confirmed);
    if (next.replicas_confirmed)
        replicas_.confirm(*next.replicas_confirmed);
    if (next.read_configuration)
        configuration_.read_once();
    if (next.read_replicas)
        replicas_.read_once();
    if (next.read_configuration || next.read_replicas)
    {
        event line{"state_read_directly"};
        line.with("reason", next.reason)
            .with("configuration", next.read_configuration ? "yes" : "no")
            .with("replicas", next.read_replicas ? "yes" : "no")
            .with("version", known(now).configuration_version)
            .with("staleness_ms", routes_.staleness(now).count() / 1000);
        log_.info(line);
        metrics_.count(
            "hornbeamweir_state_reads_total", {{"reason", next.reason}});
    }
    if (!next.ask)
        return;
    std::map<process_name, datagram_link::endpoint> const& entries =
        peers_.peers(role_);
    auto const to = entries.find(*next.ask);
    // Without an endpoint the question stays unanswered.
    if (to == entries.end())
        return;
    wire::datagram message;
    message.mutable_question()->set_nonce(next.nonce);
    link_.send(to->second, std::move(message));
}

void state_exchange::on_question(
    datagram_link::endpoint const& from,
    wire::state_question const& question,
    time_point now)
{
    send_answer(
        from, state_sharing::answer_of(known(now), question.nonce(), now));
}

void state_exchange::send_answer(
    datagram_link::endpoint const& to, state_answer const& answer)
{
    wire::datagram message;
    wire::state_answer& out = *message.mutable_answer();
    out.set_nonce(answer.nonce);
    out.set_configuration_version(answer.configuration_version);
    out.set_configuration_age_us(microseconds_of(answer.configuration_age));
    out.set_replicas_hash(answer.replicas_hash);
    out.set_replicas_age_us(microseconds_of(answer.replicas_age));
    for (data_centre_id const& it : answer.evacuated.data_centres)
        out.add_evacuated(it.str());
    out.set_evacuated_revision(answer.evacuated.revision);
    out.set_evacuated_era(answer.evacuated.era);
    for (auto const& [data_centre, remaining] : answer.retained)
    {
        wire::retained_evacuation& row = *out.add_retained();
        row.set_data_centre(data_centre.str());
        row.set_remaining_us(microseconds_of(remaining));
    }
    link_.send(to, std::move(message));
}

void state_exchange::send_hints(time_point now)
{
    known_state const own = known(now);
    if (own.configuration_version == hinted_version_ &&
        own.replicas_hash == hinted_hash_)
        return;
    hinted_version_ = own.configuration_version;
    hinted_hash_ = own.replicas_hash;
    send_to_all(own, now);
}

void state_exchange::send_to_all(known_state const& own, time_point now)
{
    for (auto const& [name, to] : peers_.peers(role_))
        send_answer(to, state_sharing::answer_of(own, 0, now));
}

// Entries that are cut off from the store learn evacuations only from others,
// and datagrams are lost, so they are repeated. Entries that don't read from
// the store leave that to those that do.
void state_exchange::tell_evacuations(time_point now)
{
    std::set<data_centre_id> const& current = evacuated_.current().data_centres;
    bool const changed = current != told_evacuated_;
    bool const due =
        !current.empty() && now - evacuations_told_at_ >= evacuations_interval;
    if (!sharing_.is_reader() || (!changed && !due))
        return;
    told_evacuated_ = current;
    evacuations_told_at_ = now;
    send_to_all(known(now), now);
}

void state_exchange::on_answer(wire::state_answer const& answer, time_point now)
{
    adopt_evacuations(answer, adopt_);
    if (answer.nonce() == 0)
    {
        known_state const own = known(now);
        if (answer.configuration_version() != own.configuration_version ||
            answer.replicas_hash() != own.replicas_hash)
            sharing_.on_hint();
        return;
    }
    state_answer const decoded{
        answer.nonce(),
        answer.configuration_version(),
        age_of(answer.configuration_age_us()),
        answer.replicas_hash(),
        age_of(answer.replicas_age_us()),
        {},
        {}};
    perform(sharing_.on_answer(decoded, known(now), now), now);
}

} // namespace hornbeamweir
