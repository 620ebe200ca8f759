#include <hornbeamweir/peers/datagram_traffic.hpp>

namespace hornbeamweir
{

namespace
{

constexpr std::array<char const*, 2> direction_names{"sent", "received"};
constexpr std::array<char const*, 8> kind_names{
    "other",
    "load",
    "report",
    "order",
    "beat",
    "question",
    "answer",
    "crashes"};

std::size_t kind_of(wire::datagram const& message)
{
    switch (message.body_case())
    {
    case wire::datagram::kLoad:
        return 1;
    case wire::datagram::kReport:
        return 2;
    case wire::datagram::kOrder:
        return 3;
    case wire::datagram::kBeat:
        return 4;
    case wire::datagram::kQuestion:
        return 5;
    case wire::datagram::kAnswer:
        return 6;
    case wire::datagram::kCrashes:
        return 7;
    case wire::datagram::BODY_NOT_SET:
        break;
    }
    return 0;
}

} // namespace

void datagram_traffic::on_datagram(
    direction way, wire::datagram const& message, std::size_t bytes)
{
    count& it = counts_[static_cast<std::size_t>(way)][kind_of(message)];
    ++it.messages;
    it.bytes += bytes;
}

void datagram_traffic::write(metrics_registry& metrics, event_log* log)
{
    event line{"peer_traffic"};
    for (std::size_t way = 0; way < directions; ++way)
    {
        for (std::size_t kind = 0; kind < kinds; ++kind)
        {
            count const it = std::exchange(counts_[way][kind], {});
            if (it.messages == 0)
                continue;
            std::string const name =
                std::string{direction_names[way]} + "_" + kind_names[kind];
            line.with(name, it.messages).with(name + "_bytes", it.bytes);
            metric_labels const labels{
                {"direction", direction_names[way]},
                {"kind", kind_names[kind]}};
            metrics.count(
                "hornbeamweir_datagrams_total",
                labels,
                static_cast<double>(it.messages));
            metrics.count(
                "hornbeamweir_datagram_bytes_total",
                labels,
                static_cast<double>(it.bytes));
        }
    }
    if (log != nullptr)
        log->info(line);
}

} // namespace hornbeamweir
