#pragma once

#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/relay/request_trait.hpp>

#include <map>

namespace hornbeamweir::relay
{

/// \brief Counts the answers of replicas to requests with each trait.
/// \remarks Bounded: keeps two periods, and begins a new one early if there are
/// many traits.
class answered_traits
{
public:
    static constexpr duration period = std::chrono::seconds{30};
    static constexpr std::size_t max_traits = 1024;

    void on_answered(request_trait const& trait, time_point now)
    {
        if (now - began_at_ >= period || recent_.size() >= max_traits)
        {
            previous_ = std::exchange(recent_, {});
            began_at_ = now;
        }
        ++recent_[trait];
    }

    /// \returns The number of answers in the current and the last period.
    [[nodiscard]] std::uint32_t count(request_trait const& trait) const
    {
        auto const recent = recent_.find(trait);
        auto const previous = previous_.find(trait);
        return (recent == recent_.end() ? 0 : recent->second) +
               (previous == previous_.end() ? 0 : previous->second);
    }

private:
    std::map<request_trait, std::uint32_t> recent_;
    std::map<request_trait, std::uint32_t> previous_;
    time_point began_at_{};
};

} // namespace hornbeamweir::relay
