#include "crash_exchange.hpp"

#include <hornbeamweir/peers/crash_messages.hpp>

namespace hornbeamweir
{

crash_exchange::crash_exchange(
    process_name self,
    std::string role,
    relay::request_quarantine& quarantine,
    peer_registry const& peers,
    datagram_link& link,
    random_source random)
    : self_{std::move(self)}
    , role_{std::move(role)}
    , quarantine_{quarantine}
    , peers_{peers}
    , link_{link}
    , schedule_{random}
{
}

void crash_exchange::on_tick(time_point now)
{
    if (quarantine_.empty())
        return;
    std::map<process_name, datagram_link::endpoint> const& entries =
        peers_.peers(role_);
    std::vector<process_name> names;
    names.reserve(entries.size());
    for (auto const& [name, endpoint] : entries)
        names.push_back(name);
    quarantine_.set_entries(self_, names);
    std::vector<process_name> const chosen =
        schedule_.on_tick(quarantine_.revision(), std::move(names), now);
    if (chosen.empty())
        return;
    wire::datagram message;
    *message.mutable_crashes() = encode_crash_report(quarantine_.report(), now);
    for (process_name const& it : chosen)
        link_.send(entries.at(it), message);
}

} // namespace hornbeamweir
