#include <hornbeamweir/peers/leadership.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <deque>
#include <tuple>

using namespace hornbeamweir;
using std::chrono::milliseconds;

namespace
{

time_point now{std::chrono::seconds{100}};

time_point test_clock() noexcept
{
    return now;
}

/// \brief A store that answers each call at the next tick. Leases do not
/// expire, as in the time in which a silent leader is to be replaced.
class lasting_store final : public platform
{
public:
    [[nodiscard]] std::uint64_t era() const noexcept override { return era_; }

    void read_prefix(std::string prefix, handler<range_reply> done) override
    {
        range_reply reply{{}, revision_, era_};
        for (auto const& [key, value] : values_)
        {
            if (key.starts_with(prefix))
                reply.values.emplace(key, value);
        }
        answer([reply, done] { done(reply); });
    }
    void read(std::string key, handler<range_reply> done) override
    {
        read_prefix(std::move(key), std::move(done));
    }
    void commit(transaction request, handler<transaction_reply> done) override
    {
        bool holds = true;
        for (key_condition const& it : request.conditions)
        {
            auto const found = values_.find(it.key);
            holds = holds &&
                    it.modify_revision == (found == values_.end()
                                               ? 0
                                               : found->second.modify_revision);
        }
        revision_ += holds ? 1 : 0;
        for (key_write const& it : request.writes)
        {
            if (holds)
                values_[it.key] = {*it.value, revision_, revision_};
        }
        transaction_reply const reply{holds, revision_, {}, era_};
        answer([reply, done] { done(reply); });
    }
    void grant_lease(duration, handler<std::int64_t> done) override
    {
        answer([done] { done(1); });
    }
    void keep_alive(std::int64_t, handler<duration> done) override
    {
        answer([done] { done(duration{1}); });
    }
    std::unique_ptr<watch_handle> watch_prefix(
        std::string,
        std::int64_t,
        std::function<void(std::vector<watch_event>)>,
        std::function<void(error)>) override
    {
        return nullptr;
    }
    /// Other processes write.
    void advance_revision(std::int64_t n) { revision_ += n; }
    void clear_copy() { copy_.first.clear(); }
    void save_copy() { copy_ = {values_, revision_}; }
    void return_to_copy()
    {
        std::tie(values_, revision_) = copy_;
        ++era_;
    }
    void deliver()
    {
        std::deque<std::function<void()>> const due = std::move(answers_);
        answers_.clear();
        for (std::function<void()> const& it : due)
            it();
    }

private:
    void answer(std::function<void()> action)
    {
        answers_.push_back(std::move(action));
    }

    std::map<std::string, stored_value> values_;
    std::int64_t revision_ = 1;
    std::uint64_t era_ = 1;
    std::pair<std::map<std::string, stored_value>, std::int64_t> copy_;
    std::deque<std::function<void()>> answers_;
};

struct candidates
{
    explicit candidates(bool fences_checked)
        : first{store, log, test_clock, random_source{1}, "a", fences_checked}
        , second{store, log, test_clock, random_source{2}, "b", fences_checked}
    {
        first.set_key("k");
        run(milliseconds{1000}, true);
        second.set_key("k");
    }

    void run(duration time, bool first_runs)
    {
        constexpr duration tick = milliseconds{10};
        for (time_point const end = now + time; now < end; now += tick)
        {
            store.deliver();
            if (first_runs)
                first.on_tick();
            second.on_tick();
            if (first_runs && first.is_leader())
                second.on_leader_alive(first.fence());
        }
    }

    lasting_store store;
    null_event_log log;
    leadership first;
    leadership second;
};

} // namespace

// A group stalled for 1.66 s until the lease of its suspended coordinator had
// expired.
TEST_CASE("a silent leader is replaced before its lease expires")
{
    candidates it{true};
    REQUIRE(it.first.is_leader());
    it.run(milliseconds{2000}, true);
    CHECK_FALSE(it.second.is_leader());
    it.run(milliseconds{800}, false);
    CHECK(it.second.is_leader());
    CHECK(it.second.fence() > it.first.fence());
    // The first one has been suspended, and resumes: it notices by itself.
    CHECK_FALSE(it.first.is_leader());
    it.first.on_leader_alive(it.second.fence());
    it.run(milliseconds{300}, true);
    CHECK_FALSE(it.first.is_leader());
    CHECK(it.second.is_leader());
}

// At the start of a fleet, candidates that did not know each other's addresses
// yet replaced one leader after the other.
TEST_CASE("a leader that was never heard is not replaced before its lease ends")
{
    candidates it{true};
    leadership newcomer{
        it.store, it.log, test_clock, random_source{3}, "c", true};
    newcomer.set_key("k");
    constexpr duration tick = milliseconds{10};
    for (int n = 0; n < 300; ++n, now += tick)
    {
        it.store.deliver();
        it.first.on_tick();
        newcomer.on_tick();
    }
    CHECK(it.first.is_leader());
    CHECK_FALSE(newcomer.is_leader());
}

TEST_CASE("without fence checks a leader is replaced when its lease expires")
{
    candidates it{false};
    REQUIRE(it.first.is_leader());
    it.run(milliseconds{5000}, false);
    CHECK_FALSE(it.second.is_leader());
}

// An agent that was suspended itself has not heard the leader for that reason.
TEST_CASE("a candidate that resumes does not replace a leader that is alive")
{
    candidates it{true};
    std::uint64_t const fence = it.first.fence();
    it.run(milliseconds{500}, true);
    for (int n = 0; n < 100; ++n, now += milliseconds{10})
    {
        it.store.deliver();
        it.first.on_tick();
    }
    it.run(milliseconds{1000}, true);
    CHECK(it.first.is_leader());
    CHECK(it.first.fence() == fence);
}

TEST_CASE("a leader that hears a newer one steps down")
{
    candidates it{true};
    it.first.on_leader_alive(it.first.fence() + 1);
    CHECK_FALSE(it.first.is_leader());
}

// Guards against fencing tokens that go back when the store is replaced by an
// older copy: ranks rejected the orders of the next coordinator, and a held
// pass stayed held, until the store's revisions had caught up.
TEST_CASE("fencing tokens rise after the store returned from a copy")
{
    struct row
    {
        char const* name;
        bool copy_has_key;
        bool first_runs;
    };
    constexpr std::array<row, 3> rows{
        {{"the copy has the key of the same leader", true, true},
         {"the copy has no key", false, true},
         {"the copy has no key, and the leader has ended", false, false}}};
    for (row const& row : rows)
    {
        CAPTURE(row.name);
        candidates it{true};
        REQUIRE(it.first.is_leader());
        it.store.save_copy();
        if (!row.copy_has_key)
            it.store.clear_copy();
        it.store.advance_revision(1000);
        it.first.step_down();
        it.run(milliseconds{1000}, true);
        REQUIRE(it.first.is_leader());
        std::uint64_t const before = it.first.fence();
        it.store.return_to_copy();
        it.run(milliseconds{3000}, row.first_runs);
        CHECK(it.first.is_leader() != it.second.is_leader());
        std::uint64_t const after =
            std::max(it.first.fence(), it.second.fence());
        CHECK(after > before);
        leadership const& leader = it.first.is_leader() ? it.first : it.second;
        CHECK(leader.fence() == after);
    }
}
