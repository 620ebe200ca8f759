#pragma once

#include <hornbeamweir/platform/change_poller.hpp>

#include <boost/asio/io_context.hpp>

namespace hornbeamweir
{

/// \brief Key-value service that can also be polled for changes.
class polled_platform : public platform, public change_poller
{
};

/// \brief Makes a client of the service at an IP address with port.
using platform_factory = std::function<std::unique_ptr<polled_platform>(
    boost::asio::io_context& context, std::string const& address)>;

} // namespace hornbeamweir
