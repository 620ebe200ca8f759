#pragma once

#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/relay/relay_request.hpp>

#include <map>

namespace hornbeamweir::relay
{

/// \brief Counts the answers of replicas to prompts with each part.
/// \remarks Bounded: keeps two periods, and begins a new one early if there are
/// many parts.
class answered_traits
{
public:
    static constexpr duration period = std::chrono::seconds{30};
    static constexpr std::size_t max_parts = 1024;

    void on_answered(prompt_part_id const& part, time_point now)
    {
        if (now - began_at_ >= period || recent_.size() >= max_parts)
        {
            previous_ = std::exchange(recent_, {});
            began_at_ = now;
        }
        ++recent_[part];
    }

    /// \returns The number of answers in the current and the last period.
    [[nodiscard]] std::uint32_t count(prompt_part_id const& part) const
    {
        auto const recent = recent_.find(part);
        auto const previous = previous_.find(part);
        return (recent == recent_.end() ? 0 : recent->second) +
               (previous == previous_.end() ? 0 : previous->second);
    }

private:
    std::map<prompt_part_id, std::uint32_t> recent_;
    std::map<prompt_part_id, std::uint32_t> previous_;
    time_point began_at_{};
};

} // namespace hornbeamweir::relay
