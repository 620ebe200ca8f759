#include <hornbeamweir/entry/error_document.hpp>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace hornbeamweir
{

error_document make_error_document(
    request_id const& id,
    error const& reason,
    execution_state state,
    std::optional<duration> retry_after)
{
    error_document document;
    document.status = http_status_of(reason.code);
    std::string const name{name_of(reason.code)};
    boost::json::object body;
    body["type"] =
        "urn:hornbeamweir:result:" + std::to_string(number_of(reason.code));
    body["title"] = name;
    body["status"] = document.status;
    body["detail"] = reason.message;
    body["code"] = number_of(reason.code);
    body["execution"] = name_of(state);
    body["request_id"] = id.str();
    // Clients of completion endpoints expect the member "error".
    boost::json::object nested;
    nested["message"] = reason.message;
    nested["type"] = name;
    nested["code"] = name;
    body["error"] = std::move(nested);
    document.body = boost::json::serialize(body);
    document.headers = {
        {"Content-Type", "application/problem+json"},
        {"Content-Length", std::to_string(document.body.size())},
        {"X-Request-Id", id.str()}};
    if (retry_after)
    {
        std::chrono::seconds const seconds = std::max(
            std::chrono::ceil<std::chrono::seconds>(*retry_after),
            std::chrono::seconds{1});
        document.headers.push_back(
            {"Retry-After", std::to_string(seconds.count())});
    }
    return document;
}

} // namespace hornbeamweir
