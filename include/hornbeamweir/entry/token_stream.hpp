#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hornbeamweir
{

/// \brief Header fields for resuming an interrupted stream.
namespace resume_header
{
/// Response header: the backend server can resume this stream at any token.
inline constexpr std::string_view support = "X-Resume-Support";
/// Request header: number of tokens that the backend server is to skip.
inline constexpr std::string_view from_token = "X-Resume-From-Token";
/// Response header: number of tokens that the backend server skipped.
inline constexpr std::string_view resumed = "X-Resumed-From-Token";
} // namespace resume_header

/// \brief Splits a stream of server-sent events into complete events, and
/// counts those that carry a token.
class token_stream
{
public:
    /// Maximum size in bytes of an incomplete event that is buffered.
    static constexpr std::size_t max_incomplete_event_size =
        std::size_t{64} * 1024;

    /// \brief Appends bytes of the stream; they may be split anywhere.
    /// \returns The bytes of the events that are now complete.
    [[nodiscard]] std::string append(std::string_view bytes);

    /// \brief Discards the incomplete event before the stream is resumed.
    void discard_tail() noexcept;

    /// \brief Removes and returns the incomplete event.
    [[nodiscard]] std::string release_tail();

    /// \brief Number of tokens in the events returned so far.
    [[nodiscard]] std::uint32_t tokens() const noexcept { return tokens_; }
    /// \brief Whether the event that ends the stream was returned.
    [[nodiscard]] bool done() const noexcept { return done_; }
    /// \brief Whether the incomplete event exceeds
    /// max_incomplete_event_size.
    [[nodiscard]] bool overflowed() const noexcept
    {
        return tail_.size() > max_incomplete_event_size;
    }

private:
    /// \returns Whether the byte completes an event.
    [[nodiscard]] bool process_byte(char byte);
    void parse_line(std::string_view line) noexcept;
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
