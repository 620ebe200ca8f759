#pragma once

#include <hornbeamweir/configuration/configuration_part.hpp>

#include <compare>
#include <set>

namespace hornbeamweir
{

/// \brief A model or service that requests name.
struct request_target
{
    backend_kind kind = backend_kind::rank;
    std::string name;

    [[nodiscard]] friend std::strong_ordering
    operator<=>(request_target const&, request_target const&) = default;
};

/// \brief Describes a target, for example "model m" or "service s".
[[nodiscard]] std::string describe(request_target const& target);

/// \brief Numbers of backend servers by target and by data centre.
/// \remarks A backend server is in use unless it is draining or its data centre
/// is evacuated. Whether it can be reached is not considered.
struct backend_capacity
{
    struct data_centre_state
    {
        std::size_t in_use = 0;
        bool evacuated = false;

        [[nodiscard]] friend bool operator==(
            data_centre_state const&, data_centre_state const&) = default;
    };

    /// Backend servers in use; 0 for a target whose backend servers are all
    /// out of use.
    std::map<request_target, std::size_t> targets;
    /// Data centres that a backend server or an object names.
    std::map<data_centre_id, data_centre_state> data_centres;

    [[nodiscard]] friend bool
    operator==(backend_capacity const&, backend_capacity const&) = default;
};

[[nodiscard]] backend_capacity
count_backend_servers(configuration_part const& objects);

/// \brief Returns the data centres that backend servers name.
[[nodiscard]] std::set<data_centre_id>
data_centres_of_servers(configuration_part const& objects);

/// \brief Describes the known data centres for an error message.
[[nodiscard]] std::string describe(std::set<data_centre_id> const& known);

} // namespace hornbeamweir
