#pragma once

#include <hornbeamweir/core/enum_table.hpp>
#include <hornbeamweir/relay/relay_request.hpp>

#include <compare>
#include <string>
#include <vector>

namespace hornbeamweir::relay
{

/// \brief What a request is recognized by when it, or one like it, comes again.
enum class trait_kind
{
    /// A shared part of its prompt.
    prompt_part,
    /// Its customer, method, host, target and body together.
    whole_request
};

/// \brief One property that a request may have in common with others.
struct request_trait
{
    trait_kind kind = trait_kind::prompt_part;
    /// Id of the prompt part, or hash of the request.
    std::string value;

    [[nodiscard]] friend auto
    operator<=>(request_trait const&, request_trait const&) = default;
};

using request_traits = std::vector<request_trait>;

/// \returns Kind and value, for logs.
[[nodiscard]] std::string to_string(request_trait const& it);

} // namespace hornbeamweir::relay

namespace hornbeamweir
{

template <>
struct enum_table<relay::trait_kind>
{
    static constexpr std::array<enum_name<relay::trait_kind>, 2> rows{
        {{relay::trait_kind::prompt_part, "prompt_part"},
         {relay::trait_kind::whole_request, "whole_request"}}};
};

} // namespace hornbeamweir
