#pragma once

#include <hornbeamweir/core/identifier.hpp>
#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/relay/retry_budget_share.hpp>

namespace hornbeamweir::relay
{

/// \brief Settings of a relay_core.
struct relay_settings
{
    process_name name;
    data_centre_id data_centre;
    /// Staleness of the configuration above which keys are not accepted; less
    /// than the time within which a withdrawn key must stop working.
    duration max_staleness = std::chrono::milliseconds{4500};
    retry_limits retry_budget;
    /// When this process started; the default stands for long ago.
    time_point started_at{};

    [[nodiscard]] friend bool
    operator==(relay_settings const&, relay_settings const&) = default;
};

} // namespace hornbeamweir::relay
