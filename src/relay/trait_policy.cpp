#include <hornbeamweir/core/content_hash.hpp>
#include <hornbeamweir/relay/trait_policy.hpp>

#include <algorithm>
#include <cstdio>
#include <iterator>

namespace hornbeamweir::relay
{

namespace
{

/// Time after the head of a response within which its replica must end, if the
/// begin of the answer is the cause.
constexpr duration max_crash_delay = std::chrono::milliseconds{500};

void append_prompt_parts(
    relay_request const& request, customer_id const&, request_traits& out)
{
    for (prompt_part_id const& it : request.shared_parts)
        out.push_back({trait_kind::prompt_part, it.str()});
}

// A replica that has sent data has got over the begin of its answer; one that
// has not sent a head may not have begun to read the prompt.
bool is_begin_of_answer(answer_progress progress, duration since_head)
{
    return progress == answer_progress::head && since_head <= max_crash_delay;
}

// The body is hashed by itself, so that a long one is not copied. No field that
// may differ when a caller repeats the request is used. Line feeds separate the
// fields, as none of them can contain one.
void append_whole_request(
    relay_request const& request,
    customer_id const& customer,
    request_traits& out)
{
    std::string text = customer.str();
    for (std::string const* it :
         {&request.method, &request.host, &request.target})
        text.append("\n").append(*it);
    text.append("\n").append(std::to_string(stable_hash(request.body)));
    std::array<char, 17> buf{};
    std::snprintf(
        buf.data(),
        buf.size(),
        "%016llx",
        static_cast<unsigned long long>(stable_hash(text)));
    out.push_back({trait_kind::whole_request, buf.data()});
}

bool is_incomplete(answer_progress progress, duration)
{
    return progress != answer_progress::complete;
}

constexpr std::array<trait_policy, enum_table<trait_kind>::rows.size()>
    policies{
        {{append_prompt_parts, is_begin_of_answer, answer_progress::data},
         {append_whole_request, is_incomplete, answer_progress::complete}}};

} // namespace

trait_policy const& policy_of(trait_kind kind)
{
    return policies[static_cast<std::size_t>(kind)];
}

request_traits
traits_of(relay_request const& request, customer_id const& customer)
{
    request_traits out;
    out.reserve(request.shared_parts.size() + 1);
    for (trait_policy const& it : policies)
        it.append(request, customer, out);
    return out;
}

request_traits suspects_of(
    request_traits const& traits, answer_progress progress, duration since_head)
{
    request_traits out;
    std::copy_if(
        traits.begin(),
        traits.end(),
        std::back_inserter(out),
        [&](request_trait const& it)
        { return policy_of(it.kind).is_suspect(progress, since_head); });
    return out;
}

} // namespace hornbeamweir::relay
