#pragma once

#include <hornbeamweir/expert_map/rank_codec.hpp>
#include <hornbeamweir/platform/polled_platform.hpp>
#include <hornbeamweir/relay/relay_codec.hpp>
#include <hornbeamweir/settings/relay_settings.hpp>

#include <memory>

namespace hornbeamweir
{

/// \brief The agent of a local rank: reports the rank's state, forwards orders
/// to it, and coordinates the group's expert maps while it is the leader.
class rank_agent_daemon
{
public:
    /// \param reader Reads the settings file again, at SIGHUP.
    /// \param records Codec of the records in the store.
    /// \param engine Codec of the HTTP interface of ranks.
    /// \param connect Connects to the platform.
    /// \remarks The codecs must outlive the daemon.
    rank_agent_daemon(
        rank_agent_settings settings,
        std::function<settings_result<rank_agent_settings>()> reader,
        relay_codec const& records,
        rank_codec const& engine,
        platform_factory const& connect);
    rank_agent_daemon(rank_agent_daemon const&) = delete;
    rank_agent_daemon& operator=(rank_agent_daemon const&) = delete;
    ~rank_agent_daemon();

    /// \brief Serves until SIGTERM or SIGINT, then gives up the coordinator
    /// role, for which it waits at most 3 s, and returns.
    void run();

    class impl;

private:
    std::unique_ptr<impl> impl_;
};

} // namespace hornbeamweir
