#include <hornbeamweir/core/content_hash.hpp>

#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>

namespace hornbeamweir
{

std::string content_hash(std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(
        reinterpret_cast<unsigned char const*>(bytes.data()),
        bytes.size(),
        digest.data());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(digest.size() * 2);
    for (unsigned char byte : digest)
    {
        text += digits[byte >> 4U];
        text += digits[byte & 0xfU];
    }
    return text;
}

std::uint64_t stable_hash(std::string_view bytes) noexcept
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

bool equal_in_constant_time(std::string_view lhs, std::string_view rhs) noexcept
{
    return lhs.size() == rhs.size() &&
           CRYPTO_memcmp(lhs.data(), rhs.data(), lhs.size()) == 0;
}

} // namespace hornbeamweir
