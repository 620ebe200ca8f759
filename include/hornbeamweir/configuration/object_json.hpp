#pragma once

#include <hornbeamweir/configuration/objects.hpp>
#include <hornbeamweir/core/error.hpp>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

namespace hornbeamweir
{

/// \brief Converts an object to JSON, with its fields in a fixed order.
[[nodiscard]] boost::json::object to_json(model_group const& object);
[[nodiscard]] boost::json::object to_json(customer const& object);
[[nodiscard]] boost::json::object to_json(backend_server const& object);
[[nodiscard]] boost::json::object to_json(placement_rule const& object);
[[nodiscard]] boost::json::object to_json(data_centre const& object);

/// \brief Reads the fields that are present in a JSON value into an object.
/// \returns part_corrupt if a field has the wrong type or is out of range; the
/// object may then be partly changed.
[[nodiscard]] result<void>
from_json(boost::json::value const& value, model_group& object);
[[nodiscard]] result<void>
from_json(boost::json::value const& value, customer& object);
[[nodiscard]] result<void>
from_json(boost::json::value const& value, backend_server& object);
[[nodiscard]] result<void>
from_json(boost::json::value const& value, placement_rule& object);
[[nodiscard]] result<void>
from_json(boost::json::value const& value, data_centre& object);

} // namespace hornbeamweir
