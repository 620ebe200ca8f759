#pragma once

#include <hornbeamweir/settings/process_settings.hpp>

#include <memory>

namespace hornbeamweir
{

/// \brief Runs an entry_core with its sockets, the platform and the process
/// clock.
class entry_daemon
{
public:
    explicit entry_daemon(entry_settings settings);
    entry_daemon(entry_daemon const&) = delete;
    entry_daemon& operator=(entry_daemon const&) = delete;
    ~entry_daemon();

    /// \brief Serves until SIGTERM or SIGINT, then drains: returns once no
    /// request is open.
    void run();

    class impl;

private:
    std::unique_ptr<impl> impl_;
};

} // namespace hornbeamweir
