#pragma once

#include <compare>
#include <string>
#include <vector>

namespace hornbeamweir
{

/// \brief One error in a settings file or a release note.
struct diagnostic
{
    std::string file;
    /// Position, counted from 1; 0 if the error concerns the file as a whole.
    int line = 0;
    int column = 0;
    /// Dotted path of the value, such as "callers.address".
    std::string path;
    std::string found;
    std::string expected;

    [[nodiscard]] friend bool
    operator==(diagnostic const&, diagnostic const&) = default;
};

using diagnostics = std::vector<diagnostic>;

/// \brief Returns "file:line:column: path: found X, expected Y".
[[nodiscard]] std::string to_string(diagnostic const& fault);

/// \brief Returns one line for each error, sorted by position.
[[nodiscard]] std::string to_string(diagnostics const& faults);

} // namespace hornbeamweir
