#include <hornbeamweir/idempotency/claim_record.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <charconv>

namespace hornbeamweir
{

namespace
{

std::string
string_field(boost::json::object const& document, std::string_view key)
{
    boost::json::value const* const it = document.if_contains(key);
    return it != nullptr && it->is_string() ? std::string{it->get_string()}
                                            : std::string{};
}

std::uint64_t
integer_field(boost::json::object const& document, std::string_view key)
{
    std::string const text = string_field(document, key);
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace

std::string claim_key(std::string const& claim)
{
    return "/hornbeamweir/claims/" + claim;
}

std::string encode_claim(claim_request const& request)
{
    boost::json::object document;
    document["request"] = request.id.str();
    document["fingerprint"] = request.fingerprint;
    document["holder"] = request.holder.str();
    document["incarnation"] = std::to_string(request.holder_incarnation);
    return boost::json::serialize(document);
}

claim_outcome
evaluate_claim(claim_request const& request, stored_value const& stored)
{
    boost::system::error_code ec;
    boost::json::value const value = boost::json::parse(stored.value, ec);
    if (ec || !value.is_object())
        return {claim_verdict::unknown, 0, {}, 0};
    boost::json::object const& document = value.get_object();
    claim_outcome outcome;
    outcome.fence = static_cast<std::uint64_t>(stored.modify_revision);
    outcome.holder = backend_server_id{string_field(document, "holder")};
    outcome.holder_incarnation = integer_field(document, "incarnation");
    bool const own_claim =
        string_field(document, "request") == request.id.str() &&
        outcome.holder == request.holder &&
        outcome.holder_incarnation == request.holder_incarnation;
    if (own_claim)
        outcome.verdict = claim_verdict::granted;
    else if (string_field(document, "fingerprint") != request.fingerprint)
        outcome.verdict = claim_verdict::key_reused;
    else
        outcome.verdict = claim_verdict::recorded;
    return outcome;
}

} // namespace hornbeamweir
