#include <hornbeamweir/telemetry/event_log.hpp>

#include <algorithm>
#include <array>

namespace hornbeamweir
{

namespace
{

/// Longer values come from peers, which choose ids and names.
constexpr std::size_t max_value_size = 1024;

bool needs_quotes(std::string_view value) noexcept
{
    return value.empty() ||
           std::any_of(
               value.begin(),
               value.end(),
               [](char c)
               {
                   return static_cast<unsigned char>(c) <= ' ' || c == '"' ||
                          c == '=' || c == '\\' || c == '\x7f';
               });
}

void append_quoted(std::string& line, std::string_view value)
{
    line += '"';
    for (char c : value)
    {
        if (static_cast<unsigned char>(c) < ' ' || c == '\x7f')
        {
            line += '?';
            continue;
        }
        if (c == '"' || c == '\\')
            line += '\\';
        line += c;
    }
    line += '"';
}

} // namespace

event::event(std::string_view name)
    : line_{"event="}
{
    line_ += name;
}

event& event::with(std::string_view key, std::string_view value)
{
    line_ += ' ';
    line_ += key;
    line_ += '=';
    value = value.substr(0, max_value_size);
    if (needs_quotes(value))
        append_quoted(line_, value);
    else
        line_ += value;
    return *this;
}

event& event::with(std::string_view key, double value)
{
    std::array<char, 32> buf{};
    int const n = std::snprintf(buf.data(), buf.size(), "%.4g", value);
    return with(key, std::string_view{buf.data(), static_cast<std::size_t>(n)});
}

} // namespace hornbeamweir
