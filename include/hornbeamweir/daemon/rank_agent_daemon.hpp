#pragma once

#include <hornbeamweir/expert_map/rank_codec.hpp>
#include <hornbeamweir/platform/polled_platform.hpp>
#include <hornbeamweir/relay/relay_codec.hpp>
#include <hornbeamweir/settings/relay_settings.hpp>

#include <memory>

namespace hornbeamweir
{

/// \brief The agent beside a rank: tells the rank's state, passes on orders,
/// and coordinates the group's expert maps while it holds that duty.
class rank_agent_daemon
{
public:
    rank_agent_daemon(
        rank_agent_settings settings,
        std::function<settings_result<rank_agent_settings>()> reread,
        relay_codec const& records,
        rank_codec const& engine,
        platform_factory const& connect);
    rank_agent_daemon(rank_agent_daemon const&) = delete;
    rank_agent_daemon& operator=(rank_agent_daemon const&) = delete;
    ~rank_agent_daemon();

    /// \brief Runs until a signal has been obeyed.
    void run();

    class impl;

private:
    std::unique_ptr<impl> impl_;
};

} // namespace hornbeamweir
