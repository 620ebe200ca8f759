#pragma once

#include <hornbeamweir/core/random_source.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Seeded mutations of valid inputs. HORNBEAMWEIR_FUZZ_SEED sets the
/// seed and HORNBEAMWEIR_FUZZ_ROUNDS the number of inputs for each test.

namespace test
{

inline std::uint64_t
from_environment(char const* name, std::uint64_t default_value)
{
    char const* const value = std::getenv(name);
    return value == nullptr ? default_value : std::strtoull(value, nullptr, 10);
}

inline std::uint64_t seed()
{
    return from_environment("HORNBEAMWEIR_FUZZ_SEED", 1);
}
inline std::uint64_t rounds()
{
    return from_environment("HORNBEAMWEIR_FUZZ_ROUNDS", 3000);
}

/// \brief Applies one to four random edits: replaces, inserts, removes or
/// duplicates bytes, or puts an odd piece of JSON in the place of some.
inline std::string mutate(std::string text, hornbeamweir::random_source& random)
{
    std::uint64_t const changes = 1 + random.below(4);
    for (std::uint64_t n = 0; n < changes; ++n)
    {
        std::size_t const at = random.below(text.size() + 1);
        std::string const piece =
            text.substr(random.below(text.size() + 1), random.below(20));
        static constexpr std::array<std::string_view, 8> odd{
            "-1",
            "0.5",
            "1e999",
            "18446744073709551616",
            "null",
            "[[[[",
            "{\"a\":",
            "\"\xff\""};
        switch (random.below(5))
        {
        case 0:
            text.insert(at, 1, static_cast<char>(random.below(256)));
            break;
        case 1:
            text.erase(at, random.below(10));
            break;
        case 2:
            text.insert(at, piece);
            break;
        case 3:
            text.erase(at, random.below(4));
            text.insert(at, odd.at(random.below(odd.size())));
            break;
        default:
            if (at < text.size())
                text[at] = static_cast<char>(random.below(256));
            break;
        }
    }
    return text;
}

template <typename Use>
void fuzz(std::vector<std::string> const& corpus, Use const& use)
{
    hornbeamweir::random_source random{seed()};
    INFO("seed " << seed());
    for (std::uint64_t n = 0; n < rounds(); ++n)
        use(mutate(corpus[random.below(corpus.size())], random));
    SUCCEED();
}

} // namespace test
