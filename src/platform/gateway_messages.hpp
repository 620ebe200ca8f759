#pragma once

#include <hornbeamweir/core/error.hpp>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/object.hpp>

#include <functional>
#include <string>

namespace hornbeamweir
{

using json_handler = std::function<void(result<boost::json::object>)>;
using gateway_request =
    boost::beast::http::request<boost::beast::http::string_body>;

/// \brief Makes the HTTP request of a call or a watch.
[[nodiscard]] gateway_request make_gateway_request(
    std::string const& target, boost::json::object const& body);

/// \brief Parses the JSON object of a reply.
[[nodiscard]] result<boost::json::object>
parse_gateway_reply(std::string const& text);

} // namespace hornbeamweir
