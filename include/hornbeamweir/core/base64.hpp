#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace hornbeamweir
{

/// \brief Encodes bytes as padded base64.
[[nodiscard]] std::string base64_encode(std::string_view bytes);

/// \brief Decodes padded base64.
/// \returns std::nullopt if the text is malformed.
[[nodiscard]] std::optional<std::string> base64_decode(std::string_view text);

} // namespace hornbeamweir
