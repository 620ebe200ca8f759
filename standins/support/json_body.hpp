#pragma once

#include <hornbeamweir/http/http_exchange.hpp>

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace standin
{

/// \brief Parses a body; empty if it is not a JSON object.
[[nodiscard]] boost::json::object parse_object(std::string const& body);

/// \brief Reads a number that may be encoded as a string.
[[nodiscard]] std::int64_t number_in(
    boost::json::object const& object,
    std::string_view key,
    std::int64_t default_value);

[[nodiscard]] std::string
text_in(boost::json::object const& object, std::string_view key);

/// \brief Responds with a JSON object.
void send_json(
    hornbeamweir::http_exchange& exchange, boost::json::object const& body);

/// \brief Responds with the HTTP status of a result code.
void send_error(
    hornbeamweir::http_exchange& exchange, hornbeamweir::result_code);

} // namespace standin
