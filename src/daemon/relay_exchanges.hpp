#pragma once

#include <hornbeamweir/http/connection_pool.hpp>
#include <hornbeamweir/http/http_exchange.hpp>
#include <hornbeamweir/relay/relay_codec.hpp>
#include <hornbeamweir/relay/relay_core.hpp>

#include <unordered_map>

namespace hornbeamweir
{

/// \brief Carries out what a relay_core decides: connects callers' exchanges
/// with calls to replicas.
class relay_exchanges
{
public:
    relay_exchanges(
        boost::asio::io_context& context,
        relay::relay_core& core,
        relay_codec const& codec,
        time_point (*clock)() noexcept);

    /// \brief Takes a caller's request.
    void accept(
        std::shared_ptr<http_exchange> exchange, http_request_message request);

    void apply(relay::actions decided);

    [[nodiscard]] connection_pool::counters totals() const noexcept
    {
        return pool_.totals();
    }

private:
    struct live_exchange
    {
        std::shared_ptr<http_exchange> exchange;
        std::unique_ptr<pooled_call> call;
        std::uint32_t attempt = 0;
        /// Bytes that the caller has not taken yet.
        std::size_t unwritten = 0;
    };

    void run(relay::open_attempt const& it);
    void run(relay::close_attempt const& it);
    void run(relay::send_head const& it);
    void run(relay::send_data& it);
    void run(relay::send_end const& it);
    void run(relay::send_error const& it);
    void run(relay::abort_response const& it);
    void on_written(exchange_id number, std::size_t n);
    void on_failed(
        exchange_id number,
        std::uint32_t attempt,
        error const& reason,
        bool sent);
    [[nodiscard]] pooled_call_handlers
    handlers_for(exchange_id number, std::uint32_t attempt);

    relay::relay_core& core_;
    relay_codec const& codec_;
    time_point (*clock_)() noexcept;
    connection_pool pool_;
    std::unordered_map<exchange_id, live_exchange> live_;
    exchange_id last_number_ = 0;
};

} // namespace hornbeamweir
