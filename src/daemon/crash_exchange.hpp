#pragma once

#include <hornbeamweir/peers/datagram_link.hpp>
#include <hornbeamweir/peers/peer_registry.hpp>
#include <hornbeamweir/relay/crash_report_schedule.hpp>
#include <hornbeamweir/relay/request_quarantine.hpp>

namespace hornbeamweir
{

/// \brief Exchanges what entries know of crashes of replicas.
class crash_exchange
{
public:
    crash_exchange(
        process_name self,
        std::string role,
        relay::request_quarantine& quarantine,
        peer_registry const& peers,
        datagram_link& link,
        random_source random);

    void on_tick(time_point now);

private:
    process_name self_;
    std::string role_;
    relay::request_quarantine& quarantine_;
    peer_registry const& peers_;
    datagram_link& link_;
    relay::crash_report_schedule schedule_;
};

} // namespace hornbeamweir
