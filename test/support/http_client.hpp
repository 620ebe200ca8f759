#pragma once

#include <hornbeamweir/http/http_exchange.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace test
{

struct http_answer
{
    /// 0 if no response was received.
    unsigned status = 0;
    hornbeamweir::header_list headers;
    std::string body;
    /// Whether the complete response was received.
    bool whole = false;
};

/// \brief Sends one request to a loopback port and waits for the response.
/// \param progress Called with each received piece of the body.
[[nodiscard]] http_answer send_request(
    int port,
    hornbeamweir::http_request_message request,
    std::function<void(std::string const&)> const& progress = {});

[[nodiscard]] http_answer get(int port, std::string const& target);

/// \brief Polls a condition until it holds.
/// \returns Whether it held within the limit.
[[nodiscard]] bool eventually(
    std::function<bool()> const& condition,
    std::chrono::milliseconds limit = std::chrono::seconds{10});

} // namespace test
