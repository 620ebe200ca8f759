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

/// \brief Determines the outcome of a claim whose key is already stored.
/// \returns claim_verdict::unknown if the stored value cannot be parsed.
[[nodiscard]] claim_outcome
evaluate_claim(claim_request const& request, stored_value const& stored);

} // namespace hornbeamweir
