#pragma once

#include <hornbeamweir/core/error.hpp>
#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/http/http_exchange.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace hornbeamweir
{

/// \brief Handlers of a call's response; failed is called instead of ended if
/// the call fails.
struct backend_call_handlers
{
    std::function<void(unsigned status, header_list headers)> head;
    std::function<void(std::string bytes)> data;
    std::function<void()> ended;
    /// Receives whether the request may have reached the backend server.
    std::function<void(error failure, bool sent)> failed;
};

/// \brief One HTTP request to a backend server.
/// \remarks Flow control: reads at most as many bytes of the response body as
/// grant_credit() has granted in total.
class backend_call
{
public:
    /// \param timeout Time limit of the entire call, including the connection
    /// attempt.
    backend_call(
        boost::asio::io_context& context,
        boost::asio::ip::tcp::endpoint const& endpoint,
        http_request_message request,
        duration timeout,
        backend_call_handlers handlers);
    backend_call(backend_call const&) = delete;
    backend_call& operator=(backend_call const&) = delete;
    /// \brief Closes the connection; no handler is called afterwards.
    ~backend_call();

    /// \brief Permits the given number of further body bytes to be read.
    void grant_credit(std::size_t bytes);

    class impl;

private:
    std::shared_ptr<impl> impl_;
};

} // namespace hornbeamweir
