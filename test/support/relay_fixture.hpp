#pragma once

#include <hornbeamweir/relay/relay_core.hpp>

#include <optional>
#include <string>

namespace test
{

/// \brief A relay_core with two replicas of a plain service and two of a
/// service with streams, at host "h".
/// \remarks Routes: /safe/ and /once/ to "plain", /stream/ to "lm", /open/
/// without a key. The key "key" belongs to "school".
struct relay_fixture
{
    relay_fixture();

    /// \brief Sends a request; returns what the core decides.
    hornbeamweir::relay::actions
    request(std::uint64_t number, std::string const& target, int patience_ms);

    /// \brief Lets time pass, with proofs of the configuration.
    void pass(std::chrono::milliseconds time, bool proved = true);

    hornbeamweir::null_event_log log;
    hornbeamweir::metrics_registry metrics;
    hornbeamweir::relay::relay_core core;
    hornbeamweir::time_point now{std::chrono::seconds{100}};
};

/// \brief An answer with the mark of a replica.
[[nodiscard]] hornbeamweir::replica_response_head
signed_answer(unsigned status);

/// \brief An answer that says that nothing was executed.
[[nodiscard]] hornbeamweir::replica_response_head not_executed(unsigned status);

/// \brief Finds the first action of a kind.
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
