#include <hornbeamweir/client/platform_calls.hpp>

#include <boost/asio/steady_timer.hpp>

namespace hornbeamweir
{

namespace
{

/// Runs the event loop until a handler has stored the reply.
template <typename T>
result<T> wait_for(
    boost::asio::io_context& context, std::optional<result<T>> const& reply)
{
    context.restart();
    while (!reply && context.run_one() > 0)
    {
    }
    if (!reply)
        return failure(
            result_code::internal,
            "event loop ended before the call completed");
    return *reply;
}

} // namespace

platform_calls::platform_calls(
    boost::asio::io_context& context, platform& service) noexcept
    : context_{context}
    , platform_{service}
{
}

result<range_reply> platform_calls::read(std::string const& key)
{
    std::optional<result<range_reply>> reply;
    platform_.read(
        key, [&](result<range_reply> value) { reply = std::move(value); });
    return wait_for(context_, reply);
}

result<transaction_reply> platform_calls::commit(transaction request)
{
    std::optional<result<transaction_reply>> reply;
    platform_.commit(
        std::move(request),
        [&](result<transaction_reply> value) { reply = std::move(value); });
    return wait_for(context_, reply);
}

void platform_calls::pause(duration span)
{
    boost::asio::steady_timer timer{context_, span};
    std::optional<result<bool>> done;
    timer.async_wait([&](boost::system::error_code) { done = true; });
    static_cast<void>(wait_for(context_, done));
}

} // namespace hornbeamweir
