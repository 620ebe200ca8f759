#include <hornbeamweir/configuration/manifest.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace hornbeamweir
{

namespace
{

result<boost::json::object> parse_object(std::string_view bytes)
{
    boost::system::error_code ec;
    boost::json::value document = boost::json::parse(bytes, ec);
    if (ec || !document.is_object())
        return failure(result_code::part_corrupt, "expected a JSON object");
    return document.get_object();
}

/// Reads members of a JSON object and records whether any is missing or has the
/// wrong type.
class member_reader
{
public:
    explicit member_reader(boost::json::object const& in) noexcept
        : in_{in}
    {
    }

    [[nodiscard]] std::string string(std::string_view key)
    {
        boost::json::value const* const it = in_.if_contains(key);
        if (it != nullptr && it->is_string())
            return std::string{it->get_string()};
        valid_ = false;
        return {};
    }

    [[nodiscard]] std::uint64_t number(std::string_view key)
    {
        boost::json::value const* const it = in_.if_contains(key);
        boost::system::error_code ec;
        std::uint64_t const value =
            it == nullptr ? 0 : it->to_number<std::uint64_t>(ec);
        valid_ = valid_ && it != nullptr && !ec;
        return value;
    }

    [[nodiscard]] std::vector<std::string> strings(std::string_view key)
    {
        std::vector<std::string> values;
        boost::json::value const* const it = in_.if_contains(key);
        if (it == nullptr || !it->is_array())
        {
            valid_ = false;
            return values;
        }
        for (boost::json::value const& item : it->get_array())
        {
            valid_ = valid_ && item.is_string();
            if (item.is_string())
                values.emplace_back(item.get_string());
        }
        return values;
    }

    [[nodiscard]] bool valid() const noexcept { return valid_; }

private:
    boost::json::object const& in_;
    bool valid_ = true;
};

} // namespace

std::string encode_head(configuration_head const& head)
{
    boost::json::object document;
    document["revision"] = head.revision;
    document["note"] = head.note_id;
    document["manifest"] = head.manifest;
    return boost::json::serialize(document);
}

result<configuration_head> decode_head(std::string_view bytes)
{
    result<boost::json::object> const document = parse_object(bytes);
    if (!document)
        return tl::unexpected<error>{document.error()};
    member_reader in{*document};
    configuration_head head;
    head.revision = in.number("revision");
    head.note_id = in.string("note");
    head.manifest = in.string("manifest");
    if (!in.valid())
        return failure(result_code::part_corrupt, "malformed head");
    return head;
}

std::string encode_manifest(manifest const& list)
{
    boost::json::array parts;
    for (std::string const& hash : list.parts)
        parts.emplace_back(hash);
    boost::json::object document;
    document["revision"] = list.revision;
    document["note"] = list.note_id;
    document["parts"] = std::move(parts);
    return boost::json::serialize(document);
}

result<manifest> decode_manifest(std::string_view bytes)
{
    result<boost::json::object> const document = parse_object(bytes);
    if (!document)
        return tl::unexpected<error>{document.error()};
    member_reader in{*document};
    manifest list;
    list.revision = in.number("revision");
    list.note_id = in.string("note");
    list.parts = in.strings("parts");
    if (!in.valid())
        return failure(result_code::part_corrupt, "malformed manifest");
    return list;
}

} // namespace hornbeamweir
