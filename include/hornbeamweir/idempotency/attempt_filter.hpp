#pragma once

#include <hornbeamweir/core/time.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace hornbeamweir
{

/// \brief Detects duplicates of attempts of non-idempotent requests that have
/// no claim.
class attempt_filter
{
public:
    /// \brief Records an attempt.
    /// \param deadline Instant at which the entry abandons the request.
    /// \returns Whether the attempt was not recorded before.
    [[nodiscard]] bool register_attempt(
        std::string const& id, std::uint32_t attempt, time_point deadline);

    /// \brief Removes attempts whose deadline passed longer ago than a grace
    /// period, within which duplicates may still arrive.
    void expire(time_point now);

    [[nodiscard]] std::size_t size() const noexcept { return recorded_.size(); }

private:
    using attempt_key = std::pair<std::string, std::uint32_t>;

    std::set<attempt_key> recorded_;
    std::multimap<time_point, attempt_key> expiries_;
};

} // namespace hornbeamweir
