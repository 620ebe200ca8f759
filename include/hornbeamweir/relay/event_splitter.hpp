#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hornbeamweir
{

/// \brief Splits a stream of server-sent events into whole events, and follows
/// their ids.
class event_splitter
{
public:
    /// Size of an incomplete event that is held back.
    static constexpr std::size_t max_held = std::size_t{256} * 1024;

    /// \param last Id after which the stream begins; events up to it are
    /// dropped.
    explicit event_splitter(std::optional<std::uint64_t> last = std::nullopt)
        : last_{last}
    {
    }

    /// \brief Takes bytes, split anywhere.
    /// \returns The new events that are complete by now.
    [[nodiscard]] std::string take(std::string_view bytes);

    /// \brief Discards the incomplete event, before the stream is resumed.
    void discard_tail() noexcept { tail_.clear(); }

    /// \brief Id of the last event that was returned.
    [[nodiscard]] std::optional<std::uint64_t> last() const noexcept
    {
        return last_;
    }
    /// \brief Whether an incomplete event is held back.
    [[nodiscard]] bool has_tail() const noexcept { return !tail_.empty(); }
    [[nodiscard]] bool overflowed() const noexcept
    {
        return tail_.size() > max_held;
    }

private:
    [[nodiscard]] bool is_new(std::string_view event);

    std::string tail_;
    std::optional<std::uint64_t> last_;
};

} // namespace hornbeamweir
