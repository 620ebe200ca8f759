#include <hornbeamweir/relay/relay_core.hpp>

#include <catch2/catch.hpp>

#include <deque>
#include <memory>

using namespace hornbeamweir;
using namespace hornbeamweir::relay;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::size_t entry_count = 5;
constexpr int replicas_per_data_centre = 6;
constexpr milliseconds service_time{20};
constexpr int requests_per_ms = 2;
data_centre_id const returning{"a"};

route_configuration make_configuration(double cold_rate)
{
    route it;
    it.name = "safe";
    it.host = "h";
    it.prefix = "/";
    it.services = {{service_name{"s"}, 1}};
    it.retries = retry_class::idempotent;
    it.open_to_all = true;
    it.timeout = seconds{4};
    it.target_latency = milliseconds{300};
    it.max_attempts = 2;
    service_profile service;
    service.name = service_name{"s"};
    service.cold_start = seconds{3};
    service.cold_requests_per_second = cold_rate;
    route_configuration out;
    out.version = 1;
    out.routes = {it};
    out.services = {service};
    return out;
}

std::map<backend_server_id, replica> make_replicas()
{
    std::map<backend_server_id, replica> out;
    int port = 1;
    for (std::string const data_centre : {"a", "b"})
    {
        for (int n = 0; n < replicas_per_data_centre; ++n)
        {
            replica it;
            it.id = backend_server_id{data_centre + std::to_string(n)};
            it.service = service_name{"s"};
            it.address = "127.0.0.1:" + std::to_string(port++);
            it.data_centre = data_centre_id{data_centre};
            it.slots = 12;
            out.emplace(it.id, it);
        }
    }
    return out;
}

/// \brief Entries in front of replicas in two data centres, with a load that
/// one data centre alone can serve.
class loaded_fleet
{
public:
    explicit loaded_fleet(double cold_rate)
    {
        for (std::size_t n = 0; n < entry_count; ++n)
        {
            relay_settings settings;
            settings.name = process_name{std::to_string(n)};
            settings.data_centre = returning;
            cores_.push_back(std::make_unique<relay_core>(
                settings, log_, metrics_, random_source{n + 1}));
            relay_core& core = *cores_.back();
            core.routes().update(make_configuration(cold_rate), now_);
            std::map<backend_server_id, replica> const replicas =
                make_replicas();
            core.cold().on_replicas(replicas, now_);
            static_cast<void>(core.replicas().update(replicas, now_));
        }
    }

    void restore_data_centre()
    {
        arrivals_.clear();
        for (auto const& it : cores_)
            it->cold().on_data_centre_restored(returning, now_);
    }

    void run(duration time)
    {
        for (time_point const end = now_ + time; now_ < end;)
        {
            now_ += milliseconds{1};
            complete();
            if (now_.time_since_epoch() % milliseconds{10} == duration::zero())
                tick();
            for (int n = 0; n < requests_per_ms; ++n)
                request();
        }
    }

    /// \returns The requests in the last second and the most in any second, at
    /// the replica of a data centre with the most.
    [[nodiscard]] std::pair<std::size_t, std::size_t>
    busiest(data_centre_id const& data_centre) const
    {
        std::pair<std::size_t, std::size_t> out;
        for (auto const& [id, it] : arrivals_)
        {
            if (!id.str().starts_with(data_centre.str()))
                continue;
            out.first = std::max(out.first, it.last_second.size());
            out.second = std::max(out.second, it.most);
        }
        return out;
    }

    [[nodiscard]] std::size_t rejected() const { return rejected_; }

private:
    struct running
    {
        std::size_t entry;
        exchange_id id;
        std::uint32_t attempt;
        time_point ends_at;
    };

    struct arrivals
    {
        std::deque<time_point> last_second;
        std::size_t most = 0;
    };

    void tick()
    {
        for (std::size_t n = 0; n < cores_.size(); ++n)
        {
            cores_[n]->routes().confirm(now_);
            for (std::size_t to = 0; to < cores_.size(); ++to)
            {
                if (to != n)
                    cores_[to]->loads().on_peer_load(
                        process_name{std::to_string(n)},
                        cores_[n]->loads().local_in_flight(),
                        now_);
            }
            apply(n, cores_[n]->on_tick(now_));
        }
    }

    void request()
    {
        // Half of the load is at the first entry.
        std::size_t const entry =
            random_.below(2) == 0 ? 0 : random_.below(entry_count);
        relay_request it;
        it.method = "GET";
        it.target = "/x";
        it.host = "h";
        apply(entry, cores_[entry]->on_request(++last_id_, it, now_));
    }

    void complete()
    {
        while (!running_.empty() && running_.front().ends_at <= now_)
        {
            running const it = running_.front();
            running_.pop_front();
            replica_response_head head;
            head.status = 200;
            head.is_signed = true;
            relay_core& core = *cores_[it.entry];
            apply(it.entry, core.on_head(it.id, it.attempt, head, now_));
            apply(it.entry, core.on_end(it.id, it.attempt, now_));
        }
    }

    void apply(std::size_t entry, actions const& out)
    {
        for (action const& one : out)
        {
            if (std::holds_alternative<send_error>(one))
                ++rejected_;
            open_attempt const* const open = std::get_if<open_attempt>(&one);
            if (!open)
                continue;
            running_.push_back(
                {entry, open->exchange, open->attempt, now_ + service_time});
            arrivals& it = arrivals_[open->target.id];
            std::erase_if(
                it.last_second,
                [&](time_point at) { return now_ - at >= seconds{1}; });
            it.last_second.push_back(now_);
            it.most = std::max(it.most, it.last_second.size());
        }
    }

    null_event_log log_;
    metrics_registry metrics_;
    random_source random_{7};
    time_point now_{seconds{100}};
    std::vector<std::unique_ptr<relay_core>> cores_;
    exchange_id last_id_ = 0;
    std::deque<running> running_;
    std::map<backend_server_id, arrivals> arrivals_;
    std::size_t rejected_ = 0;
};

} // namespace

// Guards against crashes of all replicas of a data centre that returns from an
// evacuation: they are empty, so all entries prefer them.
TEST_CASE(
    "replicas of a data centre that become cold at once are not flooded",
    "[cold]")
{
    struct row
    {
        double rate;
        bool is_limited;
    };
    std::vector<row> const rows{{26, true}, {0, false}};
    constexpr std::size_t tolerated = 44; // 26 x 1.5 + 5
    for (row const& it : rows)
    {
        CAPTURE(it.rate);
        loaded_fleet fleet{it.rate};
        fleet.run(milliseconds{1500});
        fleet.restore_data_centre();
        fleet.run(milliseconds{2990});
        CHECK((fleet.busiest(returning).second <= tolerated) == it.is_limited);
        CHECK(fleet.busiest(returning).first >= 18);
        CHECK(fleet.rejected() == 0);
        fleet.run(seconds{2});
        CHECK(
            fleet.busiest(returning).first >
            fleet.busiest(data_centre_id{"b"}).first / 2);
        CHECK(fleet.rejected() == 0);
    }
}
