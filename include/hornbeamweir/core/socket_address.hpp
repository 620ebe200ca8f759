#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace hornbeamweir
{

/// \brief Parses "address:port", with IPv6 addresses in brackets.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint>
tcp_endpoint(std::string const& text);

} // namespace hornbeamweir
