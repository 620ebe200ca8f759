#include <hornbeamweir/relay/event_splitter.hpp>

#include <charconv>

namespace hornbeamweir
{

namespace
{

/// Returns the position after the blank line that ends the first event, or
/// npos.
std::size_t end_of_event(std::string_view bytes, std::size_t from)
{
    for (std::size_t newline = bytes.find('\n', from);
         newline != std::string_view::npos && newline + 1 < bytes.size();
         newline = bytes.find('\n', newline + 1))
    {
        if (bytes[newline + 1] == '\n')
            return newline + 2;
        if (bytes[newline + 1] == '\r' && newline + 2 < bytes.size() &&
            bytes[newline + 2] == '\n')
            return newline + 3;
    }
    return std::string_view::npos;
}

std::optional<std::uint64_t> parse_event_id(std::string_view event)
{
    constexpr std::string_view field = "id:";
    for (std::size_t start = 0; start < event.size();)
    {
        std::size_t const end = event.find('\n', start);
        std::string_view line = event.substr(start, end - start);
        if (line.starts_with(field))
        {
            line.remove_prefix(field.size());
            while (line.starts_with(' '))
                line.remove_prefix(1);
            std::uint64_t id = 0;
            std::from_chars_result const parsed =
                std::from_chars(line.data(), line.data() + line.size(), id);
            if (parsed.ec == std::errc{})
                return id;
        }
        if (end == std::string_view::npos)
            break;
        start = end + 1;
    }
    return std::nullopt;
}

} // namespace

std::string event_splitter::append(std::string_view bytes)
{
    // The blank line may be split across two reads.
    constexpr std::size_t max_line_end_overlap = 3;
    std::size_t search = partial_.size() > max_line_end_overlap
                             ? partial_.size() - max_line_end_overlap
                             : 0;
    partial_.append(bytes);
    std::string complete;
    std::size_t start = 0;
    for (std::size_t end = end_of_event(partial_, search);
         end != std::string::npos;
         end = end_of_event(partial_, start))
    {
        std::string_view const event{partial_.data() + start, end - start};
        if (is_new(event))
            complete.append(event);
        start = end;
    }
    partial_.erase(0, start);
    return complete;
}

bool event_splitter::is_new(std::string_view event)
{
    std::optional<std::uint64_t> const id = parse_event_id(event);
    if (!id)
        return true;
    if (last_id_ && *id <= *last_id_)
        return false;
    last_id_ = id;
    return true;
}

} // namespace hornbeamweir
