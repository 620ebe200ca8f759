#include <hornbeamweir/client/note_store.hpp>
#include <hornbeamweir/configuration/configuration_follower.hpp>
#include <hornbeamweir/core/content_hash.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>

namespace hornbeamweir
{

namespace
{

constexpr std::string_view history_prefix = "/hornbeamweir/history/";
/// Number of latest revisions whose notes are retained, with the content blobs
/// that they replaced.
constexpr std::uint64_t retained_revisions = 4096;
constexpr int max_outcome_checks = 60;
constexpr duration outcome_check_interval = std::chrono::milliseconds{500};
constexpr std::size_t max_conflicts_listed = 100;

std::string note_key(std::string const& id)
{
    return std::string{configuration_key::notes} + id;
}

std::string part_key(std::string const& hash)
{
    return std::string{configuration_key::parts} + hash;
}

std::string history_key(std::uint64_t revision)
{
    std::array<char, 24> buf{};
    std::snprintf(
        buf.data(),
        buf.size(),
        "%020llu",
        static_cast<unsigned long long>(revision));
    return std::string{history_prefix} + buf.data();
}

std::int64_t unix_time_s()
{
    return std::chrono::duration_cast<std::chrono::seconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string join(std::vector<error> const& errors)
{
    std::string text;
    for (error const& it : errors)
        text += (text.empty() ? "" : "\n") + it.message;
    return text;
}

} // namespace

note_store::note_store(platform_calls& calls, std::string operator_name)
    : calls_{calls}
    , operator_name_{std::move(operator_name)}
{
}

result<std::optional<std::string>>
note_store::read_key(std::string const& key) const
{
    result<range_reply> const reply = calls_.read(key);
    if (!reply)
        return tl::unexpected<error>{reply.error()};
    auto const it = reply->values.find(key);
    if (it == reply->values.end())
        return std::optional<std::string>{};
    return std::optional<std::string>{it->second.value};
}

result<stored_configuration> note_store::read() const
{
    std::string const key{configuration_key::head};
    result<range_reply> const reply = calls_.read(key);
    if (!reply)
        return tl::unexpected<error>{reply.error()};
    stored_configuration stored;
    auto const it = reply->values.find(key);
    if (it == reply->values.end())
        return stored;
    result<configuration_head> const head = decode_head(it->second.value);
    if (!head)
        return tl::unexpected<error>{head.error()};
    stored.head = *head;
    stored.modify_revision = it->second.modify_revision;

    configuration_follower follower;
    follower.on_head(*head);
    while (!follower.wanted().empty())
    {
        result<content_map> const contents = read_contents(follower.wanted());
        if (!contents)
            return tl::unexpected<error>{contents.error()};
        for (auto part = contents->begin(); part != contents->end(); ++part)
        {
            result<void> const accepted =
                follower.on_content(part->first, part->second);
            if (!accepted)
                return tl::unexpected<error>{accepted.error()};
        }
    }
    result<manifest> const parts =
        decode_manifest(*follower.content(head->manifest));
    if (!parts)
        return tl::unexpected<error>{parts.error()};
    stored.parts = *parts;
    stored.objects = follower.current()->objects();
    return stored;
}

// Reads many keys in one call: the condition fails because the head exists, so
// the transaction reads instead of writing.
result<content_map>
note_store::read_contents(std::set<std::string> const& hashes) const
{
    transaction request;
    request.conditions.push_back({std::string{configuration_key::head}, 0});
    for (std::string const& hash : hashes)
        request.reads_on_failure.push_back(part_key(hash));
    result<transaction_reply> reply = calls_.commit(request);
    // The transaction writes nothing, so it is safe to retry after a lost
    // reply.
    if (!reply && reply.error().code == result_code::platform_outcome_unknown)
        reply = calls_.commit(std::move(request));
    if (!reply)
        return tl::unexpected<error>{reply.error()};
    content_map contents;
    for (std::string const& hash : hashes)
    {
        auto const it = reply->values.find(part_key(hash));
        if (it == reply->values.end())
            return failure(
                result_code::part_missing, "no content blob " + hash);
        contents.emplace(hash, it->second.value);
    }
    return contents;
}

result<std::optional<note_record>>
note_store::find_note(std::string const& id) const
{
    result<std::optional<std::string>> const value = read_key(note_key(id));
    if (!value)
        return tl::unexpected<error>{value.error()};
    if (!*value)
        return std::optional<note_record>{};
    result<note_record> record = decode_note_record(**value);
    if (!record)
        return tl::unexpected<error>{record.error()};
    return std::optional<note_record>{std::move(*record)};
}

result<std::vector<note_record>>
note_store::history(std::uint64_t newest, std::size_t count) const
{
    std::vector<note_record> records;
    for (std::uint64_t n = newest; n > 0 && records.size() < count; --n)
    {
        result<std::optional<std::string>> const value =
            read_key(history_key(n));
        if (!value)
            return tl::unexpected<error>{value.error()};
        if (!*value)
            break;
        result<note_record> record = decode_note_record(**value);
        if (!record)
            return tl::unexpected<error>{record.error()};
        records.push_back(std::move(*record));
    }
    return records;
}

result<apply_result> note_store::resolve_reapplied(
    release_note const& note, note_record const& known) const
{
    if (known.hash == note.hash)
        return apply_result{known.revision, true};
    return failure(
        result_code::revision_conflict,
        "the note id \"" + note.id + "\" was used at revision " +
            std::to_string(known.revision) + " for a note with another text");
}

error note_store::conflict(
    release_note const& note, std::uint64_t current) const
{
    std::string text = "found revision " + std::to_string(current) +
                       " in force, expected the note's base revision " +
                       std::to_string(note.base_revision);
    if (current < note.base_revision)
        return {result_code::revision_conflict, text};
    std::size_t const behind = static_cast<std::size_t>(std::min<std::uint64_t>(
        current - note.base_revision, max_conflicts_listed));
    result<std::vector<note_record>> const later_notes =
        history(current, behind);
    if (later_notes)
    {
        for (note_record const& record : *later_notes)
        {
            text += "\nrevision " + std::to_string(record.revision) +
                    ", note \"" + record.id + "\" by " + record.applied_by +
                    ":";
            for (std::string const& object : record.objects)
                text += " " + object;
        }
    }
    text += "\nreview the note against these, set base_revision: " +
            std::to_string(current) + ", and apply it again";
    return {result_code::revision_conflict, text};
}

result<apply_result> note_store::apply(release_note const& note) const
{
    result<std::optional<note_record>> const known = find_note(note.id);
    if (!known)
        return tl::unexpected<error>{known.error()};
    if (*known)
        return resolve_reapplied(note, **known);
    result<stored_configuration> const base = read();
    if (!base)
        return tl::unexpected<error>{base.error()};
    if (base->head.revision != note.base_revision)
        return tl::unexpected<error>{conflict(note, base->head.revision)};
    tl::expected<note_effect, std::vector<error>> const effect =
        apply_note(note, base->objects);
    if (!effect)
        return failure(result_code::invalid_note, join(effect.error()));
    result<transaction> request = make_transaction(note, *effect, *base);
    if (!request)
        return tl::unexpected<error>{request.error()};
    result<transaction_reply> const reply = calls_.commit(std::move(*request));
    if (reply && reply->succeeded)
        return apply_result{base->head.revision + 1, false};
    if (!reply && reply.error().code != result_code::platform_outcome_unknown)
        return tl::unexpected<error>{reply.error()};
    return resolve_outcome(note);
}

// Either another note was applied first, or the reply to the commit was lost;
// the record of this note tells which.
result<apply_result> note_store::resolve_outcome(release_note const& note) const
{
    error last_error{result_code::platform_outcome_unknown, ""};
    for (int n = 0; n < max_outcome_checks; ++n)
    {
        result<std::optional<note_record>> const known = find_note(note.id);
        if (known && *known)
        {
            result<apply_result> found = resolve_reapplied(note, **known);
            if (found)
                found->already_applied = false;
            return found;
        }
        result<stored_configuration> const current =
            known ? read() : tl::unexpected<error>{known.error()};
        if (current && current->head.revision != note.base_revision)
            return tl::unexpected<error>{
                conflict(note, current->head.revision)};
        if (!current)
            last_error = current.error();
        calls_.pause(outcome_check_interval);
    }
    return failure(
        result_code::platform_outcome_unknown,
        "it is unknown whether the note was applied (" + last_error.message +
            "); apply the same note again to find out");
}

result<transaction> note_store::make_transaction(
    release_note const& note,
    note_effect const& effect,
    stored_configuration const& base) const
{
    constexpr std::size_t max_value_bytes = 1024 * 1024;
    encoded_configuration const next =
        encode_configuration(effect.objects, base.head.revision + 1, note.id);
    manifest const parts =
        decode_manifest(next.contents.at(next.head.manifest)).value();
    transaction request;
    request.conditions.push_back(
        {std::string{configuration_key::head}, base.modify_revision});
    request.conditions.push_back({note_key(note.id), 0});
    for (auto it = next.contents.begin(); it != next.contents.end(); ++it)
    {
        if (it->second.size() > max_value_bytes)
            return failure(
                result_code::invalid_note,
                "a content blob of the configuration would exceed 1 MiB");
        bool const stored =
            std::find(
                base.parts.parts.begin(), base.parts.parts.end(), it->first) !=
            base.parts.parts.end();
        if (!stored)
            request.writes.push_back({part_key(it->first), it->second, 0});
    }
    note_record record{
        note.id,
        next.head.revision,
        note.hash,
        operator_name_,
        unix_time_s(),
        {},
        {}};
    for (object_change const& change : effect.changes)
        record.objects.push_back(change.kind + "/" + change.id);
    for (std::string const& hash : base.parts.parts)
    {
        if (!next.contents.contains(hash))
            record.replaced_hashes.push_back(hash);
    }
    if (!base.head.manifest.empty())
        record.replaced_hashes.push_back(base.head.manifest);
    request.writes.push_back(
        {note_key(note.id), encode_note_record(record), 0});
    request.writes.push_back(
        {history_key(record.revision), encode_note_record(record), 0});
    request.writes.push_back(
        {std::string{configuration_key::head}, encode_head(next.head), 0});
    delete_expired_note(request, parts);
    return request;
}

// Deletes the note that is past retention and the content blobs it replaced,
// except those that the configuration uses again.
void note_store::delete_expired_note(
    transaction& request, manifest const& next) const
{
    if (next.revision <= retained_revisions)
        return;
    std::string const key = history_key(next.revision - retained_revisions);
    result<std::optional<std::string>> const value = read_key(key);
    if (!value || !*value)
        return;
    result<note_record> const record = decode_note_record(**value);
    if (!record)
        return;
    request.writes.push_back({key, std::nullopt, 0});
    request.writes.push_back({note_key(record->id), std::nullopt, 0});
    for (std::string const& hash : record->replaced_hashes)
    {
        bool const in_use =
            std::find(next.parts.begin(), next.parts.end(), hash) !=
            next.parts.end();
        if (!in_use)
            request.writes.push_back({part_key(hash), std::nullopt, 0});
    }
}

} // namespace hornbeamweir
