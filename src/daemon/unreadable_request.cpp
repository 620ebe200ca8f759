#include "unreadable_request.hpp"

#include <hornbeamweir/entry/error_document.hpp>

namespace hornbeamweir
{

void reject_unreadable_request(http_exchange& exchange, result_code code)
{
    error_document document = make_error_document(
        request_id{"none"},
        {code, "the request could not be read"},
        execution_state::not_run,
        std::nullopt);
    exchange.send_head(document.status, document.headers);
    exchange.send_data(std::move(document.body));
    exchange.finish();
}

} // namespace hornbeamweir
