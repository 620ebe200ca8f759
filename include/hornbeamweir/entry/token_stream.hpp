#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hornbeamweir
{

/// \brief Names of the header fields by which streams are resumed.
namespace resume_header
{
/// A backend server's answer: it can resume this stream at any token.
inline constexpr std::string_view support = "X-Resume-Support";
/// Request to a backend server: leave out as many tokens.
inline constexpr std::string_view from_token = "X-Resume-From-Token";
/// A backend server's answer: as many tokens were left out.
inline constexpr std::string_view resumed = "X-Resumed-From-Token";
} // namespace resume_header

/// \brief Splits a stream of server-sent events into whole events, and counts
/// those that carry a token.
class token_stream
{
public:
    /// Size of an incomplete event that is held back.
    static constexpr std::size_t max_incomplete_event_size =
        std::size_t{64} * 1024;

    /// \brief Takes bytes, split anywhere.
    /// \returns The events that are complete by now.
    [[nodiscard]] std::string append(std::string_view bytes);

    /// \brief Discards the incomplete event, before the stream is resumed.
    void discard_tail() noexcept;

    /// \brief Removes and returns the incomplete event.
    [[nodiscard]] std::string release_tail();

    /// \brief Number of tokens in the events returned so far.
    [[nodiscard]] std::uint32_t tokens() const noexcept { return tokens_; }
    /// \brief Whether the event that ends the stream was returned.
    [[nodiscard]] bool done() const noexcept { return done_; }
    /// \brief Whether the incomplete event is too large to be held back.
    [[nodiscard]] bool overflowed() const noexcept
    {
        return tail_.size() > max_incomplete_event_size;
    }

private:
    /// \brief Takes one byte.
    /// \returns Whether it completes an event.
    [[nodiscard]] bool take_byte(char byte);
    void take_line(std::string_view line) noexcept;
    void end_event() noexcept;

    std::string tail_;
    std::size_t line_start_ = 0;
    bool after_carriage_return_ = false;
    bool has_data_ = false;
    bool has_end_mark_ = false;
    std::uint32_t tokens_ = 0;
    bool done_ = false;
};

} // namespace hornbeamweir
