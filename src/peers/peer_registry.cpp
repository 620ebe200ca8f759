#include <hornbeamweir/core/socket_address.hpp>
#include <hornbeamweir/peers/peer_registry.hpp>

#include <sstream>

namespace hornbeamweir
{

namespace
{

constexpr std::string_view prefix = "hornbeamweir/processes/";
/// Registrations outlive outages of the store that are usual; a process that
/// has gone only costs datagrams until then.
constexpr duration lease_time = std::chrono::seconds{20};
constexpr duration keep_interval = std::chrono::seconds{6};
constexpr duration retry_delay = std::chrono::milliseconds{400};
/// Finds processes whose datagrams were all lost.
constexpr duration read_interval = std::chrono::seconds{8};

std::string text_of(boost::asio::ip::udp::endpoint const& at)
{
    std::ostringstream out;
    out << at;
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

void peer_registry::after(
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

void peer_registry::grant()
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
        after(lease_timer_, retry_delay, &peer_registry::grant);
        return;
    }
    lease_ = *lease;
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
                after(lease_timer_, retry_delay, &peer_registry::grant);
                return;
            }
            event line{"process_registered"};
            line.with("lease", lease_).with("revision", reply->revision);
            log_.info(line);
            after(lease_timer_, keep_interval, &peer_registry::keep);
            read();
        });
}

void peer_registry::keep()
{
    platform_.keep_alive(
        lease_,
        [this, weak = std::weak_ptr{alive_}](result<duration> const& left)
        {
            if (weak.expired())
                return;
            bool const lapsed =
                !left && left.error().code == result_code::platform_refused;
            if (lapsed)
                grant();
            else
                after(
                    lease_timer_,
                    left ? keep_interval : retry_delay,
                    &peer_registry::keep);
        });
}

void peer_registry::read()
{
    platform_.read_prefix(
        std::string{prefix},
        [this, weak = std::weak_ptr{alive_}](result<range_reply> const& reply)
        {
            if (!weak.expired())
                on_read(reply);
        });
}

void peer_registry::on_read(result<range_reply> const& reply)
{
    after(read_timer_, read_interval, &peer_registry::read);
    if (!reply)
        return;
    std::map<std::string, std::map<process_name, endpoint>> found;
    for (auto const& [key, stored] : reply->values)
    {
        std::string_view const rest =
            std::string_view{key}.substr(std::min(prefix.size(), key.size()));
        std::size_t const slash = rest.find('/');
        std::optional<boost::asio::ip::tcp::endpoint> const at =
            tcp_endpoint(stored.value);
        if (slash == std::string_view::npos || !at)
            continue;
        process_name const name{std::string{rest.substr(slash + 1)}};
        if (name != self_)
        {
            found[std::string{rest.substr(0, slash)}].emplace(
                name, endpoint{at->address(), at->port()});
        }
    }
    peers_ = std::move(found);
}

void peer_registry::on_heard(
    process_name const& who, std::string_view role, endpoint const& from)
{
    if (who != self_)
        peers_[std::string{role}].insert_or_assign(who, from);
}

std::map<process_name, peer_registry::endpoint> const&
peer_registry::peers(std::string const& role) const
{
    static std::map<process_name, endpoint> const none;
    auto const it = peers_.find(role);
    return it == peers_.end() ? none : it->second;
}

} // namespace hornbeamweir
