#pragma once

#include <hornbeamweir/core/error.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamweir
{

/// \brief Identifies the newest revision by the hash of its manifest.
/// \remarks Mutable: stored under configuration_key::head and replaced by each
/// revision.
struct configuration_head
{
    std::uint64_t revision = 0;
    std::string note_id;
    /// Content hash of the manifest.
    std::string manifest;

    [[nodiscard]] friend bool
    operator==(configuration_head const&, configuration_head const&) = default;
};

/// \brief Immutable list of the content hashes of all parts of a revision.
struct manifest
{
    std::uint64_t revision = 0;
    std::string note_id;
    std::vector<std::string> parts;

    [[nodiscard]] friend bool
    operator==(manifest const&, manifest const&) = default;
};

/// \brief Encodes a head as JSON.
[[nodiscard]] std::string encode_head(configuration_head const& head);
/// \brief Decodes a head.
/// \returns part_corrupt if a member is missing or has the wrong type.
[[nodiscard]] result<configuration_head> decode_head(std::string_view bytes);

/// \brief Encodes a manifest as JSON.
[[nodiscard]] std::string encode_manifest(manifest const& list);
/// \brief Decodes a manifest.
/// \returns part_corrupt if a member is missing or has the wrong type.
[[nodiscard]] result<manifest> decode_manifest(std::string_view bytes);

/// \brief Keys of the configuration in the platform's key-value service.
namespace configuration_key
{
inline constexpr std::string_view head = "/hornbeamweir/head";
inline constexpr std::string_view notes = "/hornbeamweir/notes/";
inline constexpr std::string_view parts = "/hornbeamweir/parts/";
} // namespace configuration_key

} // namespace hornbeamweir
