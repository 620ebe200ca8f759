#include "limit_report.hpp"

#include <array>

namespace hornbeamweir
{

namespace
{

constexpr duration interval = std::chrono::seconds{1};

/// \brief One reason for which a connection or a request is refused.
struct refusal
{
    char const* name;
    std::uint64_t http_server::counters::*count;
};

constexpr std::array<refusal, 4> refusals{
    {{"rejected", &http_server::counters::rejected_connections},
     {"evicted", &http_server::counters::evicted},
     {"shed", &http_server::counters::shed},
     {"unreadable", &http_server::counters::malformed}}};

} // namespace

void limit_report::on_tick(time_point now)
{
    if (now - written_at_ < interval)
        return;
    written_at_ = now;
    metrics_.gauge(
        "hornbeamweir_held_bytes", {}, static_cast<double>(budget_.used()));
    metrics_.gauge(
        "hornbeamweir_held_bytes_limit",
        {},
        static_cast<double>(budget_.limit()));
    http_server::counters const totals = callers_.totals();
    event line{"callers_refused"};
    bool any = false;
    for (refusal const& it : refusals)
    {
        std::uint64_t const n = totals.*it.count - reported_.*it.count;
        line.with(it.name, n);
        any = any || n > 0;
        if (n > 0)
        {
            metrics_.count(
                "hornbeamweir_callers_refused_total",
                {{"reason", it.name}},
                static_cast<double>(n));
        }
    }
    reported_ = totals;
    if (!any)
        return;
    line.with("connections", totals.open)
        .with("held_bytes", budget_.used())
        .with("limit", budget_.limit());
    log_.warning(line);
}

} // namespace hornbeamweir
