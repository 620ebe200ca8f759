#pragma once

#include <popt.h>

#include <cstdlib>
#include <string>

namespace hornbeamweir
{

/// \brief Builds one entry of a popt option table.
/// \param target Where popt stores the value.
/// \param help Text for --help.
/// \param argument Name of the argument in --help, or null.
[[nodiscard]] inline poptOption make_option(
    char const* name,
    char letter,
    unsigned kind,
    void* target,
    char const* help,
    char const* argument = nullptr)
{
    return {name, letter, kind, target, 0, help, argument};
}

/// \brief Owns a string that popt allocates with malloc().
class popt_text
{
public:
    popt_text() = default;
    popt_text(popt_text const&) = delete;
    popt_text& operator=(popt_text const&) = delete;
    ~popt_text() { std::free(text_); }

    /// \brief Location at which popt stores the pointer.
    [[nodiscard]] char** target() noexcept { return &text_; }
    [[nodiscard]] bool given() const noexcept { return text_ != nullptr; }
    [[nodiscard]] std::string str() const { return given() ? text_ : ""; }

private:
    char* text_ = nullptr;
};

/// \brief Builds the table entry of --help and --usage.
[[nodiscard]] inline poptOption help_options()
{
    return make_option(
        nullptr,
        '\0',
        POPT_ARG_INCLUDE_TABLE,
        poptHelpOptions,
        "Help options:");
}

/// \brief Builds the entry that ends a table.
[[nodiscard]] inline poptOption end_of_options()
{
    return POPT_TABLEEND;
}

} // namespace hornbeamweir
