#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hornbeamweir
{

/// \brief Returns the SHA-256 of bytes as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string content_hash(std::string_view bytes);

/// \brief Returns the XXH3 64-bit hash of bytes, the same in every process.
[[nodiscard]] std::uint64_t stable_hash(std::string_view bytes) noexcept;

/// \brief Compares two strings in a time that depends only on their sizes, so
/// that the time taken does not reveal where a secret differs.
[[nodiscard]] bool
equal_in_constant_time(std::string_view lhs, std::string_view rhs) noexcept;

} // namespace hornbeamweir
