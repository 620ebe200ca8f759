#include <hornbeamweir/core/random_source.hpp>

#include <array>
#include <cstdio>
#include <random>

namespace hornbeamweir
{

std::string random_source::hex_id()
{
    std::array<char, 33> buf{};
    std::snprintf(
        buf.data(),
        buf.size(),
        "%016llx%016llx",
        static_cast<unsigned long long>(next()),
        static_cast<unsigned long long>(next()));
    return {buf.data(), 32};
}

std::uint64_t system_seed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace hornbeamweir
