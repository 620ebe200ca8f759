#include <hornbeamweir/core/socket_address.hpp>
#include <hornbeamweir/peers/peer_registry.hpp>
#include <hornbeamweir/peers/sender_admission.hpp>

#include <sstream>

namespace hornbeamweir
{

namespace
{

constexpr std::string_view prefix = "hornbeamweir/processes/";
/// Long enough for registrations to outlive usual outages of the store; until a
/// lease expires, a stopped process costs no more than datagrams sent in vain.
constexpr duration lease_time = std::chrono::seconds{20};
constexpr duration renewal_interval = std::chrono::seconds{6};
constexpr duration retry_delay = std::chrono::milliseconds{400};
/// Regular reads find processes whose datagrams were all lost.
constexpr duration read_interval = std::chrono::seconds{8};

std::string text_of(boost::asio::ip::udp::endpoint const& address)
{
    std::ostringstream out;
    out << address;
    return std::move(out).str();
}

} // namespace

peer_registry::peer_registry(
    boost::asio::io_context& context,
    platform& service,
    event_log& log,
    std::string role,
    process_name self,
    endpoint local)
    : platform_{service}
    , log_{log}
    , role_{std::move(role)}
    , self_{std::move(self)}
    , local_{std::move(local)}
    , lease_timer_{context}
    , read_timer_{context}
{
}

void peer_registry::schedule(
    boost::asio::steady_timer& timer,
    duration delay,
    void (peer_registry::*next)())
{
    timer.expires_after(delay);
    timer.async_wait(
        [this, next](boost::system::error_code ec)
        {
            if (!ec)
                (this->*next)();
        });
}

void peer_registry::request_lease()
{
    platform_.grant_lease(
        lease_time,
        [this, weak = std::weak_ptr{alive_}](result<std::int64_t> const& lease)
        {
            if (!weak.expired())
                on_granted(lease);
        });
}

void peer_registry::on_granted(result<std::int64_t> const& lease)
{
    if (!lease)
    {
        schedule(lease_timer_, retry_delay, &peer_registry::request_lease);
        return;
    }
    lease_ = *lease;
    lease_era_ = platform_.era();
    transaction put;
    put.writes.push_back(
        {std::string{prefix} + role_ + '/' + self_.str(),
         text_of(local_),
         lease_});
    platform_.commit(
        std::move(put),
        [this,
         weak = std::weak_ptr{alive_}](result<transaction_reply> const& reply)
        {
            if (weak.expired())
                return;
            if (!reply || !reply->succeeded)
            {
                schedule(
                    lease_timer_, retry_delay, &peer_registry::request_lease);
                return;
            }
            event line{"process_registered"};
            line.with("lease", lease_).with("revision", reply->revision);
            log_.info(line);
            schedule(
                lease_timer_, renewal_interval, &peer_registry::renew_lease);
            read();
        });
}

void peer_registry::renew_lease()
{
    platform_.keep_alive(
        lease_,
        [this, weak = std::weak_ptr{alive_}](result<duration> const& remaining)
        {
            if (weak.expired())
                return;
            bool const is_expired =
                !remaining &&
                remaining.error().code == result_code::platform_refused;
            // The lease of an earlier era may have been lost, and its id be
            // that of another process now.
            if (is_expired || platform_.era() != lease_era_)
                request_lease();
            else
                schedule(
                    lease_timer_,
                    remaining ? renewal_interval : retry_delay,
                    &peer_registry::renew_lease);
        });
}

void peer_registry::refresh()
{
    if (!reading_)
        read();
}

void peer_registry::read()
{
    reading_ = true;
    platform_.read_prefix_recent(
        std::string{prefix},
        [this, weak = std::weak_ptr{alive_}](result<range_reply> const& reply)
        {
            if (!weak.expired())
                on_read(reply);
        });
}

void peer_registry::on_read(result<range_reply> const& reply)
{
    reading_ = false;
    schedule(read_timer_, read_interval, &peer_registry::read);
    if (!reply)
        return;
    std::map<std::string, std::map<process_name, endpoint>> found;
    registered_.clear();
    unregistered_peers_ = 0;
    for (auto const& [key, stored] : reply->values)
    {
        std::string_view const rest =
            std::string_view{key}.substr(std::min(prefix.size(), key.size()));
        std::size_t const slash = rest.find('/');
        std::optional<boost::asio::ip::tcp::endpoint> const address =
            tcp_endpoint(stored.value);
        if (slash == std::string_view::npos || !address)
            continue;
        process_name const name{std::string{rest.substr(slash + 1)}};
        if (name != self_)
        {
            registered_.insert(name);
            found[std::string{rest.substr(0, slash)}].emplace(
                name, endpoint{address->address(), address->port()});
        }
    }
    peers_ = std::move(found);
}

void peer_registry::on_peer_alive(
    process_name const& who, std::string_view role, endpoint const& from)
{
    if (who == self_)
        return;
    std::map<process_name, endpoint>& known = peers_[std::string{role}];
    auto const it = known.find(who);
    if (it != known.end())
    {
        it->second = from;
        return;
    }
    // Each peer gets this process's messages, and may not exist.
    if (!is_registered(who) &&
        ++unregistered_peers_ > sender_admission::max_unregistered)
        return;
    known.emplace(who, from);
}

std::map<process_name, peer_registry::endpoint> const&
peer_registry::peers(std::string const& role) const
{
    static std::map<process_name, endpoint> const empty;
    auto const it = peers_.find(role);
    return it == peers_.end() ? empty : it->second;
}

std::set<process_name> peer_registry::names(std::string const& role) const
{
    std::set<process_name> out;
    for (auto const& [name, address] : peers(role))
        out.insert(name);
    return out;
}

} // namespace hornbeamweir
