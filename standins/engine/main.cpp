#include <hornbeamweir/http/http_server.hpp>

#include "standins/engine/lock_step_group.hpp"
#include "standins/engine/map_service.hpp"
#include "standins/support/json_body.hpp"
#include "standins/support/options.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace standin
{

namespace
{

using hornbeamweir::http_exchange;
using hornbeamweir::http_request_message;

/// A group of ranks with one HTTP server each; rank n listens at the base port
/// plus n.
class engine
{
public:
    engine(boost::asio::io_context& context, options const& settings)
        : timer_{context}
        , step_{settings.number("step-ms", 5)}
        , group_{static_cast<std::uint32_t>(settings.number("ranks", 1))}
        , maps_{context, settings}
    {
        long const base_port = settings.number("base-port", 7000);
        for (std::uint32_t rank = 0; rank < settings.number("ranks", 1); ++rank)
        {
            servers_.push_back(std::make_unique<hornbeamweir::http_server>(
                context,
                settings.text("host", "127.0.0.1") + ":" +
                    std::to_string(base_port + rank),
                hornbeamweir::http_limits{},
                [this, rank](
                    std::shared_ptr<http_exchange> exchange,
                    http_request_message const& request)
                { handle_request(rank, exchange, request); },
                send_error));
        }
        tick();
    }

private:
    void handle_request(
        std::uint32_t rank,
        std::shared_ptr<http_exchange> const& exchange,
        http_request_message const& request)
    {
        if (request.target == "/health")
            send_health(rank, *exchange);
        else if (request.method == "POST" && request.target.starts_with("/v1/"))
            generate(rank, exchange, request);
        else if (!maps_.handle_request(rank, *exchange, request))
            send_error(*exchange, hornbeamweir::result_code::not_found);
    }

    void send_health(std::uint32_t rank, http_exchange& exchange) const
    {
        boost::json::object report;
        report["in_flight"] = group_.in_flight(rank);
        report["queued"] = 0;
        report["step_us"] = step_.count() * 1000;
        report["steps"] = group_.steps();
        maps_.report(rank, report);
        send_json(exchange, report);
    }

    void generate(
        std::uint32_t rank,
        std::shared_ptr<http_exchange> const& exchange,
        http_request_message const& request)
    {
        boost::json::object const body = parse_object(request.body);
        std::shared_ptr<generation> const item = std::make_shared<generation>();
        item->exchange = exchange;
        item->model = text_in(body, "model");
        constexpr std::int64_t default_tokens = 16;
        item->max_tokens = static_cast<std::uint32_t>(
            number_in(body, "max_tokens", default_tokens));
        boost::json::value const* const stream = body.if_contains("stream");
        item->streamed =
            stream != nullptr && stream->is_bool() && stream->get_bool();
        exchange->observe(nullptr, [item] { item->closed = true; });
        if (item->streamed)
        {
            constexpr unsigned ok = 200;
            exchange->send_head(ok, resume(*item, request));
        }
        group_.add(rank, item);
    }

    /// Skips the tokens that the caller already has; returns the response
    /// headers.
    static hornbeamweir::header_list
    resume(generation& item, http_request_message const& request)
    {
        hornbeamweir::header_list headers{
            {"Content-Type", "text/event-stream"}, {"X-Resume-Support", "1"}};
        std::string const* const resume_from =
            hornbeamweir::find_header(request.headers, "X-Resume-From-Token");
        if (resume_from == nullptr)
            return headers;
        item.next_token = static_cast<std::uint32_t>(std::stoul(*resume_from));
        headers.push_back({"X-Resumed-From-Token", *resume_from});
        return headers;
    }

    void tick()
    {
        timer_.expires_after(step_);
        timer_.async_wait(
            [this](boost::system::error_code ec)
            {
                if (ec)
                    return;
                if (maps_.begin_step(group_.in_flight()))
                    group_.step();
                tick();
            });
    }

    boost::asio::steady_timer timer_;
    std::chrono::milliseconds step_;
    lock_step_group group_;
    map_service maps_;
    std::vector<std::unique_ptr<hornbeamweir::http_server>> servers_;
};

} // namespace

} // namespace standin

int main(int argc, char const** argv)
{
    boost::asio::io_context context;
    standin::engine const service{context, standin::options{argc, argv}};
    context.run();
    return 0;
}
