#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hornbeamweir
{

/// \brief Splits a byte stream into complete server-sent events, and drops
/// events that were already delivered.
/// \remarks Events are recognised by their ids, which are increasing
/// numbers.
/// Events without an id are always returned.
class event_splitter
{
public:
    /// Maximum size of a partial event, in bytes.
    static constexpr std::size_t max_partial_size = std::size_t{256} * 1024;

    /// \param last_id Id of the last event that the receiver already has;
    /// events up to it are dropped.
    explicit event_splitter(std::optional<std::uint64_t> last_id = std::nullopt)
        : last_id_{last_id}
    {
    }

    /// \brief Adds bytes of the stream; events may be split anywhere.
    /// \returns The new events that are now complete, without a partial one.
    [[nodiscard]] std::string append(std::string_view bytes);

    /// \brief Discards the partial event; called before the stream is resumed.
    void discard_partial_event() noexcept { partial_.clear(); }

    /// \returns The id of the last event that was returned, or else the one
    /// given to the constructor.
    [[nodiscard]] std::optional<std::uint64_t> last_id() const noexcept
    {
        return last_id_;
    }
    /// \brief Whether a partial event is buffered.
    [[nodiscard]] bool has_partial_event() const noexcept
    {
        return !partial_.empty();
    }
    /// \brief Whether the partial event exceeds max_partial_size.
    [[nodiscard]] bool overflowed() const noexcept
    {
        return partial_.size() > max_partial_size;
    }

private:
    [[nodiscard]] bool is_new(std::string_view event);

    std::string partial_;
    std::optional<std::uint64_t> last_id_;
};

} // namespace hornbeamweir
