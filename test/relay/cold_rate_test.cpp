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
/// Time for which entries that are not heard are still counted.
constexpr duration retention = seconds{20};

/// \brief Entries that send to a cold replica whenever they may, as far as they
/// have any load.
class cold_fleet
{
public:
    cold_fleet(std::size_t n, double rate, std::uint64_t seed)
        : random_{seed}
        , rate_{rate}
        , entries_(n)
    {
        for (std::size_t it = 0; it < n; ++it)
        {
            entries_[it].name = process_name{"entry-" + std::to_string(it)};
            restart(it);
            // Most of the load is at a few entries.
            entries_[it].busy = random_.below(4) == 0 ? 1.0 : 0.5;
        }
    }

    void restart(std::size_t n)
    {
        entries_[n].limits = std::make_unique<replica_rate_limits>();
        // Registrations outlive a restart; reading them takes some time.
        entries_[n].heard_at.assign(entries_.size(), {});
        entries_[n].reads_at = now_ + milliseconds{random_.below(600)};
        entries_[n].limits->set_entries(entries_[n].name, {}, now_);
        set_cold(entries_[n]);
    }

    void set_busy(std::size_t n, double busy) { entries_[n].busy = busy; }

    /// \brief Cuts an entry off from all others for some time.
    void cut_off(std::size_t n, duration time)
    {
        entries_[n].cut_off_until = now_ + time;
    }

    /// \brief Runs while the replica is cold or warm.
    /// \param load Multiple of the usual load of all entries.
    void run(duration time, bool is_cold = true, double load = 1)
    {
        is_cold_ = is_cold;
        for (entry& it : entries_)
            set_cold(it);
        for (time_point const end = now_ + time; now_ < end; now_ += step)
        {
            if (now_.time_since_epoch() % milliseconds{100} == duration::zero())
                exchange();
            for (entry& it : entries_)
            {
                if (is_cold && random_.unit() < it.busy * load)
                    send(it);
            }
        }
    }

    [[nodiscard]] std::size_t most() const { return most_; }
    [[nodiscard]] std::size_t total() const { return total_; }
    [[nodiscard]] double allowed() const { return rate_ * 1.5 + 5; }

private:
    struct entry
    {
        std::unique_ptr<replica_rate_limits> limits;
        process_name name;
        /// When each entry was last heard.
        std::vector<time_point> heard_at;
        /// When it reads the registrations of the others.
        time_point reads_at{};
        double busy = 1;
        time_point cut_off_until{};
    };

    void set_cold(entry& it)
    {
        std::map<backend_server_id, double> rates;
        if (is_cold_)
            rates.emplace(replica_id, rate_);
        it.limits->set_cold_rates(rates, now_);
    }

    void exchange()
    {
        constexpr double loss = 0.1;
        for (entry& to : entries_)
        {
            std::set<process_name> known;
            bool const reads = now_ >= to.reads_at;
            if (reads)
                to.reads_at = time_point::max();
            for (std::size_t n = 0; n < entries_.size(); ++n)
            {
                bool const is_heard =
                    reads || (now_ >= to.cut_off_until &&
                              now_ >= entries_[n].cut_off_until &&
                              random_.unit() >= loss);
                if (is_heard)
                    to.heard_at[n] = now_;
                if (now_ - to.heard_at[n] < retention)
                    known.insert(known.end(), entries_[n].name);
            }
            to.limits->set_entries(to.name, known, now_);
        }
    }

    void send(entry& from)
    {
        if (from.limits->delay_of(replica_id, now_) != duration::zero())
            return;
        from.limits->on_sent(replica_id, now_);
        ++total_;
        while (!sent_.empty() && now_ - sent_.front() >= seconds{1})
            sent_.pop_front();
        sent_.push_back(now_);
        most_ = std::max(most_, sent_.size());
    }

    random_source random_;
    double rate_;
    bool is_cold_ = true;
    std::vector<entry> entries_;
    time_point now_{seconds{100}};
    std::deque<time_point> sent_;
    std::size_t most_ = 0;
    std::size_t total_ = 0;
};

} // namespace

// Guards against a crash of a cold replica by more requests in a second than it
// tolerates, and against leaving it without any.
TEST_CASE("entries share the rate of a cold replica, and use it", "[cold]")
{
    for (std::size_t const n : {1U, 5U, 15U, 52U, 430U})
    {
        for (double const rate : {1.0, 5.0, 26.0, 60.0})
        {
            CAPTURE(n, rate);
            cold_fleet fleet{n, rate, 3};
            int const time_s = n > 100 ? 3 : 12;
            fleet.run(seconds{time_s});
            CHECK(static_cast<double>(fleet.most()) <= fleet.allowed());
            CHECK(
                static_cast<double>(fleet.total()) >=
                0.7 * rate * (time_s - 1) - 2);
        }
    }
}

TEST_CASE(
    "the rate of a cold replica holds in any second while entries restart and "
    "are cut off",
    "[cold]")
{
    rc::prop(
        "restarts, lost reports, partitions, changing loads",
        []
        {
            std::size_t const n = *rc::gen::weightedElement<std::size_t>(
                {{10, 1}, {10, 5}, {10, 15}, {5, 52}, {1, 430}});
            double const rate = *rc::gen::inRange(10, 601) / 10.0;
            std::uint64_t const seed = *rc::gen::arbitrary<std::uint64_t>();
            cold_fleet fleet{n, rate, seed};
            random_source random{seed};
            for (int part = 0; part < (n > 100 ? 6 : 20); ++part)
            {
                bool const is_rollout = random.below(4) == 0;
                std::uint64_t const restarts =
                    random.below(is_rollout ? n + 1 : 2);
                for (std::uint64_t it = 0; it < restarts; ++it)
                    fleet.restart(random.below(n));
                fleet.cut_off(
                    random.below(n), milliseconds{random.below(15'000)});
                fleet.set_busy(random.below(n), random.unit());
                bool const is_idle = random.below(4) == 0;
                fleet.run(
                    milliseconds{600}, random.below(5) > 0, is_idle ? 0 : 2);
            }
            RC_ASSERT(static_cast<double>(fleet.most()) <= fleet.allowed());
        });
}

TEST_CASE("of a named and a configured rate the lower one applies", "[cold]")
{
    struct row
    {
        double named;
        double configured;
        std::size_t most_in_10_s;
    };
    std::vector<row> const rows{{2, 10, 21}, {10, 2, 21}, {0, 10, 0}};
    for (row const& it : rows)
    {
        CAPTURE(it.named, it.configured);
        time_point now{seconds{100}};
        replica_rate_limits limits;
        limits.set_entries(process_name{"a"}, {}, now);
        now += replica_rate_limits::learning_time;
        limits.set_entries(process_name{"a"}, {}, now);
        limits.set_cold_rates({{replica_id, it.configured}}, now);
        static_cast<void>(limits.on_answer(replica_id, it.named, now, now));
        std::size_t sent = 0;
        for (time_point const end = now + seconds{10}; now < end; now += step)
        {
            if (limits.delay_of(replica_id, now) != duration::zero())
                continue;
            limits.on_sent(replica_id, now);
            ++sent;
            static_cast<void>(limits.on_answer(replica_id, it.named, now, now));
        }
        CHECK(sent <= it.most_in_10_s);
        CHECK(sent + 3 >= it.most_in_10_s);
        limits.set_cold_rates({}, now);
        CHECK(limits.limit_of(replica_id) == it.named);
    }
}
