#pragma once

#include <hornbeamweir/core/identifier.hpp>
#include <hornbeamweir/routes/route.hpp>

#include <cstdint>
#include <string>

namespace hornbeamweir
{

/// \brief A replica of a service, as it registered itself.
struct replica
{
    /// Names one start of the replica.
    backend_server_id id;
    service_name service;
    /// IP address with port.
    std::string address;
    data_centre_id data_centre;
    /// Requests that it executes at once.
    std::uint32_t slots = 1;
    /// Revision at which it registered; of two at one address, the later one
    /// is there.
    std::int64_t registered = 0;
    /// Whether it has announced that it leaves.
    bool draining = false;

    [[nodiscard]] friend bool
    operator==(replica const&, replica const&) = default;
};

} // namespace hornbeamweir
