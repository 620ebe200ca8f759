#pragma once

#include <hornbeamweir/configuration/configuration.hpp>
#include <hornbeamweir/expert_map/map_coordinator.hpp>
#include <hornbeamweir/http/backend_call.hpp>
#include <hornbeamweir/platform/etcd_gateway.hpp>
#include <hornbeamweir/settings/process_settings.hpp>
#include <hornbeamweir/telemetry/metrics_registry.hpp>

namespace hornbeamweir
{

/// \brief Runs an agent's map_participant and map_coordinator against its
/// engine and the platform.
class expert_map_driver
{
public:
    expert_map_driver(
        boost::asio::io_context& context,
        agent_settings const& settings,
        event_log& log,
        metrics_registry& metrics);
    ~expert_map_driver();

    /// \brief Applies the configuration in force; does nothing if it is the
    /// same object as before.
    void on_configuration(std::shared_ptr<configuration const> const& current);

    /// \brief Processes the body of a response to a health check.
    void on_health(std::string const& body);
    void on_tick();

    /// \brief Adds the map versions in force and ordered to a status document.
    void add_status(boost::json::object& status) const;

private:
    /// State machines for the group of the backend server.
    struct group_state
    {
        group_state(
            model_group configured_group,
            std::string const& candidate,
            bool may_coordinate,
            event_log& log);

        model_group group;
        std::unique_ptr<placement_policy> policy;
        map_participant participant;
        std::optional<map_coordinator> coordinator;
        engine_map_report last_report;
    };

    /// Response of the engine; status 0 if the call failed.
    struct engine_response
    {
        unsigned status = 0;
        std::string body;
    };
    using engine_handler = std::function<void(engine_response const&)>;

    void perform(participant_actions actions);
    void perform(coordinator_actions actions);
    void send_order(load_map const& action);
    void read_record();
    void read_map();
    void read_for_coordinator(std::string const& key);
    void commit(transaction request);
    void grant_lease(duration time_to_live);
    void keep_lease_alive(std::int64_t lease);
    void read_sample();
    void read_popularity(expert_map in_force);
    void call_engine(
        std::string method,
        std::string target,
        std::string body,
        engine_handler done);
    /// Wraps a handler so that it is not called once the group has changed.
    template <typename Reply, typename Done>
    [[nodiscard]] std::function<void(Reply)> if_group_unchanged(Done done);

    boost::asio::io_context& context_;
    agent_settings const& settings_;
    event_log& log_;
    metrics_registry& metrics_;
    boost::asio::ip::tcp::endpoint engine_;
    std::shared_ptr<configuration const> configuration_;
    std::shared_ptr<group_state> state_;
    std::map<std::uint64_t, std::unique_ptr<backend_call>> calls_;
    std::uint64_t next_call_ = 1;
    etcd_gateway platform_;
};

} // namespace hornbeamweir
