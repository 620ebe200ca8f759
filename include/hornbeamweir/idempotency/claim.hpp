#pragma once

#include <hornbeamweir/core/enum_table.hpp>
#include <hornbeamweir/core/identifier.hpp>

#include <cstdint>
#include <string>

namespace hornbeamweir
{

/// \brief Requests the exclusive right to execute a request that has an
/// idempotency key.
struct claim_request
{
    request_id id;
    /// Hash of the customer and the idempotency key.
    std::string claim;
    /// Identifies the request's content, to detect reuse of the key.
    std::string fingerprint;
    /// Backend server that is to execute the request, and the incarnation of
    /// its agent.
    backend_server_id holder;
    std::uint64_t holder_incarnation = 0;
    /// Fencing token of the key's earlier claim, which was not executed and
    /// is replaced by this one; 0 for none.
    std::uint64_t previous_fence = 0;

    [[nodiscard]] friend bool
    operator==(claim_request const&, claim_request const&) = default;
};

enum class claim_verdict
{
    /// The claim is durable; the holder may execute the request once.
    granted,
    /// Another request with this key was claimed before, for the backend
    /// server in claim_outcome::holder.
    recorded,
    /// The key was claimed before by a request with a different fingerprint.
    key_reused,
    /// Nothing was claimed, because the platform is not available.
    unavailable,
    /// The outcome of the claim is not known; the request must not be
    /// executed.
    unknown
};

template <>
struct enum_table<claim_verdict>
{
    static constexpr std::array<enum_name<claim_verdict>, 5> rows{
        {{claim_verdict::granted, "granted"},
         {claim_verdict::recorded, "recorded"},
         {claim_verdict::key_reused, "key_reused"},
         {claim_verdict::unavailable, "unavailable"},
         {claim_verdict::unknown, "unknown"}}};
};

/// \brief Outcome of a claim_request.
struct claim_outcome
{
    claim_verdict verdict = claim_verdict::unavailable;
    /// Fencing token (fence) of the stored claim: a later claim of the same key
    /// has a greater one. 0 if the verdict is unavailable or unknown.
    std::uint64_t fence = 0;
    /// Backend server that the stored claim names, and the incarnation of its
    /// agent.
    backend_server_id holder;
    std::uint64_t holder_incarnation = 0;

    [[nodiscard]] friend bool
    operator==(claim_outcome const&, claim_outcome const&) = default;
};

} // namespace hornbeamweir
