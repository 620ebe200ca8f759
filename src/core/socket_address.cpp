#include <hornbeamweir/core/socket_address.hpp>

#include <charconv>

namespace hornbeamweir
{

std::optional<boost::asio::ip::tcp::endpoint>
tcp_endpoint(std::string const& text)
{
    std::size_t const colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    boost::system::error_code ec;
    boost::asio::ip::address const address =
        boost::asio::ip::make_address(host, ec);
    std::uint16_t port = 0;
    char const* const last = text.data() + text.size();
    std::from_chars_result const parsed =
        std::from_chars(text.data() + colon + 1, last, port);
    bool const valid =
        !ec && parsed.ec == std::errc{} && parsed.ptr == last && port > 0;
    if (!valid)
        return std::nullopt;
    return boost::asio::ip::tcp::endpoint{address, port};
}

} // namespace hornbeamweir
