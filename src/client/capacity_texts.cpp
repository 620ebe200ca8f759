#include "operator_texts.hpp"

#include <cstdio>

/// \file
/// \brief Texts about backend servers in use and evacuated data centres.

namespace hornbeamweir
{

namespace
{

std::size_t
in_use_of(backend_capacity const& capacity, request_target const& target)
{
    auto const it = capacity.targets.find(target);
    return it == capacity.targets.end() ? 0 : it->second;
}

std::set<request_target> targets_of(capacity_change const& change)
{
    std::set<request_target> targets;
    for (backend_capacity const* const it : {&change.before, &change.after})
    {
        for (auto target = it->targets.begin(); target != it->targets.end();
             ++target)
            targets.insert(target->first);
    }
    return targets;
}

bool all_evacuated(backend_capacity const& capacity)
{
    for (auto it = capacity.data_centres.begin();
         it != capacity.data_centres.end();
         ++it)
    {
        if (!it->second.evacuated)
            return false;
    }
    return !capacity.data_centres.empty();
}

} // namespace

std::vector<std::string> describe(capacity_change const& change)
{
    std::vector<std::string> lines;
    if (change.before == change.after)
        return lines;
    for (request_target const& target : targets_of(change))
    {
        lines.push_back(
            describe(target) + ": " +
            std::to_string(in_use_of(change.before, target)) + " -> " +
            std::to_string(in_use_of(change.after, target)) +
            " backend servers in use");
    }
    return lines;
}

boost::json::array to_json(capacity_change const& change)
{
    boost::json::array out;
    for (request_target const& target : targets_of(change))
    {
        out.emplace_back(boost::json::object{
            {"target", describe(target)},
            {"before", in_use_of(change.before, target)},
            {"after", in_use_of(change.after, target)}});
    }
    return out;
}

std::vector<std::string> warnings_of(capacity_change const& change)
{
    std::vector<std::string> warnings;
    if (change.before == change.after)
        return warnings;
    for (auto it = change.after.targets.begin();
         it != change.after.targets.end();
         ++it)
    {
        if (it->second == 0)
            warnings.push_back(
                describe(it->first) +
                " would have no backend server in use; its requests would be "
                "rejected");
    }
    if (all_evacuated(change.after))
        warnings.emplace_back("all data centres would be out of service");
    return warnings;
}

void print_capacity(capacity_change const& change)
{
    for (std::string const& line : describe(change))
        std::printf("%s\n", line.c_str());
    for (std::string const& warning : warnings_of(change))
        std::fprintf(stderr, "hornbeamweir: warning: %s\n", warning.c_str());
}

std::vector<std::string>
evacuated_data_centres(backend_capacity const& capacity)
{
    std::vector<std::string> names;
    for (auto it = capacity.data_centres.begin();
         it != capacity.data_centres.end();
         ++it)
    {
        if (it->second.evacuated)
            names.push_back(it->first.str());
    }
    return names;
}

std::vector<std::string>
evacuated_data_centres(std::vector<entry_report> const& reports)
{
    std::set<std::string> names;
    for (entry_report const& it : reports)
        names.insert(it.evacuated.begin(), it.evacuated.end());
    return {names.begin(), names.end()};
}

} // namespace hornbeamweir
