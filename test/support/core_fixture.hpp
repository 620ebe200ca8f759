#pragma once

#include <hornbeamweir/agent/agent_core.hpp>
#include <hornbeamweir/entry/entry_core.hpp>
#include <hornbeamweir/routing/cost_aware_policy.hpp>

#include <memory>
#include <string>

namespace test
{

/// \brief Settings of the entry "entry-a" with one peer, "entry-b".
[[nodiscard]] hornbeamweir::entry_settings make_entry_settings();

/// \brief Settings of the agent of the backend server "rank-0".
[[nodiscard]] hornbeamweir::agent_settings make_agent_settings();

/// \brief A configuration with one customer (token "token"), a model "m" with
/// the rank "rank-0", and a service "s" with "service-0".
/// \param with_service Whether "service-0" is included.
[[nodiscard]] hornbeamweir::encoded_configuration
make_configuration(std::uint64_t revision, bool with_service = true);

/// \brief An entry core without I/O, with a clock set by the test.
struct entry_fixture
{
    explicit entry_fixture(std::uint64_t seed = 1);

    /// \brief Activates a configuration as if read from the platform.
    void activate(hornbeamweir::encoded_configuration const& config);

    /// \brief Delivers an agent's heartbeat reply to the core.
    /// \param server Id of the agent's backend server.
    /// \param revision Configuration revision that the agent reports.
    void pong(
        std::string const& server,
        std::uint64_t incarnation,
        std::uint64_t revision);

    hornbeamweir::null_event_log log;
    hornbeamweir::metrics_registry metrics;
    hornbeamweir::cost_aware_policy routing;
    hornbeamweir::entry_core core;
    hornbeamweir::time_point now{std::chrono::seconds{100}};
};

} // namespace test
