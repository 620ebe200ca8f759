#include <hornbeamweir/client/note_store.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace hornbeamweir
{

namespace
{

boost::json::array to_array(std::vector<std::string> const& values)
{
    boost::json::array out;
    for (std::string const& value : values)
        out.emplace_back(value);
    return out;
}

std::vector<std::string> from_array(boost::json::value const& value)
{
    std::vector<std::string> out;
    for (boost::json::value const& item : value.as_array())
        out.emplace_back(item.as_string());
    return out;
}

} // namespace

std::string encode_note_record(note_record const& record)
{
    boost::json::object document;
    document["id"] = record.id;
    document["revision"] = record.revision;
    document["hash"] = record.hash;
    document["applied_by"] = record.applied_by;
    document["applied_at"] = record.applied_at;
    document["objects"] = to_array(record.objects);
    document["replaced"] = to_array(record.replaced_hashes);
    return boost::json::serialize(document);
}

result<note_record> decode_note_record(std::string_view bytes)
{
    try
    {
        boost::json::value const value = boost::json::parse(bytes);
        boost::json::object const& document = value.as_object();
        note_record record;
        record.id = std::string{document.at("id").as_string()};
        record.revision = document.at("revision").to_number<std::uint64_t>();
        record.hash = std::string{document.at("hash").as_string()};
        record.applied_by = std::string{document.at("applied_by").as_string()};
        record.applied_at = document.at("applied_at").to_number<std::int64_t>();
        record.objects = from_array(document.at("objects"));
        record.replaced_hashes = from_array(document.at("replaced"));
        return record;
    }
    catch (std::exception const& ex)
    {
        return failure(result_code::part_corrupt, ex.what());
    }
}

} // namespace hornbeamweir
