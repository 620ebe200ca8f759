#include <hornbeamweir/core/base64.hpp>

#include <openssl/evp.h>

#include <vector>

namespace hornbeamweir
{

std::string base64_encode(std::string_view bytes)
{
    // EVP_EncodeBlock appends a terminating zero.
    std::vector<unsigned char> buf(4 * ((bytes.size() + 2) / 3) + 1);
    int const n = EVP_EncodeBlock(
        buf.data(),
        reinterpret_cast<unsigned char const*>(bytes.data()),
        static_cast<int>(bytes.size()));
    return {buf.begin(), buf.begin() + n};
}

std::optional<std::string> base64_decode(std::string_view text)
{
    if (text.size() % 4 != 0)
        return std::nullopt;
    std::vector<unsigned char> buf(text.size() / 4 * 3 + 1);
    int const n = EVP_DecodeBlock(
        buf.data(),
        reinterpret_cast<unsigned char const*>(text.data()),
        static_cast<int>(text.size()));
    if (n < 0)
        return std::nullopt;
    std::size_t padding = 0;
    if (text.ends_with("=="))
        padding = 2;
    else if (text.ends_with('='))
        padding = 1;
    return std::string{
        buf.begin(),
        buf.begin() +
            static_cast<std::ptrdiff_t>(static_cast<std::size_t>(n) - padding)};
}

} // namespace hornbeamweir
