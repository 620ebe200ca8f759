#include <hornbeamweir/expert_map/engine_report.hpp>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>

namespace hornbeamweir
{

namespace
{

std::optional<boost::json::object> parse(std::string const& text)
{
    boost::system::error_code ec;
    boost::json::value value = boost::json::parse(text, ec);
    if (ec || !value.is_object())
        return std::nullopt;
    return std::move(value.get_object());
}

boost::json::object const*
object_in(boost::json::object const& in, std::string_view key)
{
    boost::json::value const* const it = in.if_contains(key);
    return it == nullptr ? nullptr : it->if_object();
}

/// \returns 0 if the member is missing or not a number.
std::uint64_t number_in(boost::json::object const& in, std::string_view key)
{
    boost::json::value const* const it = in.if_contains(key);
    if (it == nullptr)
        return 0;
    boost::system::error_code ec;
    std::uint64_t const value = it->to_number<std::uint64_t>(ec);
    return ec ? 0 : value;
}

// Digests are strings, since many JSON libraries round numbers above 2^53.
map_identity identity_in(boost::json::object const& in, std::string_view key)
{
    boost::json::object const* const it = object_in(in, key);
    if (it == nullptr)
        return {};
    map_identity identity{number_in(*it, "version"), 0};
    boost::json::value const* const digest = it->if_contains("digest");
    if (digest != nullptr && digest->is_string())
    {
        boost::json::string const& text = digest->get_string();
        std::from_chars(
            text.data(), text.data() + text.size(), identity.digest);
    }
    return identity;
}

std::vector<double>
numbers_in(boost::json::object const& in, std::string_view key)
{
    std::vector<double> out;
    boost::json::value const* const it = in.if_contains(key);
    if (it == nullptr || !it->is_array())
        return out;
    for (boost::json::value const& item : it->get_array())
    {
        boost::system::error_code ec;
        double const value = item.to_number<double>(ec);
        out.push_back(ec ? 0 : value);
    }
    return out;
}

} // namespace

std::optional<engine_map_report> decode_engine_report(std::string const& health)
{
    std::optional<boost::json::object> const document = parse(health);
    if (!document)
        return std::nullopt;
    boost::json::object const* const maps = object_in(*document, "expert_maps");
    if (maps == nullptr)
        return std::nullopt;
    engine_map_report report;
    report.local.in_force = identity_in(*maps, "in_force");
    report.local.staged = identity_in(*maps, "staged");
    report.loading = identity_in(*maps, "loading");
    report.group_in_force = identity_in(*maps, "group_in_force");
    report.max_ordered_version = number_in(*maps, "offered");
    return report;
}

std::optional<expert_map> decode_engine_map(std::string const& body)
{
    std::optional<boost::json::object> const document = parse(body);
    if (!document)
        return std::nullopt;
    result<expert_map> map = map_from_json(*document);
    if (!map)
        return std::nullopt;
    return std::move(*map);
}

std::optional<popularity_report> decode_popularity(std::string const& body)
{
    std::optional<boost::json::object> const document = parse(body);
    if (!document)
        return std::nullopt;
    return popularity_report{
        numbers_in(*document, "tokens"), numbers_in(*document, "rank_speed")};
}

std::string encode_order(load_map const& order)
{
    boost::json::object body;
    body["fence"] = order.fence;
    body["map"] = to_json(order.map);
    return boost::json::serialize(body);
}

} // namespace hornbeamweir
