#include "gateway_messages.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace hornbeamweir
{

namespace
{

namespace http = boost::beast::http;

constexpr unsigned http_1_1 = 11;

} // namespace

gateway_request
make_gateway_request(std::string const& target, boost::json::object const& body)
{
    gateway_request request{http::verb::post, target, http_1_1};
    request.set(http::field::host, "platform");
    request.set(http::field::content_type, "application/json");
    request.body() = boost::json::serialize(body);
    request.prepare_payload();
    return request;
}

result<boost::json::object> parse_gateway_reply(std::string const& text)
{
    boost::system::error_code ec;
    boost::json::value value = boost::json::parse(text, ec);
    if (ec || !value.is_object())
        return failure(
            result_code::platform_refused, "reply is not a JSON object");
    return std::move(value.get_object());
}

} // namespace hornbeamweir
