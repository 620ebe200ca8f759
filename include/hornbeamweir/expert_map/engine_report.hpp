#pragma once

#include <hornbeamweir/expert_map/map_coordinator.hpp>

#include <optional>
#include <string>

/// \file
/// \brief JSON encoding and decoding for the engines' expert map endpoints.

namespace hornbeamweir
{

/// \brief Parses the expert_maps member of an engine's health response.
/// \returns std::nullopt if the response is not a JSON object or lacks this
/// member. Fields that are missing or malformed are left empty.
[[nodiscard]] std::optional<engine_map_report>
decode_engine_report(std::string const& health);

/// \brief Parses the response to GET /expert_map.
/// \returns std::nullopt if it holds no valid map.
[[nodiscard]] std::optional<expert_map>
decode_engine_map(std::string const& body);

/// \brief Parses the response to GET /expert_map/popularity.
/// \returns std::nullopt if it is not a JSON object. Entries that are not
/// numbers become 0.
[[nodiscard]] std::optional<popularity_report>
decode_popularity(std::string const& body);

/// \brief Builds the JSON body of POST /expert_map.
[[nodiscard]] std::string encode_order(load_map const& order);

} // namespace hornbeamweir
