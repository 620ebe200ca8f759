#pragma once

#include <hornbeamweir/settings/process_settings.hpp>

namespace hornbeamweir
{

/// \brief Settings of an entry that relays requests directly to replicas.
struct relay_entry_settings
{
    process_name name;
    data_centre_id data_centre;
    std::string callers_address;
    /// Address of the readiness endpoint, which the platform's load balancer
    /// polls.
    std::string readiness_address;
    /// UDP address for messages of the system's other processes.
    std::string peers_address;
    std::string metrics_address;
    std::string platform_address;
    /// Time within which all entries must stop accepting a withdrawn API key.
    double key_withdrawal_ms = 5000;
    /// Time from SIGTERM to the platform's SIGKILL, within which open requests
    /// must finish.
    double grace_s = 8;
    /// Maximum retries of a service in a window, over all entries together:
    /// retry_ratio times its requests in the window, plus retry_allowance.
    double retry_ratio = 0.2;
    double retry_allowance = 10;
    double retry_window_s = 10;
    machine_limits limits;
    log_settings log;

    [[nodiscard]] friend bool operator==(
        relay_entry_settings const&, relay_entry_settings const&) = default;
};

/// \brief Settings of the agent next to a rank of a lock-step group.
struct rank_agent_settings
{
    process_name name;
    data_centre_id data_centre;
    /// Name of the rank's service in the configuration.
    std::string service;
    std::string rank_address;
    /// Rate of this VM's link; maps are sent at a part of it.
    double link_megabits_per_second = 8;
    /// Whether engines reject orders with a lower fencing token than they have
    /// seen. If so, a silent coordinator is replaced before its lease expires.
    bool fences_checked = false;
    std::string peers_address;
    std::string metrics_address;
    std::string platform_address;
    machine_limits limits;
    log_settings log;

    [[nodiscard]] friend bool operator==(
        rank_agent_settings const&, rank_agent_settings const&) = default;
};

[[nodiscard]] settings_result<relay_entry_settings>
read_relay_entry_settings(std::string const& text, std::string const& file);

[[nodiscard]] settings_result<rank_agent_settings>
read_rank_agent_settings(std::string const& text, std::string const& file);

} // namespace hornbeamweir
