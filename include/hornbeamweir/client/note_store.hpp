#pragma once

#include <hornbeamweir/client/platform_calls.hpp>
#include <hornbeamweir/configuration/release_note.hpp>

#include <optional>
#include <string>
#include <vector>

namespace hornbeamweir
{

/// \brief Record of an applied release note, as stored in the platform.
struct note_record
{
    std::string id;
    std::uint64_t revision = 0;
    /// Hash of the note's text.
    std::string hash;
    std::string applied_by;
    /// Unix time in seconds, by the operator's clock.
    std::int64_t applied_at = 0;
    /// Objects that the note concerns, as "kind/id".
    std::vector<std::string> objects;
    /// Hashes of the content blobs that the note replaced.
    std::vector<std::string> replaced_hashes;

    [[nodiscard]] friend bool
    operator==(note_record const&, note_record const&) = default;
};

[[nodiscard]] std::string encode_note_record(note_record const& record);
[[nodiscard]] result<note_record> decode_note_record(std::string_view bytes);

/// \brief The configuration in the platform, with the revisions that a
/// compare-and-swap needs.
struct stored_configuration
{
    configuration_head head;
    /// Modify revision of the head's key; 0 if there is no head yet.
    std::int64_t modify_revision = 0;
    manifest parts;
    configuration_part objects;
};

/// \brief Outcome of applying a note.
struct apply_result
{
    std::uint64_t revision = 0;
    /// Whether the note had been applied before.
    bool already_applied = false;
};

/// \brief Reads and replaces the configuration in the platform.
class note_store
{
public:
    /// \param operator_name Name stored with applied notes.
    note_store(platform_calls& calls, std::string operator_name);

    [[nodiscard]] result<stored_configuration> read() const;

    /// \brief Applies a note with one compare-and-swap.
    /// \returns revision_conflict, naming the objects concerned, if another
    /// note was applied first; invalid_note if the note does not fit the
    /// configuration; platform_outcome_unknown if the outcome could not be
    /// determined.
    [[nodiscard]] result<apply_result> apply(release_note const& note) const;

    /// \brief Returns the record of an applied note.
    /// \returns std::nullopt if no note with the id is stored.
    [[nodiscard]] result<std::optional<note_record>>
    find_note(std::string const& id) const;

    /// \brief Returns up to count notes, newest first; ends at the oldest
    /// retained note.
    /// \param newest Revision to start from.
    [[nodiscard]] result<std::vector<note_record>>
    history(std::uint64_t newest, std::size_t count) const;

private:
    [[nodiscard]] result<apply_result>
    resolve_reapplied(release_note const& note, note_record const& known) const;
    [[nodiscard]] result<apply_result>
    resolve_outcome(release_note const& note) const;
    [[nodiscard]] error
    conflict(release_note const& note, std::uint64_t current) const;
    [[nodiscard]] result<transaction> make_transaction(
        release_note const& note,
        note_effect const& effect,
        stored_configuration const& base) const;
    void delete_expired_note(transaction& request, manifest const& next) const;
    [[nodiscard]] result<content_map>
    read_contents(std::set<std::string> const& hashes) const;
    [[nodiscard]] result<std::optional<std::string>>
    read_key(std::string const& key) const;

    platform_calls& calls_;
    std::string operator_name_;
};

} // namespace hornbeamweir
