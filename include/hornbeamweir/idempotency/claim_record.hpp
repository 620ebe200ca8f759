#pragma once

#include <hornbeamweir/idempotency/claim.hpp>
#include <hornbeamweir/platform/platform.hpp>

#include <string>

namespace hornbeamweir
{

/// \brief Returns the platform key under which a claim is stored.
[[nodiscard]] std::string claim_key(std::string const& claim);

/// \brief Returns the value that is stored on the platform for a claim.
[[nodiscard]] std::string encode_claim(claim_request const& request);

/// \brief Compares a claim with the one that is stored under its key.
/// \returns granted if the stored claim is the request's own, key_reused or
/// recorded if it is another's, and unknown if it cannot be parsed.
[[nodiscard]] claim_outcome
evaluate_claim(claim_request const& request, stored_value const& stored);

} // namespace hornbeamweir
