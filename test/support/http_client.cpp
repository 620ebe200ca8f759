#include "test/support/http_client.hpp"

#include <hornbeamweir/http/backend_call.hpp>

#include <boost/asio/io_context.hpp>

#include <thread>

namespace test
{

http_answer send_request(
    int port,
    hornbeamweir::http_request_message request,
    std::function<void(std::string const&)> const& progress)
{
    boost::asio::io_context context;
    http_answer answer;
    hornbeamweir::backend_call_handlers handlers;
    handlers.head = [&](unsigned status, hornbeamweir::header_list headers)
    {
        answer.status = status;
        answer.headers = std::move(headers);
    };
    handlers.data = [&](std::string const& bytes)
    {
        answer.body += bytes;
        if (progress)
            progress(bytes);
    };
    handlers.ended = [&] { answer.whole = true; };
    handlers.failed = [](hornbeamweir::error const&, bool) {};
    hornbeamweir::backend_call call{
        context,
        {boost::asio::ip::address_v4::loopback(),
         static_cast<std::uint16_t>(port)},
        std::move(request),
        std::chrono::seconds{30},
        std::move(handlers)};
    constexpr std::size_t no_limit = 1U << 30U;
    call.grant_credit(no_limit);
    context.run();
    return answer;
}

http_answer get(int port, std::string const& target)
{
    return send_request(port, {"GET", target, {}, ""});
}

bool eventually(
    std::function<bool()> const& condition, std::chrono::milliseconds limit)
{
    std::chrono::steady_clock::time_point const until =
        std::chrono::steady_clock::now() + limit;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() > until)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
    return true;
}

} // namespace test
