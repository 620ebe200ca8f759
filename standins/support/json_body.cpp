#include "standins/support/json_body.hpp"

#include <hornbeamweir/platform/etcd_json.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace standin
{

boost::json::object parse_object(std::string const& body)
{
    boost::system::error_code ec;
    boost::json::value const value = boost::json::parse(body, ec);
    return !ec && value.is_object() ? value.get_object()
                                    : boost::json::object{};
}

std::int64_t number_in(
    boost::json::object const& object,
    std::string_view key,
    std::int64_t default_value)
{
    return object.contains(key) ? hornbeamweir::etcd::number_member(object, key)
                                : default_value;
}

std::string text_in(boost::json::object const& object, std::string_view key)
{
    boost::json::value const* const it = object.if_contains(key);
    return it != nullptr && it->is_string() ? std::string{it->get_string()}
                                            : std::string{};
}

void send_json(
    hornbeamweir::http_exchange& exchange, boost::json::object const& body)
{
    constexpr unsigned ok = 200;
    hornbeamweir::send_response(
        exchange, ok, "application/json", boost::json::serialize(body));
}

void send_error(
    hornbeamweir::http_exchange& exchange, hornbeamweir::result_code code)
{
    hornbeamweir::send_response(
        exchange,
        hornbeamweir::http_status_of(code),
        "text/plain",
        "refused\n");
}

} // namespace standin
