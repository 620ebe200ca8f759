#include <hornbeamweir/core/content_hash.hpp>
#include <hornbeamweir/relay/request_trait.hpp>

#include <array>
#include <cstdio>

namespace hornbeamweir::relay
{

namespace
{

void append_prompt_parts(
    relay_request const& request, customer_id const&, request_traits& out)
{
    for (prompt_part_id const& it : request.shared_parts)
        out.push_back({trait_kind::prompt_part, it.str()});
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

using append_traits =
    void (*)(relay_request const&, customer_id const&, request_traits&);

constexpr std::array<append_traits, 2> recognizers{
    append_prompt_parts, append_whole_request};

} // namespace

request_traits
traits_of(relay_request const& request, customer_id const& customer)
{
    request_traits out;
    out.reserve(request.shared_parts.size() + 1);
    for (append_traits const append : recognizers)
        append(request, customer, out);
    return out;
}

std::string to_string(request_trait const& it)
{
    return std::string{name_of(it.kind)} + ':' + it.value;
}

} // namespace hornbeamweir::relay
