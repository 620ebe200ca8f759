#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/http/http_server.hpp>

#include "standins/support/json_body.hpp"
#include "standins/support/options.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>

#include <fstream>

namespace standin
{

namespace
{

using hornbeamweir::http_exchange;
using hornbeamweir::http_request_message;

/// A service that executes and records every request it receives.
class recording_service
{
public:
    recording_service(boost::asio::io_context& context, options const& settings)
        : context_{context}
        , delay_{settings.number("delay-ms", 5)}
        , record_file_{settings.text("record", "")}
        , server_{
              context,
              settings.text("address", "127.0.0.1:7200"),
              hornbeamweir::http_limits{},
              [this](
                  std::shared_ptr<http_exchange> exchange,
                  http_request_message request)
              { handle_request(std::move(exchange), std::move(request)); },
              send_error}
    {
    }

private:
    void handle_request(
        std::shared_ptr<http_exchange> exchange, http_request_message request)
    {
        if (request.target == "/health")
        {
            send_json(*exchange, {});
            return;
        }
        if (request.target == "/executions")
        {
            send_executions(*exchange);
            return;
        }
        record(request);
        std::uint64_t const number = executions_.size();
        std::shared_ptr<boost::asio::steady_timer> const timer =
            std::make_shared<boost::asio::steady_timer>(
                context_, delay_of(request));
        timer->async_wait(
            [timer, exchange, number](boost::system::error_code)
            {
                boost::json::object reply;
                reply["execution"] = number;
                send_json(*exchange, reply);
            });
    }

    // The record file outlives the process, so that tests can count the
    // executions of a service that was killed.
    void record(http_request_message const& request)
    {
        std::string const* const key =
            find_header(request.headers, "Idempotency-Key");
        std::string const line = request.method + " " + request.target + " " +
                                 (key == nullptr ? "-" : *key);
        executions_.push_back(line);
        if (!record_file_.empty())
            std::ofstream{record_file_, std::ios::app} << line << std::endl;
    }

    [[nodiscard]] std::chrono::milliseconds
    delay_of(http_request_message const& request) const
    {
        std::string const* const delay =
            find_header(request.headers, "X-Standin-Delay-Ms");
        return std::chrono::milliseconds{
            delay == nullptr ? delay_
                             : std::strtol(delay->c_str(), nullptr, 10)};
    }

    void send_executions(http_exchange& exchange) const
    {
        boost::json::array lines;
        for (std::string const& line : executions_)
            lines.emplace_back(line);
        boost::json::object reply;
        reply["executions"] = std::move(lines);
        send_json(exchange, reply);
    }

    boost::asio::io_context& context_;
    long delay_;
    std::string record_file_;
    std::vector<std::string> executions_;
    hornbeamweir::http_server server_;
};

} // namespace

} // namespace standin

int main(int argc, char const** argv)
{
    boost::asio::io_context context;
    standin::recording_service const service{
        context, standin::options{argc, argv}};
    context.run();
    return 0;
}
