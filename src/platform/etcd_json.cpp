#include <hornbeamweir/core/base64.hpp>
#include <hornbeamweir/platform/etcd_json.hpp>

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

#include <charconv>

namespace hornbeamweir::etcd
{

namespace
{

std::string encode_bytes(std::string_view bytes)
{
    return base64_encode(bytes);
}

std::string
bytes_member(boost::json::object const& object, std::string_view key)
{
    boost::json::value const* const it = object.if_contains(key);
    if (it == nullptr || !it->is_string())
        return {};
    return base64_decode(it->get_string()).value_or(std::string{});
}

boost::json::array const*
array_member(boost::json::object const& object, std::string_view key)
{
    boost::json::value const* const it = object.if_contains(key);
    return it == nullptr ? nullptr : it->if_array();
}

boost::json::object const*
object_member(boost::json::object const& object, std::string_view key)
{
    boost::json::value const* const it = object.if_contains(key);
    return it == nullptr ? nullptr : it->if_object();
}

stored_value value_of(boost::json::object const& pair)
{
    return {
        bytes_member(pair, "value"),
        number_member(pair, "create_revision"),
        number_member(pair, "mod_revision")};
}

void read_pairs(
    boost::json::object const& range, std::map<std::string, stored_value>& out)
{
    boost::json::array const* const pairs = array_member(range, "kvs");
    if (pairs == nullptr)
        return;
    for (boost::json::value const& pair : *pairs)
    {
        if (boost::json::object const* const object = pair.if_object())
            out[bytes_member(*object, "key")] = value_of(*object);
    }
}

std::int64_t revision_of(boost::json::object const& reply)
{
    boost::json::object const* const header = object_member(reply, "header");
    return header == nullptr ? 0 : number_member(*header, "revision");
}

boost::json::object encode_write(key_write const& write)
{
    boost::json::object body;
    body["key"] = encode_bytes(write.key);
    boost::json::object request;
    if (!write.value)
    {
        request["requestDeleteRange"] = std::move(body);
        return request;
    }
    body["value"] = encode_bytes(*write.value);
    if (write.lease != 0)
        body["lease"] = std::to_string(write.lease);
    request["requestPut"] = std::move(body);
    return request;
}

boost::json::object encode_condition(key_condition const& condition)
{
    boost::json::object compare;
    compare["key"] = encode_bytes(condition.key);
    compare["target"] = "MOD";
    compare["result"] = "EQUAL";
    compare["modRevision"] = std::to_string(condition.modify_revision);
    return compare;
}

} // namespace

std::int64_t
number_member(boost::json::object const& object, std::string_view key)
{
    boost::json::value const* const it = object.if_contains(key);
    if (it == nullptr)
        return 0;
    if (!it->is_string())
    {
        boost::system::error_code ec;
        std::int64_t const value = it->to_number<std::int64_t>(ec);
        return ec ? 0 : value;
    }
    boost::json::string const& text = it->get_string();
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string end_of_prefix(std::string_view prefix)
{
    std::string end{prefix};
    while (!end.empty())
    {
        unsigned char const last = static_cast<unsigned char>(end.back());
        if (last != 0xff)
        {
            end.back() = static_cast<char>(last + 1);
            return end;
        }
        end.pop_back();
    }
    return std::string(1, '\0');
}

boost::json::object encode_range(std::string_view key)
{
    boost::json::object request;
    request["key"] = encode_bytes(key);
    return request;
}

boost::json::object encode_prefix_range(std::string_view prefix)
{
    boost::json::object request;
    request["key"] = encode_bytes(prefix);
    request["range_end"] = encode_bytes(end_of_prefix(prefix));
    return request;
}

boost::json::object encode_transaction(transaction const& request)
{
    boost::json::array compare;
    for (key_condition const& condition : request.conditions)
        compare.emplace_back(encode_condition(condition));
    boost::json::array success;
    for (key_write const& write : request.writes)
        success.emplace_back(encode_write(write));
    boost::json::array failure_reads;
    for (std::string const& key : request.reads_on_failure)
    {
        boost::json::object read;
        read["requestRange"] = encode_range(key);
        failure_reads.emplace_back(std::move(read));
    }
    boost::json::object message;
    message["compare"] = std::move(compare);
    message["success"] = std::move(success);
    message["failure"] = std::move(failure_reads);
    return message;
}

boost::json::object encode_watch(std::string_view prefix, std::int64_t from)
{
    boost::json::object create = encode_prefix_range(prefix);
    create["start_revision"] = std::to_string(from);
    boost::json::object message;
    message["create_request"] = std::move(create);
    return message;
}

result<range_reply> decode_range(boost::json::object const& reply)
{
    if (object_member(reply, "header") == nullptr)
        return failure(result_code::platform_refused, "reply has no header");
    range_reply range;
    range.revision = revision_of(reply);
    read_pairs(reply, range.values);
    return range;
}

result<transaction_reply> decode_transaction(boost::json::object const& reply)
{
    if (object_member(reply, "header") == nullptr)
        return failure(result_code::platform_refused, "reply has no header");
    transaction_reply outcome;
    outcome.revision = revision_of(reply);
    boost::json::value const* const succeeded = reply.if_contains("succeeded");
    outcome.succeeded =
        succeeded != nullptr && succeeded->is_bool() && succeeded->get_bool();
    boost::json::array const* const responses =
        array_member(reply, "responses");
    if (responses == nullptr)
        return outcome;
    for (boost::json::value const& response : *responses)
    {
        boost::json::object const* const object = response.if_object();
        boost::json::object const* const range =
            object == nullptr ? nullptr
                              : object_member(*object, "response_range");
        if (range != nullptr)
            read_pairs(*range, outcome.values);
    }
    return outcome;
}

result<std::vector<watch_event>> decode_watch(boost::json::object const& reply)
{
    boost::json::object const* const body = object_member(reply, "result");
    if (body == nullptr)
        return failure(
            result_code::platform_refused, "watch reply has no result");
    boost::json::value const* const canceled = body->if_contains("canceled");
    if (canceled != nullptr && canceled->is_bool() && canceled->get_bool())
        return failure(result_code::platform_refused, "watch was canceled");
    std::vector<watch_event> events;
    boost::json::array const* const list = array_member(*body, "events");
    if (list == nullptr)
        return events;
    for (boost::json::value const& item : *list)
    {
        boost::json::object const* const object = item.if_object();
        boost::json::object const* const pair =
            object == nullptr ? nullptr : object_member(*object, "kv");
        if (pair == nullptr)
            continue;
        watch_event& ev = events.emplace_back();
        ev.key = bytes_member(*pair, "key");
        boost::json::value const* const type = object->if_contains("type");
        bool const is_delete = type != nullptr && type->is_string() &&
                               type->get_string() == "DELETE";
        if (!is_delete)
            ev.value = value_of(*pair);
    }
    return events;
}

} // namespace hornbeamweir::etcd
