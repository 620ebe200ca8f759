#include <hornbeamweir/core/random_source.hpp>
#include <hornbeamweir/relay/replica_rate_limits.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <deque>
#include <memory>
#include <vector>

using namespace hornbeamweir;
using namespace hornbeamweir::relay;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

backend_server_id const replica_id{"r"};
constexpr milliseconds step{10};
constexpr milliseconds window{4000};
/// Time after the first naming from which the limit must hold.
constexpr milliseconds notice{3000};

/// \brief Entries that always have requests for a replica, as far as they have
/// any load.
class entries
{
public:
    entries(std::size_t n, double limit, double loss, std::uint64_t seed)
        : random_{seed}
        , limit_{limit}
        , loss_{loss}
    {
        for (std::size_t it = 0; it < n; ++it)
        {
            limits_.push_back(std::make_unique<replica_rate_limits>());
            loads_.push_back(static_cast<std::uint32_t>(random_.below(30)));
        }
    }

    void restart(std::size_t n)
    {
        limits_[n] = std::make_unique<replica_rate_limits>();
    }

    void set_load(std::size_t n, std::uint32_t load) { loads_[n] = load; }

    void run(duration time)
    {
        for (time_point const end = now_ + time; now_ < end; now_ += step)
        {
            if ((now_ - began_at_) % milliseconds{100} == duration::zero())
                exchange();
            for (std::size_t n = 0; n < limits_.size(); ++n)
            {
                if (loads_[n] > 0 && random_.unit() < 0.3)
                    send(n);
            }
        }
    }

    /// \returns The most requests in any 4 s after the notice.
    [[nodiscard]] std::size_t most() const { return most_; }
    [[nodiscard]] std::size_t total() const { return total_; }

private:
    static process_name name_of(std::size_t n)
    {
        return process_name{std::to_string(n)};
    }

    void exchange()
    {
        for (std::size_t n = 0; n < limits_.size(); ++n)
        {
            std::map<process_name, std::uint32_t> others;
            for (std::size_t from = 0; from < limits_.size(); ++from)
            {
                if (from == n)
                    continue;
                others[name_of(from)] = loads_[from];
                if (random_.unit() >= loss_)
                    limits_[n]->on_peer_report(
                        name_of(from), limits_[from]->seen());
            }
            limits_[n]->set_loads(name_of(n), loads_[n], std::move(others));
            limits_[n]->refresh(now_);
        }
    }

    void send(std::size_t n)
    {
        if (limits_[n]->delay_of(replica_id, now_) != duration::zero())
            return;
        limits_[n]->on_sent(replica_id, now_);
        limits_[n]->on_answer(replica_id, limit_, now_, now_);
        if (now_ - began_at_ < notice)
            return;
        ++total_;
        while (!sent_.empty() && now_ - sent_.front() >= window)
            sent_.pop_front();
        sent_.push_back(now_);
        most_ = std::max(most_, sent_.size());
    }

    random_source random_;
    double limit_;
    double loss_;
    std::vector<std::unique_ptr<replica_rate_limits>> limits_;
    std::vector<std::uint32_t> loads_;
    time_point const began_at_{seconds{100}};
    time_point now_ = began_at_;
    std::deque<time_point> sent_;
    std::size_t most_ = 0;
    std::size_t total_ = 0;
};

double allowed(double limit)
{
    constexpr double slack = 1.5;
    constexpr double extra = 5;
    return slack * limit * std::chrono::duration<double>{window}.count() +
           extra;
}

} // namespace

TEST_CASE("entries share the limit of a replica, and use it", "[rates]")
{
    struct row
    {
        std::size_t entries;
        double limit;
        int run_s;
    };
    std::vector<row> const rows{
        {1, 0.5, 30},
        {1, 2.3, 30},
        {1, 20, 30},
        {5, 0.5, 30},
        {5, 2.3, 30},
        {5, 20, 30},
        {52, 0.5, 20},
        {52, 2.3, 20},
        {52, 20, 20},
        {430, 2.3, 8},
    };
    for (row const& it : rows)
    {
        CAPTURE(it.entries, it.limit);
        entries fleet{it.entries, it.limit, 0.1, 3};
        fleet.run(seconds{it.run_s});
        CHECK(static_cast<double>(fleet.most()) <= allowed(it.limit));
        double const usable =
            it.limit *
            static_cast<double>((seconds{it.run_s} - notice).count()) / 1000;
        CHECK(static_cast<double>(fleet.total()) >= 0.6 * usable);
    }
}

TEST_CASE("a limit holds while entries restart and loads change", "[rates]")
{
    rc::prop(
        "restarts, lost reports, changing loads",
        []
        {
            std::size_t const n = *rc::gen::inRange<std::size_t>(1, 20);
            double const limit = *rc::gen::inRange(1, 200) / 10.0;
            std::uint64_t const seed = *rc::gen::arbitrary<std::uint64_t>();
            entries fleet{n, limit, 0.3, seed};
            random_source random{seed};
            fleet.run(seconds{3});
            for (int second = 0; second < 20; ++second)
            {
                // A restart excuses an entry; the others stay within the limit.
                if (random.unit() < 0.2)
                    fleet.restart(random.below(n));
                fleet.set_load(
                    random.below(n),
                    static_cast<std::uint32_t>(random.below(40)));
                fleet.run(seconds{1});
            }
            RC_ASSERT(static_cast<double>(fleet.most()) <= allowed(limit));
        });
}

TEST_CASE("a limit ends when the replica names none", "[rates]")
{
    time_point now{seconds{100}};
    replica_rate_limits limits;
    CHECK(limits.delay_of(replica_id, now) == duration::zero());
    CHECK(limits.on_answer(replica_id, 0.5, now, now));
    CHECK(limits.limit_of(replica_id) == 0.5);
    CHECK(limits.delay_of(replica_id, now) > seconds{1});
    now += seconds{1};
    // Answers to a request that was sent before.
    CHECK_FALSE(limits.on_answer(
        replica_id, std::nullopt, now - milliseconds{1500}, now));
    CHECK(limits.limit_of(replica_id) == 0.5);
    CHECK(limits.on_answer(replica_id, std::nullopt, now, now));
    CHECK(limits.delay_of(replica_id, now) == duration::zero());
}

TEST_CASE("a limit ends if it isn't named again", "[rates]")
{
    struct row
    {
        double per_second;
        seconds holds;
        seconds is_over;
    };
    std::vector<row> const rows{
        {10, seconds{9}, seconds{11}},
        {0.2, seconds{19}, seconds{21}},
        {0, seconds{59}, seconds{61}},
    };
    for (row const& it : rows)
    {
        CAPTURE(it.per_second);
        time_point const began_at{seconds{100}};
        replica_rate_limits limits;
        CHECK(limits.on_answer(replica_id, it.per_second, began_at, began_at));
        limits.refresh(began_at + it.holds);
        CHECK(limits.limit_of(replica_id) == it.per_second);
        limits.refresh(began_at + it.is_over);
        CHECK_FALSE(limits.limit_of(replica_id));
        CHECK(limits.empty());
    }
}
