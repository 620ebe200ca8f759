#pragma once

#include <hornbeamweir/platform/change_poller.hpp>

#include <boost/asio/io_context.hpp>

namespace hornbeamweir
{

/// \brief A store that can be polled for changes.
class polled_platform : public platform, public change_poller
{
};

/// \brief Connects to the store at an IP address with port.
using platform_factory = std::function<std::unique_ptr<polled_platform>(
    boost::asio::io_context& context, std::string const& address)>;

} // namespace hornbeamweir
