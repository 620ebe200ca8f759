#pragma once

#include <hornbeamweir/core/time.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace hornbeamweir
{

/// \brief Detects duplicate copies of attempts that have no claim.
class attempt_filter
{
public:
    /// \brief Records an attempt.
    /// \param deadline Instant at which the entry abandons the request.
    /// \returns Whether this is the first copy of the attempt.
    [[nodiscard]] bool register_attempt(
        std::string const& request, std::uint32_t attempt, time_point deadline);

    /// \brief Forgets attempts whose deadline passed longer ago than a grace
    /// period.
    void expire(time_point now);

    [[nodiscard]] std::size_t size() const noexcept { return seen_.size(); }

private:
    using attempt_key = std::pair<std::string, std::uint32_t>;

    std::set<attempt_key> seen_;
    std::multimap<time_point, attempt_key> expiries_;
};

} // namespace hornbeamweir
