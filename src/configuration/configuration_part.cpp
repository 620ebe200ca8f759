#include <hornbeamweir/configuration/configuration_part.hpp>
#include <hornbeamweir/configuration/object_json.hpp>
#include <hornbeamweir/core/content_hash.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace hornbeamweir
{

namespace
{

/// Parts stored by programs that did not know data centres lack this kind.
constexpr std::string_view later_kind = "data_centres";

template <typename Map>
void read_kind(
    boost::json::object const& document,
    std::string_view kind,
    Map& out,
    result<void>& outcome)
{
    boost::json::value const* const list = document.if_contains(kind);
    if (list == nullptr && kind == later_kind)
        return;
    if (list == nullptr || !list->is_array())
    {
        outcome = failure(
            result_code::part_corrupt,
            "expected an array of " + std::string{kind});
        return;
    }
    for (boost::json::value const& item : list->get_array())
    {
        typename Map::mapped_type object;
        result<void> const read = from_json(item, object);
        if (!read)
            outcome = read;
        typename Map::key_type const id = object.id;
        out.insert_or_assign(id, std::move(object));
    }
}

} // namespace

std::uint32_t part_of(std::string_view object_id) noexcept
{
    return static_cast<std::uint32_t>(
        stable_hash(object_id) % configuration_part_count);
}

std::string encode_part(configuration_part const& part)
{
    boost::json::object document;
    for_each_kind(
        part,
        [&](std::string_view kind, auto const& objects)
        {
            boost::json::array list;
            for (auto it = objects.begin(); it != objects.end(); ++it)
                list.emplace_back(to_json(it->second));
            document[kind] = std::move(list);
        });
    return boost::json::serialize(document);
}

result<configuration_part> decode_part(std::string_view bytes)
{
    boost::system::error_code ec;
    boost::json::value const document = boost::json::parse(bytes, ec);
    if (ec || !document.is_object())
        return failure(result_code::part_corrupt, "expected a JSON object");
    configuration_part part;
    result<void> outcome;
    for_each_kind(
        part,
        [&](std::string_view kind, auto& objects)
        { read_kind(document.get_object(), kind, objects, outcome); });
    if (!outcome)
        return tl::unexpected<error>{outcome.error()};
    return part;
}

} // namespace hornbeamweir
