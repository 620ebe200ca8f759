#pragma once

#include <hornbeamweir/configuration/manifest.hpp>
#include <hornbeamweir/platform/key_watcher.hpp>

namespace hornbeamweir
{

/// \brief Reports the configuration's head in the platform: on the first read,
/// after each change and again after each reconnection.
/// \remarks A deleted or undecodable head is not reported.
class head_watcher
{
public:
    head_watcher(
        boost::asio::io_context& context,
        platform& service,
        std::function<void(configuration_head const&)> changed);

    void start() { watcher_.start(); }

private:
    void apply(std::string const& value);

    std::function<void(configuration_head const&)> changed_;
    key_watcher watcher_;
};

} // namespace hornbeamweir
