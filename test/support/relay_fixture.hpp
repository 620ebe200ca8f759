#pragma once

#include <hornbeamweir/relay/relay_core.hpp>

#include <optional>
#include <string>

namespace test
{

/// \brief A relay_core with two replicas each of the service "plain" and the
/// streaming service "lm", for the host "h".
/// \remarks Routes: /safe/ (idempotent), /once/ (at most once) and /open/
/// (without an API key) to "plain", /stream/ (resumable stream) to "lm". The
/// API key "key" belongs to the customer "school".
struct relay_fixture
{
    relay_fixture();

    /// \brief Submits a request, and returns the actions of the core.
    hornbeamweir::relay::actions request(
        std::uint64_t number, std::string const& target, int caller_timeout_ms);

    /// \brief Advances the clock.
    /// \param confirmed Whether the configuration is confirmed at the new time.
    void advance(std::chrono::milliseconds time, bool confirmed = true);

    hornbeamweir::null_event_log log;
    hornbeamweir::metrics_registry metrics;
    hornbeamweir::relay::relay_core core;
    hornbeamweir::time_point now{std::chrono::seconds{100}};
};

/// \brief A response head with a replica signature.
[[nodiscard]] hornbeamweir::replica_response_head
signed_response(unsigned status);

/// \brief A response head that states that the request was not executed.
[[nodiscard]] hornbeamweir::replica_response_head not_executed(unsigned status);

/// \brief Finds the first action of a type.
template <typename Action>
[[nodiscard]] std::optional<Action>
find_action(hornbeamweir::relay::actions const& in)
{
    for (hornbeamweir::relay::action const& it : in)
    {
        if (Action const* const found = std::get_if<Action>(&it))
            return *found;
    }
    return std::nullopt;
}

} // namespace test
