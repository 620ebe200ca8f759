#pragma once

#include <hornbeamweir/core/enum_table.hpp>
#include <hornbeamweir/core/identifier.hpp>

#include <charconv>
#include <concepts>
#include <string>
#include <string_view>

namespace hornbeamweir
{

/// \brief Importance of a logged event.
enum class severity
{
    debug,
    info,
    warning,
    error
};

template <>
struct enum_table<severity>
{
    static constexpr std::array<enum_name<severity>, 4> rows{
        {{severity::debug, "debug"},
         {severity::info, "info"},
         {severity::warning, "warning"},
         {severity::error, "error"}}};
};

/// \brief One event, written as a line of key=value pairs.
/// \remarks Values with spaces, quotes or control characters are quoted.
class event
{
public:
    explicit event(std::string_view name);

    event& with(std::string_view key, std::string_view value);

    event& with(std::string_view key, std::integral auto value)
    {
        return with(key, std::string_view{std::to_string(value)});
    }

    event& with(std::string_view key, double value);

    template <typename Tag>
    event& with(std::string_view key, identifier<Tag> const& value)
    {
        return with(key, std::string_view{value.str()});
    }

    /// \brief Returns the line without its time and severity.
    [[nodiscard]] std::string const& line() const noexcept { return line_; }

private:
    std::string line_;
};

/// \brief Receives events.
class event_log
{
public:
    event_log() = default;
    event_log(event_log const&) = delete;
    event_log& operator=(event_log const&) = delete;
    virtual ~event_log() = default;

    virtual void write(severity level, event const& ev) = 0;

    void debug(event const& ev) { write(severity::debug, ev); }
    void info(event const& ev) { write(severity::info, ev); }
    void warning(event const& ev) { write(severity::warning, ev); }
    void error(event const& ev) { write(severity::error, ev); }
};

/// \brief Discards all events.
class null_event_log final : public event_log
{
public:
    void write(severity, event const&) override {}
};

} // namespace hornbeamweir
