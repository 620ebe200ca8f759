#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>

namespace hornbeamweir
{

/// \brief What a coordinator leaves in the store for the next one.
struct coordinator_record
{
    /// Rank on its VM.
    std::optional<std::uint32_t> rank;
    /// Address of that rank; empty in records of earlier versions.
    std::string address;
};

/// \brief Reads "RANK ADDRESS", or "RANK" of an earlier version; anything else
/// names no rank.
[[nodiscard]] inline coordinator_record
parse_coordinator_record(std::string const& text)
{
    std::uint32_t rank = 0;
    char const* const end = text.data() + text.size();
    std::from_chars_result const parsed =
        std::from_chars(text.data(), end, rank);
    if (parsed.ec != std::errc{})
        return {};
    char const* const address = parsed.ptr == end ? end : parsed.ptr + 1;
    return {rank, std::string{address, end}};
}

} // namespace hornbeamweir
