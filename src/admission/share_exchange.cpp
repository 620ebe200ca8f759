#include <hornbeamweir/admission/share_exchange.hpp>
#include <hornbeamweir/core/content_hash.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

/// Weight of the newest interval in the smoothed rate.
constexpr double rate_smoothing = 0.5;
/// Demand below which a customer counts as idle, in requests per second.
constexpr double idle_rate = 0.01;

double seconds(duration span) noexcept
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

share_exchange::share_exchange(
    process_name self, std::vector<process_name> entries)
    : self_{std::move(self)}
    , entries_{std::move(entries)}
{
}

void share_exchange::on_request(customer_id const& id, time_point now)
{
    demand& state = demands_[id];
    if (state.arrivals == 0 && state.rate == 0)
    {
        state.interval_start = now;
        urgent_ = true;
    }
    ++state.arrivals;
}

void share_exchange::on_entry_alive(process_name const& from, time_point now)
{
    last_contact_[from] = now;
}

bool share_exchange::reachable(process_name const& entry, time_point now) const
{
    if (entry == self_)
        return true;
    auto const it = last_contact_.find(entry);
    return it != last_contact_.end() && now - it->second <= validity;
}

std::size_t share_exchange::count_reachable(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(
        entries_.begin(),
        entries_.end(),
        [&](process_name const& it) { return reachable(it, now); }));
}

process_name
share_exchange::owner_of(customer_id const& id, time_point now) const
{
    process_name owner = self_;
    std::uint64_t highest_weight = 0;
    for (process_name const& it : entries_)
    {
        if (!reachable(it, now))
            continue;
        std::uint64_t const weight = stable_hash(id.str() + '\n' + it.str());
        if (weight >= highest_weight)
        {
            owner = it;
            highest_weight = weight;
        }
    }
    return owner;
}

std::vector<outgoing_share_message> share_exchange::on_message(
    process_name const& from,
    wire::admission_message const& message,
    time_point now)
{
    on_entry_alive(from, now);
    if (message.has_grant())
        apply(message.grant(), now);
    if (!message.has_report())
        return {};
    return {{from, make_grant(from, message.report(), now)}};
}

void share_exchange::apply(wire::share_grant const& grant, time_point now)
{
    for (wire::customer_share const& it : grant.shares())
    {
        grants_[customer_id{it.customer()}] = {
            std::clamp(it.fraction(), 0.0, 1.0), now};
    }
}

wire::admission_message share_exchange::make_grant(
    process_name const& from, wire::demand_report const& report, time_point now)
{
    wire::admission_message reply;
    for (wire::customer_demand const& it : report.demands())
    {
        customer_id const id{it.customer()};
        reported_demands_[id][from] = {std::max(it.rate(), 0.0), now};
    }
    for (wire::customer_demand const& it : report.demands())
    {
        wire::customer_share& share = *reply.mutable_grant()->add_shares();
        share.set_customer(it.customer());
        share.set_fraction(fraction_of(from, customer_id{it.customer()}, now));
    }
    return reply;
}

// Unreachable entries are assumed to use their equal share.
double share_exchange::fraction_of(
    process_name const& entry, customer_id const& id, time_point now) const
{
    double const entry_count = static_cast<double>(entries_.size());
    double const reachable_fraction =
        static_cast<double>(count_reachable(now)) / entry_count;
    auto const demands = reported_demands_.find(id);
    double entry_rate = 0;
    double total_rate = 0;
    if (demands != reported_demands_.end())
    {
        for (auto it = demands->second.begin(); it != demands->second.end();
             ++it)
        {
            if (now - it->second.received_at > validity)
                continue;
            total_rate += it->second.rate;
            if (it->first == entry)
                entry_rate = it->second.rate;
        }
    }
    double const reserved_share = reserved_fraction / entry_count;
    if (total_rate <= 0)
        return reserved_share;
    return reserved_share + (1 - reserved_fraction) * reachable_fraction *
                                entry_rate / total_rate;
}

std::vector<outgoing_share_message> share_exchange::on_tick(time_point now)
{
    if (now - last_report_ < (urgent_ ? urgent_interval : report_interval))
        return {};
    urgent_ = false;
    update_rates(now);
    last_report_ = now;
    std::map<process_name, wire::admission_message> reports;
    for (auto it = demands_.begin(); it != demands_.end(); ++it)
    {
        wire::customer_demand& out =
            *reports[owner_of(it->first, now)].mutable_report()->add_demands();
        out.set_customer(it->first.str());
        out.set_rate(it->second.rate);
    }
    std::vector<outgoing_share_message> out;
    for (auto it = reports.begin(); it != reports.end(); ++it)
    {
        if (it->first == self_)
            apply(make_grant(self_, it->second.report(), now).grant(), now);
        else
            out.push_back({it->first, std::move(it->second)});
    }
    remove_expired(now);
    return out;
}

void share_exchange::update_rates(time_point now)
{
    for (auto it = demands_.begin(); it != demands_.end(); ++it)
    {
        demand& state = it->second;
        double const span = std::max(
            seconds(now - state.interval_start), seconds(report_interval));
        double const rate = static_cast<double>(state.arrivals) / span;
        state.rate = state.rate == 0 ? rate
                                     : (1 - rate_smoothing) * state.rate +
                                           rate_smoothing * rate;
        state.arrivals = 0;
        state.interval_start = now;
    }
}

void share_exchange::remove_expired(time_point now)
{
    std::erase_if(
        demands_, [](auto const& it) { return it.second.rate < idle_rate; });
    std::erase_if(
        grants_,
        [&](auto const& it) { return now - it.second.received_at > validity; });
    for (auto it = reported_demands_.begin(); it != reported_demands_.end();
         ++it)
    {
        std::erase_if(
            it->second,
            [&](auto const& reported)
            { return now - reported.second.received_at > validity; });
    }
    std::erase_if(
        reported_demands_, [](auto const& it) { return it.second.empty(); });
}

double share_exchange::share(customer_id const& id, time_point now) const
{
    auto const it = grants_.find(id);
    if (it != grants_.end() && now - it->second.received_at <= validity)
        return it->second.fraction;
    // Without a grant, the owner sets aside only the reserved share for this
    // entry. An entry that is alone or disconnected from all others has its
    // equal share.
    double const equal = equal_share();
    return count_reachable(now) > 1 ? reserved_fraction * equal : equal;
}

double share_exchange::equal_share() const noexcept
{
    return 1.0 / static_cast<double>(entries_.size());
}

} // namespace hornbeamweir
