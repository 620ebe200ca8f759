#pragma once

#include <hornbeamweir/core/identifier.hpp>
#include <hornbeamweir/routes/route.hpp>

#include <cstdint>
#include <string>

namespace hornbeamweir
{

/// \brief A replica of a service, as registered by itself.
struct replica
{
    /// Unique for each start of the replica.
    backend_server_id id;
    service_name service;
    /// IP address with port.
    std::string address;
    data_centre_id data_centre;
    /// Requests that it executes concurrently.
    std::uint32_t slots = 1;
    /// Store revision at which it registered; of two replicas with the same
    /// address, the one with the higher revision is running.
    std::int64_t registration_revision = 0;
    /// Whether it has announced that it is shutting down.
    bool draining = false;

    [[nodiscard]] friend bool
    operator==(replica const&, replica const&) = default;
};

} // namespace hornbeamweir
