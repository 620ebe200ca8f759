#include "unreadable_request.hpp"

#include <hornbeamweir/entry/error_document.hpp>

namespace hornbeamweir
{

namespace
{

/// Time after which a caller may try again, if this process has no room for its
/// request.
constexpr duration retry_delay = std::chrono::seconds{1};
constexpr unsigned unavailable = 503;

} // namespace

void reject_unreadable_request(http_exchange& exchange, result_code code)
{
    error_document document = make_error_document(
        request_id{"none"},
        {code, "the request could not be read"},
        execution_state::not_run,
        http_status_of(code) == unavailable ? std::optional{retry_delay}
                                            : std::nullopt);
    exchange.send_head(document.status, document.headers);
    exchange.send_data(std::move(document.body));
    exchange.finish();
}

} // namespace hornbeamweir
