#pragma once

/// \file
/// \brief Strategies for claiming keys before execution, in virtual time.
/// \remarks "per_key" and "grouped" run the claim ledger itself; "slot_owner"
/// and "owner_memory" are models of designs that were not implemented.

#include <hornbeamweir/core/overloaded.hpp>
#include <hornbeamweir/idempotency/claim_ledger.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace bench
{

using namespace hornbeamweir;

inline constexpr std::size_t entry_count = 3;
inline constexpr double platform_writes_per_s = 300;
inline constexpr duration platform_latency = std::chrono::milliseconds{3};
inline constexpr duration platform_timeout = std::chrono::seconds{1};
inline constexpr duration network_latency = std::chrono::milliseconds{1};
/// Interval at which entries tick, and owners of keys write their batch.
inline constexpr duration tick_interval = std::chrono::milliseconds{20};
/// Time from the crash of an entry that owns keys until they are served again.
inline constexpr duration owner_lease_duration = std::chrono::seconds{3};
/// Duration of the simulated platform outage.
inline constexpr duration outage_duration = std::chrono::seconds{2};
/// Maximum number of claims in one transaction of "grouped".
inline constexpr std::size_t max_claims_per_commit = 64;

template <typename T>
using reply_handler = std::function<void(T)>;

/// \brief Runs tasks in virtual time, in the order of their due times.
class event_loop
{
public:
    void at(time_point when, std::function<void()> task)
    {
        tasks_.emplace(when, std::move(task));
    }

    void run_until(time_point end)
    {
        while (!tasks_.empty() && tasks_.begin()->first <= end)
        {
            auto const first = tasks_.begin();
            now_ = first->first;
            std::function<void()> const task = std::move(first->second);
            tasks_.erase(first);
            task();
        }
    }

    [[nodiscard]] time_point now() const noexcept { return now_; }

private:
    time_point now_{};
    std::multimap<time_point, std::function<void()>> tasks_;
};

/// \brief Model of a platform that processes writes one at a time at a limited
/// rate.
class rate_limited_platform
{
public:
    explicit rate_limited_platform(event_loop& loop) noexcept
        : loop_{loop}
    {
    }

    /// \brief Performs a write.
    /// \param done Receives the error's code, or ok.
    void write(reply_handler<result_code> done)
    {
        ++calls_;
        time_point const now = loop_.now();
        if (now >= outage_start_ && now < outage_start_ + outage_duration)
        {
            loop_.at(
                now + network_latency,
                [done = std::move(done)]
                { done(result_code::platform_unavailable); });
            return;
        }
        duration const write_duration{
            static_cast<duration::rep>(1e6 / platform_writes_per_s)};
        free_at_ = std::max(free_at_, now) + write_duration;
        time_point const answered = free_at_ + platform_latency;
        bool const timed_out = answered > now + platform_timeout;
        loop_.at(
            timed_out ? now + platform_timeout : answered,
            [done = std::move(done), timed_out] {
                done(
                    timed_out ? result_code::platform_outcome_unknown
                              : result_code::ok);
            });
    }

    void start_outage(time_point from) noexcept { outage_start_ = from; }
    [[nodiscard]] std::uint64_t calls() const noexcept { return calls_; }

private:
    event_loop& loop_;
    time_point free_at_{};
    time_point outage_start_ = time_point::max() - outage_duration;
    std::uint64_t calls_ = 0;
};

/// \brief A strategy for claiming keys.
class claim_strategy
{
public:
    claim_strategy() = default;
    claim_strategy(claim_strategy const&) = delete;
    claim_strategy& operator=(claim_strategy const&) = delete;
    virtual ~claim_strategy() = default;

    /// \param done Receives whether the key was claimed.
    virtual void
    claim(std::size_t entry, std::string key, reply_handler<bool> done) = 0;
    /// \brief Crashes the first entry.
    virtual void crash_first_entry() = 0;
    /// \brief Number of keys for which it is unknown after the fault whether
    /// they were executed.
    [[nodiscard]] virtual std::size_t unsettled() const { return 0; }
};

/// \brief Runs a claim ledger in each entry.
class ledger_strategy final : public claim_strategy
{
public:
    ledger_strategy(
        event_loop& loop, rate_limited_platform& platform, ledger_limits limits)
        : loop_{loop}
        , platform_{platform}
    {
        for (std::size_t n = 0; n < entry_count; ++n)
        {
            ledgers_.emplace_back(limits);
            tick(n);
        }
    }

    void
    claim(std::size_t entry, std::string key, reply_handler<bool> done) override
    {
        waiting_.emplace(key, std::move(done));
        claim_request request;
        request.id = request_id{key};
        request.claim = std::move(key);
        perform(entry, ledgers_[entry].begin(request, loop_.now()));
    }

    // Nothing to do: pending claims have not reached an agent, and their
    // callers are lost with the entry.
    void crash_first_entry() override {}

private:
    void tick(std::size_t entry)
    {
        loop_.at(
            loop_.now() + tick_interval,
            [this, entry]
            {
                perform(entry, ledgers_[entry].on_tick(loop_.now()));
                tick(entry);
            });
    }

    void perform(std::size_t entry, ledger_actions const& actions)
    {
        for (ledger_action const& action : actions)
        {
            std::visit(
                overloaded{
                    [&](ledger_commit const& it) { commit(entry, it); },
                    [&](ledger_lease const&)
                    {
                        platform_.write([this, entry](result_code code)
                                        { on_lease(entry, code); });
                    },
                    [&](ledger_decision const& it)
                    {
                        auto const found = waiting_.find(it.claim);
                        reply_handler<bool> const done =
                            std::move(found->second);
                        waiting_.erase(found);
                        done(it.outcome.verdict == claim_verdict::granted);
                    }},
                action);
        }
    }

    void commit(std::size_t entry, ledger_commit const& action)
    {
        platform_.write(
            [this, entry, token = action.token](result_code code)
            {
                result<transaction_reply> reply{transaction_reply{true, 1, {}}};
                if (code != result_code::ok)
                    reply = failure(code, "");
                perform(
                    entry,
                    ledgers_[entry].on_commit(token, reply, loop_.now()));
            });
    }

    void on_lease(std::size_t entry, result_code code)
    {
        result<std::int64_t> lease{std::int64_t{1}};
        if (code != result_code::ok)
            lease = failure(code, "");
        perform(entry, ledgers_[entry].on_lease(lease, loop_.now()));
    }

    event_loop& loop_;
    rate_limited_platform& platform_;
    std::vector<claim_ledger> ledgers_;
    std::map<std::string, reply_handler<bool>> waiting_;
};

/// \brief Model: each entry owns a third of the key space and writes the claims
/// of its keys in one batch per interval; other entries forward claims to it.
/// When an owner crashes, its keys are not served until its lease expires.
class slot_owner_strategy final : public claim_strategy
{
public:
    slot_owner_strategy(event_loop& loop, rate_limited_platform& platform)
        : loop_{loop}
        , platform_{platform}
    {
        for (std::size_t n = 0; n < entry_count; ++n)
            tick(n);
    }

    void
    claim(std::size_t entry, std::string key, reply_handler<bool> done) override
    {
        std::size_t const owner = std::hash<std::string>{}(key) % entry_count;
        duration const hop = owner == entry ? duration{} : network_latency;
        loop_.at(
            loop_.now() + hop,
            [this, owner, hop, done = std::move(done)]
            {
                if (owner == 0 && loop_.now() < first_entry_available_from_)
                {
                    done(false);
                    return;
                }
                pending_[owner].push_back(
                    [this, hop, done](bool claimed) {
                        loop_.at(
                            loop_.now() + hop,
                            [done, claimed] { done(claimed); });
                    });
            });
    }

    void crash_first_entry() override
    {
        first_entry_available_from_ = loop_.now() + owner_lease_duration;
        std::vector<reply_handler<bool>> const lost =
            std::exchange(pending_[0], {});
        for (reply_handler<bool> const& done : lost)
            done(false);
    }

private:
    void tick(std::size_t owner)
    {
        loop_.at(
            loop_.now() + tick_interval,
            [this, owner]
            {
                flush(owner);
                tick(owner);
            });
    }

    void flush(std::size_t owner)
    {
        if (pending_[owner].empty())
            return;
        std::vector<reply_handler<bool>> const group =
            std::exchange(pending_[owner], {});
        platform_.write(
            [group](result_code code)
            {
                for (reply_handler<bool> const& done : group)
                    done(code == result_code::ok);
            });
    }

    event_loop& loop_;
    rate_limited_platform& platform_;
    /// Claims that wait for the next write, by owner.
    std::array<std::vector<reply_handler<bool>>, entry_count> pending_;
    /// When the first entry's keys are served again.
    time_point first_entry_available_from_{};
};

/// \brief Model: like slot_owner_strategy, but claims are kept only in the
/// owner's memory. After the owner crashes, any of its keys may have been
/// executed.
class owner_memory_strategy final : public claim_strategy
{
public:
    explicit owner_memory_strategy(event_loop& loop) noexcept
        : loop_{loop}
    {
    }

    void
    claim(std::size_t entry, std::string key, reply_handler<bool> done) override
    {
        std::size_t const owner = std::hash<std::string>{}(key) % entry_count;
        duration const hop = owner == entry ? duration{} : 2 * network_latency;
        bool const lost = owner == 0 && crashed_;
        if (owner == 0)
            ++claims_in_memory_;
        loop_.at(
            loop_.now() + hop, [done = std::move(done), lost] { done(!lost); });
    }

    void crash_first_entry() override
    {
        crashed_ = true;
        unsettled_ = claims_in_memory_;
    }
    [[nodiscard]] std::size_t unsettled() const override { return unsettled_; }

private:
    event_loop& loop_;
    bool crashed_ = false;
    /// Number of claims in the first entry's memory.
    std::size_t claims_in_memory_ = 0;
    std::size_t unsettled_ = 0;
};

using strategy_factory = std::function<std::unique_ptr<claim_strategy>(
    event_loop&, rate_limited_platform&)>;

struct named_strategy
{
    char const* name;
    strategy_factory make;
};

inline std::vector<named_strategy> strategies()
{
    ledger_limits per_key;
    per_key.commit_interval = {};
    per_key.max_in_flight = 100'000;
    per_key.max_operations = 1;
    ledger_limits grouped;
    grouped.max_operations = max_claims_per_commit;
    return {
        {"per_key",
         [per_key](event_loop& loop, rate_limited_platform& platform) {
             return std::make_unique<ledger_strategy>(loop, platform, per_key);
         }},
        {"grouped",
         [grouped](event_loop& loop, rate_limited_platform& platform) {
             return std::make_unique<ledger_strategy>(loop, platform, grouped);
         }},
        {"slot_owner",
         [](event_loop& loop, rate_limited_platform& platform)
         { return std::make_unique<slot_owner_strategy>(loop, platform); }},
        {"owner_memory", [](event_loop& loop, rate_limited_platform&) {
             return std::make_unique<owner_memory_strategy>(loop);
         }}};
}

} // namespace bench
