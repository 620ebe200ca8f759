#include "operator_session.hpp"
#include "operator_texts.hpp"

#include <cstdio>

/// \file
/// \brief Commands that take data centres out of service and back.

namespace hornbeamweir
{

exit_code operator_session::evacuate(std::string const& data_centre)
{
    return set_evacuated(data_centre, true);
}

exit_code operator_session::restore(std::string const& data_centre)
{
    return set_evacuated(data_centre, false);
}

exit_code
operator_session::set_evacuated(std::string const& name, bool evacuated)
{
    result<stored_configuration> const base = store_.read();
    if (!base)
        return report(base.error());
    data_centre_id const id{name};
    std::set<data_centre_id> const known =
        data_centres_of_servers(base->objects);
    auto const object = base->objects.data_centres.find(id);
    bool const exists = object != base->objects.data_centres.end();
    // An object without backend servers can remain evacuated after these were
    // withdrawn; it can be restored, but not evacuated again.
    if (!known.contains(id) && (evacuated || !exists))
        return report(
            {result_code::invalid_note,
             "found data centre \"" + name + "\", expected " +
                 describe(known)});
    if ((exists && object->second.evacuated) == evacuated)
    {
        std::printf(
            "data centre %s is already %s at revision %llu\n",
            name.c_str(),
            evacuated ? "evacuated" : "in service",
            static_cast<unsigned long long>(base->head.revision));
        return wait_until_active(base->head.revision);
    }
    std::string const revision = std::to_string(base->head.revision);
    std::string const command = evacuated ? "evacuate" : "restore";
    tl::expected<release_note, diagnostics> const note = read_release_note(
        "note: " + command + "-" + name + "-" + revision + "\nbase_revision: " +
            revision + "\n" + (exists ? "changed" : "added") +
            ":\n  data_centres:\n    - {id: " + name +
            ", evacuated: " + (evacuated ? "true" : "false") + "}\n",
        command);
    if (!note)
    {
        std::fputs(to_string(note.error()).c_str(), stderr);
        return exit_code::invalid_input;
    }
    tl::expected<note_effect, std::vector<error>> const effect =
        apply_note(*note, base->objects);
    if (effect)
        print_capacity(
            {count_backend_servers(base->objects),
             count_backend_servers(effect->objects)});
    return apply_and_wait(*note);
}

} // namespace hornbeamweir
