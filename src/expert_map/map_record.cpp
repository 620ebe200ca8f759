#include <hornbeamweir/core/content_hash.hpp>
#include <hornbeamweir/expert_map/map_record.hpp>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace hornbeamweir
{

namespace
{

constexpr std::string_view key_prefix = "/hornbeamweir/expert_maps/";
/// Keeps a record below the platform's size limit of one value.
constexpr std::uint64_t max_slots = 200'000;

/// \returns 0 if the member is missing or not a number.
template <typename Number>
Number number_in(boost::json::object const& in, std::string_view key)
{
    boost::json::value const* const it = in.if_contains(key);
    if (it == nullptr)
        return 0;
    boost::system::error_code ec;
    Number const value = it->to_number<Number>(ec);
    return ec ? Number{0} : value;
}

std::uint64_t slot_count(expert_map_shape const& shape)
{
    return std::uint64_t{shape.layers} * shape.ranks * shape.slots_per_rank;
}

} // namespace

boost::json::object to_json(expert_map const& map)
{
    boost::json::object out;
    out["version"] = map.version;
    out["layers"] = map.shape.layers;
    out["experts"] = map.shape.experts;
    out["ranks"] = map.shape.ranks;
    out["slots_per_rank"] = map.shape.slots_per_rank;
    boost::json::array slots;
    slots.reserve(map.slots.size());
    for (std::uint16_t const expert : map.slots)
        slots.emplace_back(expert);
    out["slots"] = std::move(slots);
    return out;
}

result<expert_map> map_from_json(boost::json::object const& in)
{
    expert_map map;
    map.version = number_in<std::uint64_t>(in, "version");
    map.shape = {
        number_in<std::uint32_t>(in, "layers"),
        number_in<std::uint32_t>(in, "experts"),
        number_in<std::uint32_t>(in, "ranks"),
        number_in<std::uint32_t>(in, "slots_per_rank")};
    boost::json::value const* const slots = in.if_contains("slots");
    bool const valid_size = slots != nullptr && slots->is_array() &&
                            slots->get_array().size() <= max_slots &&
                            slots->get_array().size() == slot_count(map.shape);
    if (!valid_size || map.version == 0)
        return failure(
            result_code::part_corrupt,
            "expert map has version 0 or a wrong number of slots");
    for (boost::json::value const& it : slots->get_array())
    {
        boost::system::error_code ec;
        map.slots.push_back(it.to_number<std::uint16_t>(ec));
        if (ec)
            return failure(
                result_code::part_corrupt,
                "slot of expert map is not an expert number");
    }
    if (!is_complete(map))
        return failure(
            result_code::part_corrupt,
            "expert map has a missing or out-of-range expert");
    return map;
}

map_identity identify(expert_map const& map)
{
    return {map.version, stable_hash(boost::json::serialize(to_json(map)))};
}

std::string encode_record(map_record const& record)
{
    boost::json::object out;
    out["fence"] = record.fence;
    out["map"] = to_json(record.map);
    return boost::json::serialize(out);
}

result<map_record> decode_record(std::string_view bytes)
{
    boost::system::error_code ec;
    boost::json::value const document = boost::json::parse(bytes, ec);
    boost::json::value const* const map =
        !ec && document.is_object() ? document.get_object().if_contains("map")
                                    : nullptr;
    if (map == nullptr || !map->is_object())
        return failure(result_code::part_corrupt, "map record has no map");
    result<expert_map> decoded = map_from_json(map->get_object());
    if (!decoded)
        return tl::unexpected<error>{std::move(decoded.error())};
    return map_record{
        std::move(*decoded),
        number_in<std::int64_t>(document.get_object(), "fence")};
}

std::string coordinator_key(model_group_id const& group)
{
    return std::string{key_prefix} + group.str() + "/coordinator";
}

std::string map_key(model_group_id const& group)
{
    return std::string{key_prefix} + group.str() + "/map";
}

result<std::optional<map_record>>
record_in(result<range_reply> const& reply, model_group_id const& group)
{
    if (!reply)
        return tl::unexpected<error>{reply.error()};
    auto const it = reply->values.find(map_key(group));
    if (it == reply->values.end())
        return std::optional<map_record>{};
    result<map_record> record = decode_record(it->second.value);
    if (!record)
        return tl::unexpected<error>{std::move(record.error())};
    return std::optional<map_record>{std::move(*record)};
}

} // namespace hornbeamweir
