#pragma once

#include <hornbeamweir/core/enum_table.hpp>
#include <hornbeamweir/core/identifier.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace hornbeamweir
{

/// \brief Whether placement favours a low step skew or a low cost of moving
/// experts.
enum class placement_profile
{
    skew_first,
    cost_first
};

template <>
struct enum_table<placement_profile>
{
    static constexpr std::array<enum_name<placement_profile>, 2> rows{
        {{placement_profile::skew_first, "skew_first"},
         {placement_profile::cost_first, "cost_first"}}};
};

/// \brief What a backend server runs.
enum class backend_kind
{
    rank,
    service
};

template <>
struct enum_table<backend_kind>
{
    static constexpr std::array<enum_name<backend_kind>, 2> rows{
        {{backend_kind::rank, "rank"}, {backend_kind::service, "service"}}};
};

/// \brief Ranks that run one model in lock-step on one expert map.
struct model_group
{
    model_group_id id;
    std::string model;
    std::uint32_t ranks = 1;
    std::uint32_t layers = 1;
    std::uint32_t experts_per_layer = 1;
    /// Maximum number of experts per layer at one rank.
    std::uint32_t slots_per_rank = 1;
    placement_profile profile = placement_profile::skew_first;

    [[nodiscard]] friend bool
    operator==(model_group const&, model_group const&) = default;
};

/// \brief A customer and its limits, which apply to all entries together.
struct customer
{
    customer_id id;
    /// SHA-256 of the bearer token, in hexadecimal.
    std::string token_hash;
    double requests_per_second = 100;
    std::uint32_t burst = 100;
    std::uint32_t concurrency = 100;
    std::uint32_t weight = 1;
    /// 0 is the most urgent.
    std::uint32_t priority = 1;

    [[nodiscard]] friend bool
    operator==(customer const&, customer const&) = default;
};

/// \brief A rank of a model group, or a replica of a plain service.
struct backend_server
{
    backend_server_id id;
    backend_kind kind = backend_kind::rank;
    /// Only for kind rank: its group, and its index in the group.
    model_group_id group;
    std::uint32_t rank = 0;
    /// Only for kind service: name of the service.
    std::string service;
    vm_id vm;
    data_centre_id data_centre;
    /// Address and public key (Z85) of its agent.
    std::string agent_address;
    std::string agent_key;
    bool draining = false;
    /// Whether it rejects orders with an outdated fencing token.
    bool checks_fence = false;

    [[nodiscard]] friend bool
    operator==(backend_server const&, backend_server const&) = default;
};

/// \brief Whether a data centre is in service.
/// \remarks A data centre without an object is in service.
struct data_centre
{
    data_centre_id id;
    /// Whether its backend servers get no new requests. Its ranks still take
    /// part in the steps of their groups.
    bool evacuated = false;

    [[nodiscard]] friend bool
    operator==(data_centre const&, data_centre const&) = default;
};

/// \brief Restricts where a customer's traffic for a model or service may go.
/// \remarks An empty customer, model or service matches all; empty groups or
/// data_centres allow all.
struct placement_rule
{
    placement_rule_id id;
    customer_id customer;
    std::string model;
    std::string service;
    std::vector<std::string> groups;
    std::vector<std::string> data_centres;

    [[nodiscard]] friend bool
    operator==(placement_rule const&, placement_rule const&) = default;
};

} // namespace hornbeamweir
