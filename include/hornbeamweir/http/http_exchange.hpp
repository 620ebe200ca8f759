#pragma once

#include <hornbeamweir/core/result_code.hpp>
#include <hornbeamweir/http/header_list.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace hornbeamweir
{

/// \brief An HTTP request with its complete body.
struct http_request_message
{
    std::string method;
    std::string target;
    header_list headers;
    std::string body;
};

/// \brief Writes the response to one HTTP request.
/// \remarks Calls after the end of the response are ignored.
class http_exchange
{
public:
    http_exchange() = default;
    http_exchange(http_exchange const&) = delete;
    http_exchange& operator=(http_exchange const&) = delete;
    virtual ~http_exchange() = default;

    /// \brief Sends the status and the header fields.
    /// \remarks Without a Content-Length field the body is sent with chunked
    /// transfer coding; for HTTP/1.0 callers, closing the connection marks the
    /// end of the body.
    virtual void send_head(unsigned status, header_list const& headers) = 0;
    /// \brief Sends a part of the body; dropped if the status allows none.
    virtual void send_data(std::string bytes) = 0;
    /// \brief Ends the response.
    virtual void finish() = 0;

    /// \brief Closes the connection, so that the caller sees a truncated
    /// response.
    virtual void abort() = 0;

    /// \brief Sets callbacks for the progress of the response.
    /// \param written Receives the number of body bytes that were written.
    /// \param disconnected Called if the caller disconnects before the end.
    virtual void observe(
        std::function<void(std::size_t)> written,
        std::function<void()> disconnected) = 0;
};

/// \brief Handles one request.
using http_handler = std::function<void(
    std::shared_ptr<http_exchange> exchange, http_request_message request)>;

/// \brief Sends a complete response with Content-Type and Content-Length.
void send_response(
    http_exchange& exchange,
    unsigned status,
    std::string const& content_type,
    std::string body);

} // namespace hornbeamweir
