#pragma once

#include <hornbeamweir/peers/datagram_link.hpp>
#include <hornbeamweir/peers/peer_registry.hpp>
#include <hornbeamweir/peers/state_sharing.hpp>
#include <hornbeamweir/replicas/evacuation_register.hpp>
#include <hornbeamweir/replicas/replica_watcher.hpp>
#include <hornbeamweir/routes/route_configuration_watcher.hpp>
#include <hornbeamweir/routes/versioned_route_table.hpp>
#include <hornbeamweir/telemetry/event_log.hpp>

namespace hornbeamweir
{

/// \brief Connects state_sharing with the watchers of the platform's store and
/// the other entries.
class state_exchange
{
public:
    /// Receives a set of the store, and what the sender retains beside it.
    using evacuation_handler = std::function<void(
        evacuations const&, evacuation_register::retained_map const&)>;

    state_exchange(
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
        metrics_registry& metrics);

    void on_tick(time_point now);
    void on_question(
        datagram_link::endpoint const& from,
        wire::state_question const& question,
        time_point now);
    void on_answer(wire::state_answer const& answer, time_point now);

private:
    [[nodiscard]] known_state known(time_point now) const;
    void perform(state_sharing::step const& next, time_point now);
    void
    send_answer(datagram_link::endpoint const& to, state_answer const& answer);
    /// Tells the other entries that the state has changed.
    void send_hints(time_point now);
    void send_to_all(known_state const& own, time_point now);
    /// Tells the other entries which data centres are out of service, again
    /// and again while any is.
    void tell_evacuations(time_point now);

    state_sharing sharing_;
    std::string role_;
    versioned_route_table& routes_;
    route_configuration_watcher& configuration_;
    replica_watcher& replicas_;
    evacuation_register const& evacuated_;
    evacuation_handler adopt_;
    peer_registry const& peers_;
    datagram_link& link_;
    event_log& log_;
    metrics_registry& metrics_;
    time_point peers_set_at_{};
    std::uint64_t hinted_version_ = 0;
    std::uint64_t hinted_hash_ = 0;
    std::set<data_centre_id> told_evacuated_;
    time_point evacuations_told_at_{};
};

} // namespace hornbeamweir
