#pragma once

#include <hornbeamweir/platform/polled_platform.hpp>
#include <hornbeamweir/relay/relay_codec.hpp>
#include <hornbeamweir/settings/relay_settings.hpp>

#include <memory>

namespace hornbeamweir
{

/// \brief An entry that relays requests of routes straight to replicas.
class relay_daemon
{
public:
    /// \param reread Reads the settings again, at SIGHUP and at times.
    relay_daemon(
        relay_entry_settings settings,
        std::function<settings_result<relay_entry_settings>()> reread,
        relay_codec const& codec,
        platform_factory const& connect);
    relay_daemon(relay_daemon const&) = delete;
    relay_daemon& operator=(relay_daemon const&) = delete;
    ~relay_daemon();

    /// \brief Runs until a signal has been obeyed.
    void run();

    class impl;

private:
    std::unique_ptr<impl> impl_;
};

} // namespace hornbeamweir
