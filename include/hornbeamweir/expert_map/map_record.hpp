#pragma once

#include <hornbeamweir/core/error.hpp>
#include <hornbeamweir/core/identifier.hpp>
#include <hornbeamweir/expert_map/map_identity.hpp>
#include <hornbeamweir/platform/platform.hpp>

#include <boost/json/object.hpp>

#include <string>
#include <string_view>

namespace hornbeamweir
{

/// \brief Target map of a group, as stored in the platform's key-value store.
struct map_record
{
    expert_map map;
    /// Fencing token: store revision at which the writer became coordinator.
    std::int64_t fence = 0;

    [[nodiscard]] friend bool
    operator==(map_record const&, map_record const&) = default;
};

[[nodiscard]] boost::json::object to_json(expert_map const& map);
/// \returns The error part_corrupt if the map is malformed or incomplete.
[[nodiscard]] result<expert_map> map_from_json(boost::json::object const& in);

/// \brief Serializes a record to JSON.
[[nodiscard]] std::string encode_record(map_record const& record);
/// \returns The error part_corrupt if the record or its map is malformed.
[[nodiscard]] result<map_record> decode_record(std::string_view bytes);

/// \brief Key that holds the name of a group's coordinator.
/// \remarks It is attached to the coordinator's lease and removed when that
/// ends.
[[nodiscard]] std::string coordinator_key(model_group_id const& group);
/// \brief Key that holds a group's map_record.
[[nodiscard]] std::string map_key(model_group_id const& group);

/// \brief Extracts a group's record from the reply to a read of map_key().
/// \returns std::nullopt if the key does not exist; an error if the read failed
/// or the record is malformed.
[[nodiscard]] result<std::optional<map_record>>
record_in(result<range_reply> const& reply, model_group_id const& group);

} // namespace hornbeamweir
