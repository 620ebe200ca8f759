#include "request_text.hpp"

#include <charconv>

namespace hornbeamweir
{

namespace
{

/// How long a connection is kept if the server names no time.
constexpr duration usual_idle = std::chrono::seconds{30};
/// Taken off the server's time, so that a request does not meet its end.
constexpr duration idle_margin = std::chrono::milliseconds{1000};

} // namespace

std::string write_request(http_request_message const& message)
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
    out.append("\r\n").append(message.body);
    return out;
}

duration keep_alive_time(std::string_view field)
{
    constexpr std::string_view key = "timeout=";
    std::size_t const at = field.find(key);
    if (at == std::string_view::npos)
        return usual_idle;
    std::string_view const digits = field.substr(at + key.size());
    unsigned seconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return std::chrono::seconds{seconds} - idle_margin;
}

} // namespace hornbeamweir
