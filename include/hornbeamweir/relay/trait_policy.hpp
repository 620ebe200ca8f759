#pragma once

#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/relay/request_trait.hpp>

namespace hornbeamweir::relay
{

/// \brief How far a replica has answered a request.
enum class answer_progress
{
    none,
    head,
    data,
    complete
};

/// \brief What requests are recognized by, and how answers speak for or against
/// it.
struct trait_policy
{
    /// Appends the traits of a kind.
    void (*append)(
        relay_request const& request,
        customer_id const& customer,
        request_traits& out);
    /// Whether a replica that ends at some progress of an answer, some time
    /// after its head, may have ended of the trait.
    bool (*is_suspect)(answer_progress progress, duration since_head);
    /// Progress of an answer which shows that a replica bears the trait.
    answer_progress cleared_by;
};

[[nodiscard]] trait_policy const& policy_of(trait_kind kind);

/// \returns All traits of a request.
/// \param customer Owner of its API key; empty if it has none.
[[nodiscard]] request_traits
traits_of(relay_request const& request, customer_id const& customer);

/// \returns The traits of which a replica may have ended.
[[nodiscard]] request_traits suspects_of(
    request_traits const& traits,
    answer_progress progress,
    duration since_head);

} // namespace hornbeamweir::relay

namespace hornbeamweir
{

template <>
struct enum_table<relay::answer_progress>
{
    using progress = relay::answer_progress;
    static constexpr std::array<enum_name<progress>, 4> rows{
        {{progress::none, "none"},
         {progress::head, "head"},
         {progress::data, "data"},
         {progress::complete, "complete"}}};
};

} // namespace hornbeamweir
