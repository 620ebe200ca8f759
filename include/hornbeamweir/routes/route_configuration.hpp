#pragma once

#include <hornbeamweir/routes/engine_profile.hpp>
#include <hornbeamweir/routes/route.hpp>

#include <map>
#include <string>
#include <vector>

namespace hornbeamweir
{

/// \brief A service to which routes send requests.
struct service_profile
{
    service_name name;
    /// Maximum number of connections of all callers to a replica.
    std::uint32_t max_connections = 0;
    std::optional<engine_profile> engine;
    /// Time for which a replica is cold after its start.
    duration cold_start{};
    /// Requests per second of all entries that a cold replica tolerates; 0 for
    /// no limit.
    double cold_requests_per_second = 0;

    [[nodiscard]] friend bool
    operator==(service_profile const&, service_profile const&) = default;
};

/// \brief The customer to whom an API key belongs.
struct api_key_owner
{
    customer_id customer;
    /// Takes precedence over the route's priority.
    std::optional<std::uint32_t> priority;

    [[nodiscard]] friend bool
    operator==(api_key_owner const&, api_key_owner const&) = default;
};

/// \brief Limits of callers' requests and connections.
struct caller_limits
{
    std::uint32_t max_header_bytes = 16 * 1024;
    std::uint32_t max_body_bytes = 4 * 1024 * 1024;
    duration header_timeout = std::chrono::seconds{10};
    duration idle_timeout = std::chrono::seconds{60};

    [[nodiscard]] friend bool
    operator==(caller_limits const&, caller_limits const&) = default;
};

/// \brief One version of the routes, services and API keys.
struct route_configuration
{
    /// Increases with each change, not necessarily by one.
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service_profile> services;
    caller_limits limits;
    /// Whether requests need an API key, unless their route is open to all.
    bool keys_required = false;
    std::map<std::string, api_key_owner> keys;

    [[nodiscard]] friend bool operator==(
        route_configuration const&, route_configuration const&) = default;
};

} // namespace hornbeamweir
