#include "request_text.hpp"

#include <charconv>

namespace hornbeamweir
{

namespace
{

/// Assumed if the server announces no keep-alive time.
constexpr duration default_keep_alive = std::chrono::seconds{30};
/// Subtracted from the announced time, so that no request is sent while the
/// server closes the connection.
constexpr duration keep_alive_margin = std::chrono::milliseconds{1000};

} // namespace

std::string serialize_head(http_request_message const& message)
{
    std::string out = message.method + ' ' + message.target + " HTTP/1.1\r\n";
    for (header_field const& field : message.headers)
    {
        if (is_hop_by_hop(field.name) ||
            same_header_name(field.name, "Content-Length"))
            continue;
        out.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    bool const has_body = !message.body.empty() || message.method == "POST" ||
                          message.method == "PUT" || message.method == "PATCH";
    if (has_body)
    {
        out.append("Content-Length: ")
            .append(std::to_string(message.body.size()))
            .append("\r\n");
    }
    out.append("\r\n");
    return out;
}

duration keep_alive_time(std::string_view field)
{
    constexpr std::string_view key = "timeout=";
    std::size_t const position = field.find(key);
    if (position == std::string_view::npos)
        return default_keep_alive;
    std::string_view const digits = field.substr(position + key.size());
    unsigned seconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return std::chrono::seconds{seconds} - keep_alive_margin;
}

} // namespace hornbeamweir
