#include <hornbeamweir/entry/token_stream.hpp>

#include <utility>

namespace hornbeamweir
{

namespace
{

constexpr std::string_view data_field = "data:";
constexpr std::string_view end_mark = "[DONE]";

} // namespace

std::string token_stream::append(std::string_view bytes)
{
    std::string complete;
    for (char byte : bytes)
    {
        if (!process_byte(byte))
            continue;
        complete += tail_;
        tail_.clear();
        line_start_ = 0;
    }
    return complete;
}

// Lines end with LF, CR or CR LF, and a blank line ends an event. In a CR LF,
// the CR has already ended the line when the LF arrives.
bool token_stream::process_byte(char byte)
{
    bool const after_cr = std::exchange(after_carriage_return_, byte == '\r');
    bool const completes_crlf = byte == '\n' && after_cr;
    tail_ += byte;
    if (completes_crlf)
    {
        line_start_ = tail_.size();
        return false;
    }
    if (byte != '\n' && byte != '\r')
        return false;
    std::string_view const line{
        tail_.data() + line_start_, tail_.size() - line_start_ - 1};
    bool const blank = line.empty();
    parse_line(line);
    line_start_ = tail_.size();
    if (blank)
        end_event();
    return blank;
}

void token_stream::parse_line(std::string_view line) noexcept
{
    if (!line.starts_with(data_field))
        return;
    std::string_view value = line.substr(data_field.size());
    if (value.starts_with(' '))
        value.remove_prefix(1);
    has_data_ = true;
    has_end_mark_ = value == end_mark;
}

void token_stream::end_event() noexcept
{
    if (has_data_ && has_end_mark_)
        done_ = true;
    else if (has_data_)
        ++tokens_;
    has_data_ = false;
    has_end_mark_ = false;
}

void token_stream::discard_tail() noexcept
{
    tail_.clear();
    line_start_ = 0;
    after_carriage_return_ = false;
    has_data_ = false;
    has_end_mark_ = false;
}

std::string token_stream::release_tail()
{
    std::string tail = std::move(tail_);
    discard_tail();
    return tail;
}

} // namespace hornbeamweir
