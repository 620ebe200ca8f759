#pragma once

#include <hornbeamweir/configuration/configuration.hpp>

#include <functional>
#include <optional>
#include <set>

namespace hornbeamweir
{

/// \brief Assembles the newest configuration revision from its parts.
/// \remarks Does no I/O: the caller fetches the wanted blobs from the platform
/// or from any peer. A blob is accepted only if its hash matches. The number of
/// the active revision never decreases.
class configuration_follower
{
public:
    /// \brief Selects the parts that a process needs.
    /// \remarks Called again after each round of fetches. held contains the
    /// parts fetched so far, so that the filter can select a part by the
    /// contents of another.
    using part_filter =
        std::function<bool(std::uint32_t part, configuration const& held)>;

    /// \param filter Selects parts; an empty function selects all.
    explicit configuration_follower(part_filter filter = {});

    /// \brief Processes a head from any source.
    /// \returns Whether its revision is higher than that of all heads received
    /// before.
    bool on_head(configuration_head const& head);

    /// \brief Processes a blob from any source; ignores one that is not wanted.
    /// \returns part_corrupt if the bytes do not match the hash or cannot be
    /// decoded.
    result<void> on_content(std::string const& hash, std::string bytes);

    /// \brief Hashes of the blobs to fetch next; more can follow once these
    /// have been decoded.
    [[nodiscard]] std::set<std::string> const& wanted() const noexcept
    {
        return wanted_;
    }

    /// \brief The active revision; revision 0, which is empty, at the start.
    [[nodiscard]] std::shared_ptr<configuration const> current() const noexcept
    {
        return current_;
    }

    /// \brief The newest head received; its revision may not be active yet.
    [[nodiscard]] configuration_head const& newest() const noexcept
    {
        return newest_;
    }

    /// \brief Returns a stored blob, to be sent to a peer.
    /// \returns nullptr if the blob is not stored; otherwise a pointer that is
    /// valid until the next call to on_head() or on_content().
    [[nodiscard]] std::string const* content(std::string const& hash) const;

private:
    void advance();
    [[nodiscard]] result<void> decode(std::string const& hash);
    [[nodiscard]] std::shared_ptr<configuration const> assemble() const;
    [[nodiscard]] std::set<std::string>
    missing_parts(configuration const& held) const;
    void evict_unused();

    part_filter filter_;
    configuration_head newest_;
    std::optional<manifest> pending_;
    std::shared_ptr<configuration const> current_;
    std::set<std::string> wanted_;
    content_map contents_;
    std::map<std::string, std::shared_ptr<configuration_part const>> decoded_;
};

} // namespace hornbeamweir
