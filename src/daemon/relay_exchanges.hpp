#pragma once

#include <hornbeamweir/http/connection_pool.hpp>
#include <hornbeamweir/http/http_exchange.hpp>
#include <hornbeamweir/relay/relay_codec.hpp>
#include <hornbeamweir/relay/relay_core.hpp>

#include <functional>
#include <unordered_map>

namespace hornbeamweir
{

/// \brief Performs the actions of a relay_core: connects the exchanges of
/// callers with calls to replicas.
class relay_exchanges
{
public:
    /// \param budget Limits the bytes held for callers and replicas.
    /// \param max_connections Number of connections to replicas beyond which
    /// idle ones make room.
    /// \param attempts_opened Called after attempts have been opened.
    relay_exchanges(
        boost::asio::io_context& context,
        std::shared_ptr<memory_budget> budget,
        std::size_t max_connections,
        relay::relay_core& core,
        relay_codec const& codec,
        time_point (*clock)() noexcept,
        std::function<void()> attempts_opened);

    /// \brief Starts to relay a caller's request.
    void accept(
        std::shared_ptr<http_exchange> exchange, http_request_message request);

    /// \brief Performs the actions in their order.
    void apply(relay::actions decided);

    [[nodiscard]] connection_pool::counters totals() const noexcept
    {
        return pool_.totals();
    }

private:
    struct open_exchange
    {
        std::shared_ptr<http_exchange> exchange;
        std::unique_ptr<pooled_call> call;
        std::uint32_t attempt = 0;
        /// Bytes not yet written to the caller.
        std::size_t unwritten = 0;
        /// Whether reading from the replica waits for the caller.
        bool is_paused = false;
    };

    void perform(relay::open_attempt const& it);
    void perform(relay::close_attempt const& it);
    void perform(relay::send_head const& it);
    void perform(relay::send_data& it);
    void perform(relay::send_end const& it);
    void perform(relay::send_error const& it);
    void perform(relay::abort_response const& it);
    void perform(relay::check_replica const& it);
    void on_written(exchange_id id, std::size_t n);
    /// Returns the unwritten bytes above which reading from a replica pauses.
    [[nodiscard]] std::size_t max_unwritten() const noexcept;
    void on_failed(
        exchange_id id, std::uint32_t attempt, error const& reason, bool sent);
    [[nodiscard]] pooled_call_handlers
    handlers_for(exchange_id id, std::uint32_t attempt);

    boost::asio::io_context& context_;
    std::shared_ptr<memory_budget> budget_;
    relay::relay_core& core_;
    relay_codec const& codec_;
    time_point (*clock_)() noexcept;
    std::function<void()> attempts_opened_;
    connection_pool pool_;
    std::unordered_map<exchange_id, open_exchange> exchanges_;
    exchange_id last_id_ = 0;
};

} // namespace hornbeamweir
