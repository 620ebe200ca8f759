#include "standins/platform/gateway_messages.hpp"

#include <hornbeamweir/core/base64.hpp>

#include "standins/support/json_body.hpp"

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

namespace standin
{

namespace
{

using hornbeamweir::base64_decode;
using hornbeamweir::base64_encode;

std::string bytes_in(boost::json::object const& object, std::string_view key)
{
    return base64_decode(text_in(object, key)).value_or(std::string{});
}

boost::json::object encode_pair(std::string const& key, stored_value const& it)
{
    boost::json::object pair;
    pair["key"] = base64_encode(key);
    pair["value"] = base64_encode(it.value);
    pair["create_revision"] = std::to_string(it.create_revision);
    pair["mod_revision"] = std::to_string(it.modify_revision);
    return pair;
}

void decode_write(
    boost::json::object const& operation, hornbeamweir::transaction& out)
{
    if (boost::json::value const* const put =
            operation.if_contains("requestPut"))
    {
        boost::json::object const& body = put->as_object();
        out.writes.push_back(
            {bytes_in(body, "key"),
             bytes_in(body, "value"),
             number_in(body, "lease", 0)});
    }
    else if (
        boost::json::value const* const removed =
            operation.if_contains("requestDeleteRange"))
    {
        out.writes.push_back(
            {bytes_in(removed->as_object(), "key"), std::nullopt, 0});
    }
}

boost::json::array
list_in(boost::json::object const& object, std::string_view key)
{
    boost::json::value const* const it = object.if_contains(key);
    return it != nullptr && it->is_array() ? it->get_array()
                                           : boost::json::array{};
}

} // namespace

key_range decode_range(boost::json::object const& request)
{
    return {bytes_in(request, "key"), bytes_in(request, "range_end")};
}

hornbeamweir::transaction decode_transaction(boost::json::object const& request)
{
    hornbeamweir::transaction out;
    for (boost::json::value const& item : list_in(request, "compare"))
    {
        boost::json::object const& compare = item.as_object();
        out.conditions.push_back(
            {bytes_in(compare, "key"), number_in(compare, "modRevision", 0)});
    }
    for (boost::json::value const& item : list_in(request, "success"))
        decode_write(item.as_object(), out);
    for (boost::json::value const& item : list_in(request, "failure"))
    {
        boost::json::value const* const range =
            item.as_object().if_contains("requestRange");
        if (range != nullptr)
            out.reads_on_failure.push_back(bytes_in(range->as_object(), "key"));
    }
    return out;
}

boost::json::object encode_header(std::int64_t revision)
{
    boost::json::object header;
    header["revision"] = std::to_string(revision);
    boost::json::object message;
    message["header"] = std::move(header);
    return message;
}

boost::json::object encode_range(
    std::map<std::string, stored_value> const& values, std::int64_t revision)
{
    boost::json::array pairs;
    for (auto it = values.begin(); it != values.end(); ++it)
        pairs.emplace_back(encode_pair(it->first, it->second));
    boost::json::object message = encode_header(revision);
    message["count"] = std::to_string(values.size());
    message["kvs"] = std::move(pairs);
    return message;
}

boost::json::object
encode_events(std::vector<key_value_store::change> const& changes)
{
    boost::json::array events;
    for (key_value_store::change const& it : changes)
    {
        boost::json::object ev;
        stored_value deleted;
        deleted.modify_revision = it.revision;
        if (!it.value)
            ev["type"] = "DELETE";
        ev["kv"] = encode_pair(it.key, it.value.value_or(deleted));
        events.emplace_back(std::move(ev));
    }
    boost::json::object body =
        encode_header(changes.empty() ? 0 : changes.back().revision);
    body["events"] = std::move(events);
    boost::json::object message;
    message["result"] = std::move(body);
    return message;
}

} // namespace standin
