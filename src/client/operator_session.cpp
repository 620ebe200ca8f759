#include "operator_session.hpp"

#include <hornbeamweir/settings/yaml_object.hpp>

#include "operator_texts.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>

#include <algorithm>
#include <cstdio>

namespace hornbeamweir
{

namespace
{

constexpr std::size_t max_notes_shown = 20;
constexpr duration poll_interval = std::chrono::milliseconds{200};

void print(std::string const& line)
{
    std::printf("%s\n", line.c_str());
}

void print(boost::json::value const& document)
{
    print(boost::json::serialize(document));
}

exit_code exit_code_for(result_code code) noexcept
{
    switch (code)
    {
    case result_code::invalid_note:
        return exit_code::invalid_input;
    case result_code::revision_conflict:
        return exit_code::conflict;
    case result_code::platform_unavailable:
    case result_code::platform_outcome_unknown:
    case result_code::peer_unreachable:
        return exit_code::unavailable;
    default:
        return exit_code::failed;
    }
}

} // namespace

operator_session::operator_session(
    client_settings settings, session_options options)
    : settings_{std::move(settings)}
    , options_{std::move(options)}
    , platform_{
          context_,
          settings_.platform.addresses,
          std::chrono::milliseconds{settings_.platform.timeout_ms}}
    , calls_{context_, platform_}
    , store_{calls_, options_.operator_name}
{
}

exit_code operator_session::report(error const& reason) const
{
    std::fprintf(
        stderr,
        "hornbeamweir: %u %s: %s\n",
        number_of(reason.code),
        std::string{name_of(reason.code)}.c_str(),
        reason.message.c_str());
    return exit_code_for(reason.code);
}

std::optional<release_note> operator_session::load_note(std::string const& file)
{
    diagnostics faults;
    std::string text;
    if (read_file(file, text, faults))
    {
        tl::expected<release_note, diagnostics> note =
            read_release_note(text, file);
        if (note)
            return std::move(*note);
        faults = note.error();
    }
    std::fputs(to_string(faults).c_str(), stderr);
    return std::nullopt;
}

exit_code operator_session::check(std::string const& file)
{
    std::optional<release_note> const note = load_note(file);
    if (!note)
        return exit_code::invalid_input;
    print("note \"" + note->id + "\" is well-formed");
    return exit_code::success;
}

exit_code operator_session::plan(std::string const& file)
{
    std::optional<release_note> const note = load_note(file);
    if (!note)
        return exit_code::invalid_input;
    result<stored_configuration> const base = store_.read();
    if (!base)
        return report(base.error());
    tl::expected<note_effect, std::vector<error>> const effect =
        apply_note(*note, base->objects);
    if (!effect)
    {
        for (error const& it : effect.error())
            static_cast<void>(report(it));
        return exit_code::invalid_input;
    }
    capacity_change const capacity{
        count_backend_servers(base->objects),
        count_backend_servers(effect->objects)};
    std::vector<std::string> const warnings = warnings_of(capacity);
    bool const current = base->head.revision == note->base_revision;
    if (options_.json)
    {
        boost::json::array changes;
        for (object_change const& change : effect->changes)
            changes.emplace_back(to_json(change));
        boost::json::object out;
        out["note"] = note->id;
        out["revision"] = base->head.revision;
        out["base_is_current"] = current;
        out["changes"] = std::move(changes);
        out["backend_servers_in_use"] = to_json(capacity);
        out["warnings"] = boost::json::value_from(warnings);
        print(out);
    }
    else
    {
        for (object_change const& change : effect->changes)
            print(describe(change));
        print(
            std::to_string(effect->changes.size()) + " changes to revision " +
            std::to_string(base->head.revision));
        print_capacity(capacity);
    }
    if (current)
        return exit_code::success;
    std::fprintf(
        stderr,
        "hornbeamweir: the note's base_revision %llu is not the current "
        "revision; review the note and set it to %llu\n",
        static_cast<unsigned long long>(note->base_revision),
        static_cast<unsigned long long>(base->head.revision));
    return exit_code::conflict;
}

exit_code operator_session::apply(std::string const& file)
{
    std::optional<release_note> const note = load_note(file);
    return note ? apply_and_wait(*note) : exit_code::invalid_input;
}

exit_code operator_session::apply_and_wait(release_note const& note)
{
    result<apply_result> const applied = store_.apply(note);
    if (!applied)
        return report(applied.error());
    print(
        "note \"" + note.id + "\" is accepted as revision " +
        std::to_string(applied->revision) +
        (applied->already_applied ? " (it had been applied before)" : ""));
    return wait_until_active(applied->revision);
}

std::vector<entry_report> operator_session::fetch_reports()
{
    std::vector<entry_report> found;
    for (std::string const& address : settings_.entries)
        found.push_back(fetch_report(context_, address));
    return found;
}

exit_code operator_session::wait_until_active(std::uint64_t revision)
{
    time_point const until = process_clock::now() + options_.timeout;
    std::vector<std::string> lagging;
    std::size_t last_shown_count = 0;
    do
    {
        lagging = lagging_processes(fetch_reports(), revision);
        if (lagging.empty())
        {
            print(
                "revision " + std::to_string(revision) +
                " is in force everywhere");
            return exit_code::success;
        }
        if (lagging.size() != last_shown_count)
        {
            last_shown_count = lagging.size();
            print("waiting for " + join(lagging));
        }
        calls_.pause(poll_interval);
    } while (process_clock::now() < until);
    std::fprintf(
        stderr,
        "hornbeamweir: not yet in force at %s; each process activates the "
        "revision once it receives it\n",
        join(lagging).c_str());
    return exit_code::not_in_force;
}

exit_code operator_session::status(std::string const&)
{
    std::vector<entry_report> const reports = fetch_reports();
    result<stored_configuration> const stored = store_.read();
    std::uint64_t newest = stored ? stored->head.revision : 0;
    for (entry_report const& it : reports)
        newest = std::max(newest, it.revision);
    std::vector<std::string> const lagging = lagging_processes(reports, newest);
    std::vector<std::string> const evacuated =
        stored ? evacuated_data_centres(count_backend_servers(stored->objects))
               : evacuated_data_centres(reports);
    if (options_.json)
    {
        boost::json::object out;
        out["platform_reachable"] = stored.has_value();
        out["revision"] = newest;
        out["evacuated"] = boost::json::value_from(evacuated);
        out["entries"] = to_json(reports);
        out["behind"] = boost::json::value_from(lagging);
        print(out);
    }
    else
    {
        print(
            stored ? "platform: revision " +
                         std::to_string(stored->head.revision) + ", note \"" +
                         stored->head.note_id + "\""
                   : "platform: unreachable (" + stored.error().message +
                         "); the following is from the entries");
        if (!evacuated.empty())
            print("evacuated data centres: " + join(evacuated));
        for (entry_report const& it : reports)
            print(describe(it));
        print(
            lagging.empty() ? "in force everywhere"
                            : "behind: " + join(lagging));
    }
    return stored ? exit_code::success : exit_code::unavailable;
}

exit_code operator_session::history(std::string const&)
{
    result<stored_configuration> const stored = store_.read();
    if (!stored)
        return report(stored.error());
    result<std::vector<note_record>> const records =
        store_.history(stored->head.revision, max_notes_shown);
    if (!records)
        return report(records.error());
    boost::json::array out;
    for (note_record const& it : *records)
    {
        if (options_.json)
        {
            out.emplace_back(boost::json::object{
                {"revision", it.revision},
                {"note", it.id},
                {"by", it.applied_by},
                {"at", it.applied_at},
                {"objects", it.objects.size()}});
            continue;
        }
        print(
            "revision " + std::to_string(it.revision) + ": note \"" + it.id +
            "\" by " + it.applied_by + ", " +
            std::to_string(it.objects.size()) + " objects");
    }
    if (options_.json)
        print(out);
    return exit_code::success;
}

exit_code operator_session::drain(std::string const& vm)
{
    result<stored_configuration> const base = store_.read();
    if (!base)
        return report(base.error());
    std::string text = "changed:\n  backend_servers:\n";
    std::size_t servers = 0;
    std::map<backend_server_id, backend_server> const& all =
        base->objects.backend_servers;
    for (auto it = all.begin(); it != all.end(); ++it)
    {
        if (it->second.vm.str() != vm || it->second.draining)
            continue;
        ++servers;
        text += "    - {id: " + it->first.str() + ", draining: true}\n";
    }
    if (servers == 0)
    {
        print("no backend server of VM " + vm + " is in service");
        return exit_code::success;
    }
    std::string const revision = std::to_string(base->head.revision);
    tl::expected<release_note, diagnostics> const note = read_release_note(
        "note: drain-" + vm + "-" + revision + "\nbase_revision: " + revision +
            "\n" + text,
        "drain");
    if (!note)
    {
        std::fputs(to_string(note.error()).c_str(), stderr);
        return exit_code::invalid_input;
    }
    return apply_and_wait(*note);
}

exit_code operator_session::explain(std::string const& request)
{
    bool found = false;
    for (std::string const& address : settings_.entries)
    {
        result<boost::json::value> const lines =
            fetch_json(context_, address, "/explain/" + request);
        if (!lines || !lines->is_array())
            continue;
        for (boost::json::value const& line : lines->get_array())
        {
            found = true;
            print(std::string{line.as_string()});
        }
    }
    if (found)
        return exit_code::success;
    std::fprintf(
        stderr,
        "hornbeamweir: no entry has a record of request %s; entries keep the "
        "last 4096 decisions\n",
        request.c_str());
    return exit_code::failed;
}

} // namespace hornbeamweir
