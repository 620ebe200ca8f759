#include "operator_texts.hpp"

#include <boost/json/value_from.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

constexpr std::size_t max_names_shown = 10;

std::string state_of(entry_report::agent const& agent)
{
    if (agent.suspect)
        return "suspect";
    if (agent.draining)
        return "draining";
    return agent.usable ? "up" : "backend server down";
}

} // namespace

std::string describe(object_change const& change)
{
    std::string text = std::string{name_of(change.change)} + " " + change.kind +
                       " " + change.id;
    for (std::string const& field : change.fields)
        text += "\n    " + field;
    return text;
}

boost::json::object to_json(object_change const& change)
{
    boost::json::object out;
    out["change"] = name_of(change.change);
    out["kind"] = change.kind;
    out["id"] = change.id;
    boost::json::array fields;
    for (std::string const& field : change.fields)
        fields.emplace_back(field);
    out["fields"] = std::move(fields);
    return out;
}

std::string join(std::vector<std::string> const& names)
{
    std::string text;
    for (std::size_t n = 0; n < std::min(names.size(), max_names_shown); ++n)
        text += (n == 0 ? "" : ", ") + names[n];
    if (names.size() > max_names_shown)
        text +=
            " and " + std::to_string(names.size() - max_names_shown) + " more";
    return text;
}

std::string describe(entry_report const& entry)
{
    if (entry.process.empty())
        return "entry " + entry.address + ": unreachable, " + entry.problem;
    std::string text = "entry " + entry.process + ": revision " +
                       std::to_string(entry.revision) +
                       (entry.ready ? ", ready" : ", not ready");
    if (!entry.evacuated.empty())
        text += ", evacuated: " + join(entry.evacuated);
    for (entry_report::agent const& agent : entry.agents)
    {
        text += "\n  " + agent.backend_server + ": " + state_of(agent) +
                ", revision " + std::to_string(agent.revision) + ", " +
                std::to_string(agent.in_flight) + " in flight";
    }
    return text;
}

boost::json::array to_json(std::vector<entry_report> const& reports)
{
    boost::json::array entries;
    for (entry_report const& it : reports)
    {
        boost::json::object entry;
        entry["address"] = it.address;
        entry["process"] = it.process;
        entry["reachable"] = !it.process.empty();
        entry["ready"] = it.ready;
        entry["revision"] = it.revision;
        entry["evacuated"] = boost::json::value_from(it.evacuated);
        entry["agents"] = it.agents.size();
        entries.emplace_back(std::move(entry));
    }
    return entries;
}

} // namespace hornbeamweir
