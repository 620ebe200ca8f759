#pragma once

#include <hornbeamweir/core/identifier.hpp>
#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/platform/store_position.hpp>
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
    /// Store revision at which it registered, and the era in which this process
    /// first read that registration.
    std::int64_t registration_revision = 0;
    std::uint64_t registration_era = 0;
    /// Whether it has announced that it is shutting down.
    bool draining = false;
    /// Store revision at which the registration was last renewed.
    std::int64_t modify_revision = 0;
    /// Time for which it was still cold when it renewed; 0 if it was not.
    duration cold_remaining{};

    /// \returns Position at which it registered; of two replicas with the same
    /// address, the one with the higher position is running.
    [[nodiscard]] store_position registered_at() const noexcept
    {
        return {registration_era, registration_revision};
    }

    /// \remarks Ignores modify_revision and cold_remaining, which change with
    /// each renewal.
    [[nodiscard]] friend bool operator==(replica const& a, replica const& b)
    {
        return a.id == b.id && a.service == b.service &&
               a.address == b.address && a.data_centre == b.data_centre &&
               a.slots == b.slots &&
               a.registration_revision == b.registration_revision &&
               a.draining == b.draining;
    }
};

} // namespace hornbeamweir
