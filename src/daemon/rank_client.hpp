#pragma once

#include <hornbeamweir/expert_map/rank_codec.hpp>
#include <hornbeamweir/http/connection_pool.hpp>
#include <hornbeamweir/telemetry/event_log.hpp>

#include <map>

namespace hornbeamweir
{

/// \brief Whether a rank runs on this VM.
enum class rank_location
{
    local,
    remote
};

/// \brief Whether a rank carries out an order, by the HTTP status of its
/// response.
[[nodiscard]] bool is_accepted(result<unsigned> const& status) noexcept;
/// \brief Whether a rank rejected an order as it has seen a higher fencing
/// token.
[[nodiscard]] bool is_fenced(result<unsigned> const& status) noexcept;

/// \brief Client of the HTTP interface of ranks.
/// \remarks Handlers are called once, with the result or an error. They are not
/// called if the address is invalid or the client is destroyed.
class rank_client
{
public:
    template <typename T>
    using handler = std::function<void(result<T>)>;

    rank_client(boost::asio::io_context& context, rank_codec const& codec);
    ~rank_client();
    rank_client(rank_client const&) = delete;
    rank_client& operator=(rank_client const&) = delete;

    void read_state(std::string const& address, handler<rank_state> done);
    void read_activations(
        std::string const& address, handler<activation_counts> done);
    void read_experts(
        std::string const& address,
        std::uint32_t rank,
        handler<rank_experts> done);
    /// \brief Sends an order; the handler receives the HTTP status.
    void send_order(
        std::string const& address,
        rank_order const& order,
        rank_location location,
        handler<unsigned> done);

private:
    struct pending_call;
    using response_handler =
        std::function<void(result<std::pair<unsigned, std::string>>)>;

    void call(
        std::string const& address,
        http_request_message request,
        duration timeout,
        response_handler done);

    rank_codec const& codec_;
    connection_pool pool_;
    std::map<std::uint64_t, std::unique_ptr<pending_call>> pending_;
    std::uint64_t last_number_ = 0;
};

} // namespace hornbeamweir
