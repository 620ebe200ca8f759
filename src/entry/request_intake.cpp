#include <hornbeamweir/core/content_hash.hpp>
#include <hornbeamweir/entry/request_intake.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace hornbeamweir
{

namespace
{

constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::string_view service_prefix = "/services/";
constexpr std::size_t max_key_size = 255;
constexpr std::int64_t max_timeout_ms = 3'600'000;

constexpr std::array<std::string_view, 2> completion_targets{
    "/v1/chat/completions", "/v1/completions"};
constexpr std::array<std::string_view, 5> idempotent_methods{
    "GET", "HEAD", "PUT", "DELETE", "OPTIONS"};
constexpr std::array<std::string_view, 7> service_methods{
    "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "POST", "PATCH"};

template <std::size_t N>
bool contains(
    std::array<std::string_view, N> const& names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

std::string_view path_of(std::string_view target) noexcept
{
    return target.substr(0, target.find('?'));
}

} // namespace

request_intake::request_intake(duration default_timeout)
    : default_timeout_{default_timeout}
    , current_{std::make_shared<configuration const>()}
{
}

void request_intake::apply_configuration(
    std::shared_ptr<configuration const> current)
{
    current_ = std::move(current);
    customers_by_token_hash_.clear();
    models_.clear();
    current_->for_each_part(
        [&](configuration_part const& part)
        {
            for (auto it = part.customers.begin(); it != part.customers.end();
                 ++it)
                customers_by_token_hash_[it->second.token_hash] = it->first;
            for (auto it = part.model_groups.begin();
                 it != part.model_groups.end();
                 ++it)
                models_.insert(it->second.model);
        });
}

std::vector<std::string> request_intake::models() const
{
    return {models_.begin(), models_.end()};
}

customer const* request_intake::authenticate(header_list const& headers) const
{
    std::string const* const value =
        find_header(headers, caller_header::authorization);
    if (value == nullptr || !value->starts_with(bearer_prefix))
        return nullptr;
    std::string const hash =
        content_hash(std::string_view{*value}.substr(bearer_prefix.size()));
    auto const it = customers_by_token_hash_.find(hash);
    if (it == customers_by_token_hash_.end() ||
        !equal_in_constant_time(it->first, hash))
        return nullptr;
    return current_->find(it->second);
}

result<inbound_request> request_intake::check(
    request_id id, http_request_message message, time_point now) const
{
    customer const* const customer_record = authenticate(message.headers);
    if (customer_record == nullptr)
    {
        return failure(
            result_code::unauthorized,
            "found no bearer token of a known customer, expected "
            "'Authorization: Bearer TOKEN'");
    }
    inbound_request request;
    request.id = std::move(id);
    request.message = std::move(message);
    request.customer = customer_record->id;
    request.priority = customer_record->priority;
    request.arrived = now;
    result<void> const checked =
        check_target(request)
            .and_then([&] { return check_idempotency_key(request); })
            .and_then([&] { return check_deadline(request, now); });
    if (!checked)
        return tl::unexpected<error>{checked.error()};
    return request;
}

result<void> request_intake::check_target(inbound_request& request) const
{
    http_request_message const& message = request.message;
    std::string_view const path = path_of(message.target);
    if (contains(completion_targets, path))
        return check_completion(request);
    if (!path.starts_with(service_prefix))
        return failure(result_code::not_found, "no such path");
    std::string_view const rest = path.substr(service_prefix.size());
    request.service = std::string{rest.substr(0, rest.find('/'))};
    if (!contains(service_methods, message.method))
        return failure(result_code::method_not_allowed, message.method);
    request.idempotent = contains(idempotent_methods, message.method);
    return {};
}

result<void> request_intake::check_completion(inbound_request& request) const
{
    if (request.message.method != "POST")
        return failure(result_code::method_not_allowed, "expected POST");
    boost::system::error_code ec;
    boost::json::value const body =
        boost::json::parse(request.message.body, ec);
    boost::json::object const* const object = ec ? nullptr : body.if_object();
    if (object == nullptr)
    {
        return failure(
            result_code::malformed_request,
            "found a body that is no JSON object, expected one with 'model'");
    }
    boost::json::value const* const model = object->if_contains("model");
    if (model == nullptr || !model->is_string())
    {
        return failure(
            result_code::malformed_request,
            "found no 'model' in the body, expected the name of a model");
    }
    request.model = std::string{model->get_string()};
    if (!models_.contains(request.model))
        return failure(result_code::not_found, "no model " + request.model);
    boost::json::value const* const stream = object->if_contains("stream");
    request.streamed =
        stream != nullptr && stream->is_bool() && stream->get_bool();
    request.idempotent = true;
    return {};
}

result<void>
request_intake::check_idempotency_key(inbound_request& request) const
{
    std::string const* const key =
        find_header(request.message.headers, caller_header::idempotency_key);
    if (key == nullptr)
        return {};
    if (key->empty() || key->size() > max_key_size)
    {
        return failure(
            result_code::key_invalid,
            "found a key of " + std::to_string(key->size()) +
                " characters, expected 1 to 255");
    }
    request.claim = content_hash(request.customer.str() + '\n' + *key);
    request.fingerprint = content_hash(
        request.message.method + '\n' + request.message.target + '\n' +
        request.message.body);
    request.idempotent = false;
    return {};
}

result<void>
request_intake::check_deadline(inbound_request& request, time_point now) const
{
    request.deadline = now + default_timeout_;
    std::string const* const value =
        find_header(request.message.headers, caller_header::timeout_ms);
    if (value == nullptr)
        return {};
    std::int64_t ms = 0;
    char const* const last = value->data() + value->size();
    std::from_chars_result const parsed =
        std::from_chars(value->data(), last, ms);
    bool const valid = parsed.ec == std::errc{} && parsed.ptr == last &&
                       ms > 0 && ms <= max_timeout_ms;
    if (!valid)
    {
        return failure(
            result_code::malformed_request,
            "found X-Request-Timeout-Ms \"" + *value +
                "\", expected 1 to 3600000");
    }
    request.deadline = now + std::chrono::milliseconds{ms};
    return {};
}

} // namespace hornbeamweir
