#include "rank_client.hpp"

#include <hornbeamweir/core/socket_address.hpp>

namespace hornbeamweir
{

namespace
{

using std::chrono::milliseconds;

constexpr std::size_t max_idle_connections = 3;
/// Ranks respond to report requests immediately, without using one of their
/// request slots.
constexpr duration report_timeout = milliseconds{300};
/// Response timeout of an order to the rank on this VM, which responds within a
/// few milliseconds. A rank may still carry out an order that has timed out.
constexpr duration local_order_timeout = milliseconds{20};
constexpr duration remote_order_timeout = milliseconds{60};
/// The same for an order with a whole map, which takes a link of 8 Mbit/s tens
/// of milliseconds, behind those for other ranks.
constexpr duration remote_prepare_timeout = milliseconds{300};
constexpr duration connect_timeout = milliseconds{200};
/// Size of the longest response, the experts of a rank, with ample room.
constexpr std::size_t max_response_bytes = std::size_t{4} * 1024 * 1024;
constexpr unsigned ok = 200;
constexpr unsigned accepted = 202;
constexpr unsigned precondition_failed = 412;

duration order_timeout(rank_operation operation, rank_location location)
{
    if (location == rank_location::local)
        return local_order_timeout;
    return operation == rank_operation::prepare ? remote_prepare_timeout
                                                : remote_order_timeout;
}

template <typename T>
result<T> decode(
    result<std::pair<unsigned, std::string>> const& response,
    std::function<result<T>(std::string const&)> const& read)
{
    if (!response)
        return tl::unexpected<error>{response.error()};
    if (response->first != ok)
    {
        return failure(
            result_code::backend_failed,
            "found status " + std::to_string(response->first) +
                " in the response of the rank, expected 200");
    }
    return read(response->second);
}

} // namespace

bool is_accepted(result<unsigned> const& status) noexcept
{
    return status && (*status == ok || *status == accepted);
}

bool is_fenced(result<unsigned> const& status) noexcept
{
    return status && *status == precondition_failed;
}

struct rank_client::pending_call
{
    response_handler done;
    unsigned status = 0;
    std::string body;
    std::unique_ptr<pooled_call> call;
};

rank_client::rank_client(
    boost::asio::io_context& context, rank_codec const& codec)
    : codec_{codec}
    , pool_{context, max_idle_connections}
{
}

rank_client::~rank_client() = default;

void rank_client::call(
    std::string const& address,
    http_request_message request,
    duration timeout,
    response_handler done)
{
    std::optional<boost::asio::ip::tcp::endpoint> const server =
        tcp_endpoint(address);
    if (!server)
        return;
    std::uint64_t const number = ++last_number_;
    std::unique_ptr<pending_call>& slot = pending_[number];
    slot = std::make_unique<pending_call>();
    pending_call& it = *slot;
    it.done = std::move(done);
    std::function<void(result<std::pair<unsigned, std::string>>)> const finish =
        [this, number](result<std::pair<unsigned, std::string>> outcome)
    {
        auto const found = pending_.find(number);
        if (found == pending_.end())
            return;
        std::unique_ptr<pending_call> const ended = std::move(found->second);
        pending_.erase(found);
        ended->done(std::move(outcome));
    };
    pooled_call_handlers handlers;
    handlers.head = [&it](unsigned status, header_list const&)
    { it.status = status; };
    handlers.data = [&it](std::string const& bytes) { it.body += bytes; };
    handlers.ended = [&it, finish] {
        finish(std::pair{it.status, std::move(it.body)});
    };
    handlers.failed = [finish](error const& reason, bool)
    { finish(tl::unexpected<error>{reason}); };
    pooled_call_options options;
    options.connect_timeout = connect_timeout;
    options.timeout = timeout;
    options.max_body_bytes = max_response_bytes;
    it.call = pool_.call(
        *server, std::move(request), std::move(options), std::move(handlers));
}

void rank_client::read_state(
    std::string const& address, handler<rank_state> done)
{
    call(
        address,
        codec_.report_request(),
        report_timeout,
        [this, done](result<std::pair<unsigned, std::string>> const& response)
        {
            done(decode<rank_state>(
                response,
                [this](std::string const& body)
                { return codec_.decode_report(body); }));
        });
}

void rank_client::read_activations(
    std::string const& address, handler<activation_counts> done)
{
    call(
        address,
        codec_.counts_request(),
        report_timeout,
        [this, done](result<std::pair<unsigned, std::string>> const& response)
        {
            done(decode<activation_counts>(
                response,
                [this](std::string const& body)
                { return codec_.decode_counts(body); }));
        });
}

void rank_client::read_experts(
    std::string const& address, std::uint32_t rank, handler<rank_experts> done)
{
    call(
        address,
        codec_.experts_request(),
        report_timeout,
        [this, rank, done](
            result<std::pair<unsigned, std::string>> const& response)
        {
            done(decode<rank_experts>(
                response,
                [this, rank](std::string const& body)
                { return codec_.decode_experts(body, rank); }));
        });
}

void rank_client::send_order(
    std::string const& address,
    rank_order const& order,
    rank_location location,
    handler<unsigned> done)
{
    call(
        address,
        codec_.order_request(order),
        order_timeout(order.operation, location),
        [done](result<std::pair<unsigned, std::string>> const& response)
        {
            if (response)
                done(response->first);
            else
                done(tl::unexpected<error>{response.error()});
        });
}

} // namespace hornbeamweir
