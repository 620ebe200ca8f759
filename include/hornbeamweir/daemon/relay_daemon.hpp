#pragma once

#include <hornbeamweir/platform/polled_platform.hpp>
#include <hornbeamweir/relay/relay_codec.hpp>
#include <hornbeamweir/settings/relay_settings.hpp>

#include <memory>

namespace hornbeamweir
{

/// \brief An entry that relays requests of configured routes directly to
/// replicas.
class relay_daemon
{
public:
    /// \param reader Reads the settings file again, at SIGHUP and every
    /// two seconds.
    /// \param codec Codec of requests and stored records; must outlive the
    /// daemon.
    /// \param connect Connects to the platform.
    relay_daemon(
        relay_entry_settings settings,
        std::function<settings_result<relay_entry_settings>()> reader,
        relay_codec const& codec,
        platform_factory const& connect);
    relay_daemon(relay_daemon const&) = delete;
    relay_daemon& operator=(relay_daemon const&) = delete;
    ~relay_daemon();

    /// \brief Serves until SIGTERM or SIGINT, then drains and returns, at the
    /// latest at the end of the grace period.
    void run();

    class impl;

private:
    std::unique_ptr<impl> impl_;
};

} // namespace hornbeamweir
