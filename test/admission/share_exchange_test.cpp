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
    customer shop;
    shop.id = customer_id{"shop"};
    shop.requests_per_second = rate;
    shop.burst = burst;
    shop.concurrency = 1'000'000;
    return shop;
}

/// Entries that exchange shares. Messages between partitions are lost.
class exchange_fixture
{
public:
    explicit exchange_fixture(std::size_t n)
        : partitions_(n, 0)
    {
        for (std::size_t it = 0; it < n; ++it)
            names_.emplace_back("entry-" + std::to_string(it));
        for (process_name const& it : names_)
            exchanges_.emplace_back(it, names_);
        controllers_.resize(n);
    }

    /// Sends requests to each entry at its rate.
    /// \returns Number of admitted requests.
    std::size_t
    run(customer const& shop, std::vector<double> const& rates, duration span)
    {
        std::size_t admitted = 0;
        for (duration at{}; at < span; at += step)
        {
            now_ += step;
            for (std::size_t n = 0; n < names_.size(); ++n)
                admitted += send_requests(shop, n, rates[n]);
            for (std::size_t n = 0; n < names_.size(); ++n)
                deliver(n, exchanges_[n].on_tick(now_));
        }
        return admitted;
    }

    void set_partitions(std::vector<int> partitions)
    {
        partitions_ = std::move(partitions);
    }

private:
    std::size_t send_requests(customer const& shop, std::size_t n, double rate)
    {
        std::size_t admitted = 0;
        unsent_.resize(names_.size());
        unsent_[n] += rate * std::chrono::duration<double>(step).count();
        for (; unsent_[n] >= 1; unsent_[n] -= 1)
        {
            exchanges_[n].on_request(shop.id, now_);
            bool const admitted_now =
                controllers_[n]
                    .admit(
                        shop,
                        exchanges_[n].share(shop.id, now_),
                        exchanges_[n].equal_share(),
                        now_)
                    .has_value();
            admitted += admitted_now ? 1 : 0;
            if (admitted_now)
                controllers_[n].release(shop.id, std::nullopt);
        }
        return admitted;
    }

    void deliver(
        std::size_t from, std::vector<outgoing_share_message> const& messages)
    {
        for (std::size_t n = 0; n < names_.size(); ++n)
        {
            if (n != from && partitions_[n] == partitions_[from])
                exchanges_[n].on_entry_alive(names_[from], now_);
        }
        for (outgoing_share_message const& it : messages)
        {
            std::size_t const to = static_cast<std::size_t>(
                std::find(names_.begin(), names_.end(), it.to) -
                names_.begin());
            if (partitions_[to] == partitions_[from])
                deliver(
                    to,
                    exchanges_[to].on_message(names_[from], it.message, now_));
        }
    }

    std::vector<process_name> names_;
    std::vector<share_exchange> exchanges_;
    std::vector<admission_controller> controllers_;
    /// Number of each entry's partition.
    std::vector<int> partitions_;
    /// Fractional number of requests due but not sent.
    std::vector<double> unsent_;
    time_point now_{std::chrono::seconds{1}};
};

/// Maximum number of requests that all entries together may admit, as specified
/// in docs/design/admission.md.
double max_admitted(customer const& shop, duration span)
{
    double const window =
        std::chrono::duration<double>(
            span + share_exchange::validity + share_exchange::report_interval)
            .count();
    return shop.requests_per_second * window + 2.0 * shop.burst;
}

} // namespace

TEST_CASE("a customer's limit holds across all entries")
{
    struct row
    {
        std::vector<double> rates;
        std::vector<int> partitions;
        double min_utilization;
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
    customer const shop = make_customer(100, 20);
    duration const span = std::chrono::seconds{60};
    for (row const& it : rows)
    {
        exchange_fixture entries{4};
        static_cast<void>(entries.run(shop, it.rates, std::chrono::seconds{5}));
        entries.set_partitions(it.partitions);
        double const admitted =
            static_cast<double>(entries.run(shop, it.rates, span));
        CHECK(admitted <= max_admitted(shop, span));
        CHECK(admitted >= it.min_utilization * shop.requests_per_second * 60);
    }
}

TEST_CASE("the bound on admitted requests holds under random partitions")
{
    rc::prop(
        "admitted requests stay below the bound",
        [](std::uint32_t seed)
        {
            random_source random{seed};
            customer const shop = make_customer(200, 10);
            exchange_fixture entries{5};
            duration total{};
            double admitted = 0;
            for (int round = 0; round < 8; ++round)
            {
                std::vector<double> rates;
                std::vector<int> partitions;
                for (int n = 0; n < 5; ++n)
                {
                    rates.push_back(static_cast<double>(random.below(300)));
                    partitions.push_back(static_cast<int>(random.below(3)));
                }
                entries.set_partitions(partitions);
                duration const span =
                    std::chrono::milliseconds{500 + random.below(4000)};
                admitted += static_cast<double>(entries.run(shop, rates, span));
                total += span;
            }
            // After each change, grants of the old partitions remain valid.
            double const slack =
                8 * shop.requests_per_second *
                std::chrono::duration<double>(
                    share_exchange::validity + share_exchange::report_interval)
                    .count();
            RC_ASSERT(admitted <= max_admitted(shop, total) + slack);
        });
}
