#pragma once

#include <hornbeamweir/platform/platform.hpp>

#include <boost/asio/io_context.hpp>

namespace hornbeamweir
{

/// \brief Blocking calls to the platform: each runs the event loop until the
/// reply arrives.
class platform_calls
{
public:
    platform_calls(
        boost::asio::io_context& context, platform& service) noexcept;

    [[nodiscard]] result<range_reply> read(std::string const& key);
    [[nodiscard]] result<transaction_reply> commit(transaction request);

    /// \brief Runs the event loop for a time span.
    void pause(duration span);

private:
    boost::asio::io_context& context_;
    platform& platform_;
};

} // namespace hornbeamweir
