#include "order_log.hpp"

namespace hornbeamweir
{

void log_rank_order(
    event_log& log, rank_order const& order, result<unsigned> const& status)
{
    event line{"rank_order"};
    line.with("rank", order.rank)
        .with("operation", name_of(order.operation))
        .with("version", order.version)
        .with("step", order.step)
        .with("epoch", order.epoch)
        .with("fence", order.fence)
        .with("expected_orders", order.expected_orders);
    if (status)
        line.with("status", *status);
    else
        line.with("failure", status.error().message);
    log.info(line);
}

} // namespace hornbeamweir
