#pragma once

#include <hornbeamweir/settings/process_settings.hpp>

#include <memory>

namespace hornbeamweir
{

/// \brief Runs an agent_core with its message sockets, its backend server and
/// the process clock.
class agent_daemon
{
public:
    explicit agent_daemon(agent_settings settings);
    agent_daemon(agent_daemon const&) = delete;
    agent_daemon& operator=(agent_daemon const&) = delete;
    ~agent_daemon();

    /// \brief Serves until SIGTERM or SIGINT, then drains: returns once no call
    /// is unfinished.
    void run();

    class impl;

private:
    std::unique_ptr<impl> impl_;
};

} // namespace hornbeamweir
