#include <hornbeamweir/http/header_list.hpp>

#include <algorithm>
#include <array>

namespace hornbeamweir
{

namespace
{

constexpr std::array<std::string_view, 8> hop_by_hop{
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade"};

char lower(char c) noexcept
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

} // namespace

bool same_header_name(std::string_view lhs, std::string_view rhs) noexcept
{
    return std::equal(
        lhs.begin(),
        lhs.end(),
        rhs.begin(),
        rhs.end(),
        [](char a, char b) { return lower(a) == lower(b); });
}

std::string const*
find_header(header_list const& headers, std::string_view name) noexcept
{
    for (header_field const& field : headers)
    {
        if (same_header_name(field.name, name))
            return &field.value;
    }
    return nullptr;
}

bool is_hop_by_hop(std::string_view name) noexcept
{
    return std::any_of(
        hop_by_hop.begin(),
        hop_by_hop.end(),
        [&](std::string_view it) { return same_header_name(it, name); });
}

} // namespace hornbeamweir
