#include <hornbeamweir/settings/diagnostic.hpp>

#include <algorithm>
#include <tuple>

namespace hornbeamweir
{

std::string to_string(diagnostic const& fault)
{
    std::string text = fault.file;
    if (fault.line > 0)
    {
        text += ':' + std::to_string(fault.line);
        text += ':' + std::to_string(fault.column);
    }
    text += ": ";
    if (!fault.path.empty())
        text += fault.path + ": ";
    return text + "found " + fault.found + ", expected " + fault.expected;
}

std::string to_string(diagnostics const& faults)
{
    diagnostics sorted = faults;
    std::stable_sort(
        sorted.begin(),
        sorted.end(),
        [](diagnostic const& lhs, diagnostic const& rhs) {
            return std::tie(lhs.line, lhs.column) <
                   std::tie(rhs.line, rhs.column);
        });
    std::string text;
    for (diagnostic const& fault : sorted)
        text += to_string(fault) + '\n';
    return text;
}

} // namespace hornbeamweir
