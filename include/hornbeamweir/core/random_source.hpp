#pragma once

#include <cstdint>
#include <string>

namespace hornbeamweir
{

/// \brief Seeded pseudo-random number generator (SplitMix64).
/// \remarks The same seed gives the same sequence on every platform.
class random_source
{
public:
    explicit constexpr random_source(std::uint64_t seed) noexcept
        : state_{seed}
    {
    }

    /// \brief Returns 64 uniformly distributed bits.
    [[nodiscard]] constexpr std::uint64_t next() noexcept
    {
        state_ += 0x9e3779b97f4a7c15ULL;
        std::uint64_t z = state_;
        z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
        return z ^ (z >> 31U);
    }

    /// \brief Returns a uniform integer in [0, bound), or 0 if bound is 0.
    [[nodiscard]] constexpr std::uint64_t below(std::uint64_t bound) noexcept
    {
        return bound == 0 ? 0 : next() % bound;
    }

    /// \brief Returns a uniform number in [0, 1).
    [[nodiscard]] constexpr double unit() noexcept
    {
        constexpr double scale = 1.0 / 9007199254740992.0;
        return static_cast<double>(next() >> 11U) * scale;
    }

    /// \brief Returns 32 random hexadecimal digits.
    [[nodiscard]] std::string hex_id();

private:
    std::uint64_t state_;
};

/// \brief Returns a random seed from the operating system.
[[nodiscard]] std::uint64_t system_seed();

} // namespace hornbeamweir
