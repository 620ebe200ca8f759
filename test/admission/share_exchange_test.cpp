#include <hornbeamweir/admission/admission_controller.hpp>
#include <hornbeamweir/admission/share_exchange.hpp>
#include <hornbeamweir/core/random_source.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <numeric>

using namespace hornbeamweir;

namespace
{

constexpr duration step = std::chrono::milliseconds{10};

customer make_customer(double rate, std::uint32_t burst)
{
    customer who;
    who.id = customer_id{"shop"};
    who.requests_per_second = rate;
    who.burst = burst;
    who.concurrency = 1'000'000;
    return who;
}

/// Entries that exchange shares; links between parted entries lose all.
class exchange_fixture
{
public:
    explicit exchange_fixture(std::size_t n)
        : island_(n, 0)
    {
        for (std::size_t it = 0; it < n; ++it)
            names_.emplace_back("entry-" + std::to_string(it));
        for (process_name const& it : names_)
            exchanges_.emplace_back(it, names_);
        controllers_.resize(n);
    }

    /// Offers requests at each entry and returns how many were admitted.
    std::size_t
    run(customer const& who, std::vector<double> const& offered, duration span)
    {
        std::size_t admitted = 0;
        for (duration at{}; at < span; at += step)
        {
            now_ += step;
            for (std::size_t n = 0; n < names_.size(); ++n)
                admitted += offer(who, n, offered[n]);
            for (std::size_t n = 0; n < names_.size(); ++n)
                deliver(n, exchanges_[n].on_tick(now_));
        }
        return admitted;
    }

    void part(std::vector<int> islands) { island_ = std::move(islands); }

private:
    std::size_t offer(customer const& who, std::size_t n, double rate)
    {
        std::size_t admitted = 0;
        owed_.resize(names_.size());
        owed_[n] += rate * std::chrono::duration<double>(step).count();
        for (; owed_[n] >= 1; owed_[n] -= 1)
        {
            exchanges_[n].on_request(who.id, now_);
            bool const passed = controllers_[n]
                                    .admit(
                                        who,
                                        exchanges_[n].share(who.id, now_),
                                        exchanges_[n].even_share(),
                                        now_)
                                    .has_value();
            admitted += passed ? 1 : 0;
            if (passed)
                controllers_[n].release(who.id, std::nullopt);
        }
        return admitted;
    }

    void deliver(std::size_t from, std::vector<share_send> const& messages)
    {
        for (std::size_t n = 0; n < names_.size(); ++n)
        {
            if (n != from && island_[n] == island_[from])
                exchanges_[n].on_heard(names_[from], now_);
        }
        for (share_send const& it : messages)
        {
            std::size_t const to = static_cast<std::size_t>(
                std::find(names_.begin(), names_.end(), it.to) -
                names_.begin());
            if (island_[to] == island_[from])
                deliver(
                    to,
                    exchanges_[to].on_message(names_[from], it.message, now_));
        }
    }

    std::vector<process_name> names_;
    std::vector<share_exchange> exchanges_;
    std::vector<admission_controller> controllers_;
    std::vector<int> island_;
    std::vector<double> owed_;
    time_point now_{std::chrono::seconds{1}};
};

/// Most that all entries together may admit, as docs/design/admission.md says.
double bound(customer const& who, duration span)
{
    double const window =
        std::chrono::duration<double>(
            span + share_exchange::validity + share_exchange::report_interval)
            .count();
    return who.requests_per_second * window + 2.0 * who.burst;
}

} // namespace

TEST_CASE("a customer's limit holds over all entries")
{
    struct row
    {
        std::vector<double> offered;
        std::vector<int> islands;
        double least_use;
    };
    std::vector<row> const rows{
        {{400, 0, 0, 0}, {0, 0, 0, 0}, 0.8},
        {{100, 100, 100, 100}, {0, 0, 0, 0}, 0.9},
        {{300, 50, 25, 25}, {0, 0, 0, 0}, 0.9},
        {{400, 400, 400, 400}, {0, 0, 1, 1}, 0.9},
        {{400, 0, 0, 400}, {0, 0, 1, 1}, 0.8},
        {{400, 400, 400, 400}, {0, 1, 2, 3}, 0.9},
        {{400, 0, 0, 0}, {0, 1, 1, 1}, 0.2},
    };
    customer const who = make_customer(100, 20);
    duration const span = std::chrono::seconds{60};
    for (row const& it : rows)
    {
        exchange_fixture entries{4};
        static_cast<void>(
            entries.run(who, it.offered, std::chrono::seconds{5}));
        entries.part(it.islands);
        double const admitted =
            static_cast<double>(entries.run(who, it.offered, span));
        CHECK(admitted <= bound(who, span));
        CHECK(admitted >= it.least_use * who.requests_per_second * 60);
    }
}

TEST_CASE("the limit's bound holds while entries part and meet at random")
{
    rc::prop(
        "admitted requests stay below the bound",
        [](std::uint32_t seed)
        {
            random_source random{seed};
            customer const who = make_customer(200, 10);
            exchange_fixture entries{5};
            duration total{};
            double admitted = 0;
            for (int round = 0; round < 8; ++round)
            {
                std::vector<double> offered;
                std::vector<int> islands;
                for (int n = 0; n < 5; ++n)
                {
                    offered.push_back(static_cast<double>(random.below(300)));
                    islands.push_back(static_cast<int>(random.below(3)));
                }
                entries.part(islands);
                duration const span =
                    std::chrono::milliseconds{500 + random.below(4000)};
                admitted +=
                    static_cast<double>(entries.run(who, offered, span));
                total += span;
            }
            // Each change of the partition may cost one exchange.
            double const changes =
                8 * who.requests_per_second *
                std::chrono::duration<double>(
                    share_exchange::validity + share_exchange::report_interval)
                    .count();
            RC_ASSERT(admitted <= bound(who, total) + changes);
        });
}
