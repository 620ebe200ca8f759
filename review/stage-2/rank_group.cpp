#include "rank_group.hpp"

#include <algorithm>

namespace stage
{

namespace
{

constexpr int done = 200;
constexpr int begun = 202;
constexpr int unknown = 400;
constexpr int conflict = 409;
constexpr int fenced = 412;

std::int64_t number(boost::json::object const& in, char const* name)
{
    boost::json::value const* const it = in.if_contains(name);
    return it ? it->to_number<std::int64_t>() : 0;
}

std::string to_text(std::size_t n)
{
    return std::to_string(n);
}

} // namespace

rank_group::rank_group(
    std::string name,
    std::vector<std::string> const& ips,
    record& log,
    unsigned seed)
    : name_{std::move(name)}
    , log_{log}
    , random_{seed}
    , born_{std::chrono::duration_cast<milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count()}
    , states_(ranks)
{
    // Map 0 assigns experts in turn.
    expert_map initial(ranks);
    for (std::size_t n = 0; n < experts; ++n)
        initial[n % ranks].push_back(static_cast<int>(n));
    for (rank_state& it : states_)
        it.maps[0] = initial;
    for (std::size_t n = 0; n < ranks; ++n)
        servers_.push_back(std::make_unique<server>(
            ips[n], [this, n](connection& caller) { serve(n, caller); }));
}

std::string rank_group::registration(std::size_t rank) const
{
    return boost::json::serialize(boost::json::object{
        {"service", name_},
        {"address", address(rank)},
        {"zone", "a"},
        {"version", "v1"},
        {"slots", 12},
        {"state", "ready"},
        {"coldRemainingMs", 0},
        {"sequence", 1}});
}

boost::json::object rank_group::engine()
{
    return {
        {"slots", 12},
        {"stride", 4},
        {"step_ms", 4.55},
        {"per_seq_ms", 0.905},
        {"read_per_s", 61'400},
        {"usual", {{"prompt", 835}, {"answer", 97}}},
        {"sets", 1},
        {"experts", experts},
        {"placements", places},
        {"spare", spare},
        {"expertMb", 2200},
        {"linkMbps", 180'000},
        {"expertShare", 0.85},
        {"form_ms", 600}};
}

void rank_group::set_disruption(disruption next)
{
    std::lock_guard const lock{mutex_};
    disruption_ = next;
    note(
        next.late_share > 0 || next.sends_extra_answers
            ? "orders are unanswered and carried out late, and the rank that "
              "holds passes sends extra answers"
            : "the ranks are sound again");
}

void rank_group::shift_demand()
{
    std::lock_guard const lock{mutex_};
    hot_ += 1 + random_() % 5;
}

std::size_t rank_group::mixed_passes()
{
    std::lock_guard const lock{mutex_};
    return mixed_;
}

std::size_t rank_group::switches()
{
    std::lock_guard const lock{mutex_};
    return switches_;
}

void rank_group::write_totals()
{
    std::lock_guard const lock{mutex_};
    for (std::size_t n = 0; n < ranks; ++n)
    {
        note(
            "rank " + to_text(n) + " sent " + to_text(states_[n].answers) +
            " answers and " + to_text(states_[n].extra_answers) +
            " extra copies");
    }
    note(
        to_text(unanswered_) +
        " orders got no answer; passes: " + std::to_string(step_) +
        ", changes of the map by a rank: " + to_text(switches_) +
        ", passes with different maps: " + to_text(mixed_));
}

void rank_group::serve(std::size_t rank, connection& caller)
{
    constexpr milliseconds idle_limit{60'000};
    std::string extra;
    while (std::optional<message> const request = caller.read(idle_limit))
    {
        bool const is_order = request->target() == "/hornbeamweir/order";
        std::optional<int> status = done;
        boost::json::object body;
        {
            std::lock_guard const lock{mutex_};
            if (!extra.empty())
            {
                ++states_[rank].extra_answers;
                note(
                    "rank " + to_text(rank) +
                    " sends its last answer again as the next response is "
                    "expected: to " +
                    request->target() + ' ' + request->body.substr(0, 60));
                caller.write(std::exchange(extra, {}));
            }
            if (is_order)
                status = receive(
                    rank, boost::json::parse(request->body).as_object());
            else
                body = answer(rank, request->target());
        }
        // The connection returns nothing further.
        if (!status)
        {
            static_cast<void>(caller.read(idle_limit));
            return;
        }
        std::string const text = boost::json::serialize(body);
        std::string const bytes =
            "HTTP/1.1 " + std::to_string(*status) +
            " X\r\nContent-Type: application/json\r\nContent-Length: " +
            std::to_string(text.size()) + "\r\n\r\n" + text;
        {
            std::lock_guard const lock{mutex_};
            ++states_[rank].answers;
            if (is_order && disruption_.sends_extra_answers &&
                holding_rank_ == rank)
                extra = bytes;
        }
        caller.write(bytes);
    }
}

boost::json::object
rank_group::answer(std::size_t rank, std::string const& target)
{
    rank_state const& it = states_[rank];
    if (target == "/hornbeamweir/report")
        return report(rank);
    if (target == "/hornbeamweir/picked")
    {
        return {
            {"born", born_},
            {"step", step_},
            {"epoch", 1},
            {"counts", boost::json::value_from(it.counts)}};
    }
    boost::json::object out;
    for (auto const& [name, version] :
         {std::pair{"mapping", it.map_version},
          std::pair{"preloaded", it.prepared_version}})
    {
        boost::json::array sets;
        sets.push_back(boost::json::value_from(it.maps.at(version)[rank]));
        out[name] =
            boost::json::object{{"version", version}, {"experts", sets}};
    }
    return out;
}

boost::json::object rank_group::report(std::size_t rank) const
{
    rank_state const& it = states_[rank];
    boost::json::object out{
        {"born", born_},
        {"stage", "unified"},
        {"busy", false},
        {"sequence", it.orders},
        {"queued", 1},
        {"active", 2},
        {"step", step_},
        {"size", ranks},
        {"pace", 1.0},
        {"mapping", it.map_version},
        {"preloaded", it.prepared_version}};
    out["group"] = boost::json::object{
        {"name", name_}, {"epoch", 1}, {"rank", rank}, {"state", "open"}};
    if (it.armed)
        out["enabled"] = boost::json::object{
            {"version", it.armed->version}, {"step", it.armed->step}};
    if (it.held)
        out["held"] = *it.held;
    return out;
}

std::optional<int>
rank_group::receive(std::size_t rank, boost::json::object const& order)
{
    std::string const text = "rank " + to_text(rank) + ": " +
                             std::string{order.at("operation").as_string()} +
                             " version " +
                             std::to_string(number(order, "version")) +
                             " step " + std::to_string(number(order, "step"));
    if (order.at("operation").as_string() == "retention")
        holding_rank_ = rank;
    if (std::uniform_real_distribution<>{}(random_) < disruption_.late_share)
    {
        ++unanswered_;
        milliseconds const delay{2000 + random_() % 10'000};
        late_.push_back(
            {std::chrono::steady_clock::now() + delay, rank, order});
        note(
            text + " gets no answer, carried out after " +
            std::to_string(delay.count()) + " ms");
        return std::nullopt;
    }
    int const status = execute(rank, order);
    note(text + ": " + std::to_string(status));
    return status;
}

int rank_group::execute(std::size_t rank, boost::json::object const& order)
{
    struct operation
    {
        std::string_view name;
        order_handler handle;
    };
    static constexpr std::array<operation, 5> operations{
        {{"prepare", &rank_group::prepare},
         {"arm", &rank_group::arm},
         {"disarm", &rank_group::disarm},
         {"retention", &rank_group::hold},
         {"go", &rank_group::release}}};
    rank_state& it = states_[rank];
    if (order.contains("epoch") && number(order, "epoch") != 1)
        return conflict;
    std::int64_t const fence = number(order, "fencingToken");
    if (order.contains("fencingToken") && fence < it.fence)
        return fenced;
    it.fence = std::max(it.fence, fence);
    if (order.contains("precondition") &&
        number(order, "precondition") != it.orders)
        return conflict;
    for (operation const& row : operations)
    {
        if (std::string_view{order.at("operation").as_string()} != row.name)
            continue;
        int const status = (this->*row.handle)(it, order);
        it.orders += status == begun ? 1 : 0;
        return status;
    }
    return unknown;
}

int rank_group::prepare(rank_state& it, boost::json::object const& order)
{
    constexpr milliseconds copy_time{300};
    std::int64_t const version = number(order, "version");
    if (version == it.prepared_version || version == it.copying)
        return done;
    bool const is_armed = it.armed && it.armed->version != it.map_version;
    if (version <= it.newest_version || is_armed)
        return conflict;
    auto const next =
        boost::json::value_to<std::vector<expert_map>>(order.at("mapping"));
    expert_map const& in_force = it.maps.at(it.map_version);
    for (std::size_t n = 0; n < ranks; ++n)
    {
        auto const added = std::count_if(
            next[0][n].begin(),
            next[0][n].end(),
            [&](int expert)
            {
                return std::find(
                           in_force[n].begin(), in_force[n].end(), expert) ==
                       in_force[n].end();
            });
        if (next[0][n].size() > places ||
            static_cast<std::size_t>(added) > spare)
            return conflict;
    }
    it.newest_version = version;
    it.copying = version;
    it.copied_at = std::chrono::steady_clock::now() + copy_time;
    it.maps[version] = next[0];
    return begun;
}

int rank_group::arm(rank_state& it, boost::json::object const& order)
{
    std::int64_t const version = number(order, "version");
    std::int64_t const step = number(order, "step");
    if (it.armed && it.armed->version == version && it.armed->step == step)
        return done;
    if (it.prepared_version != version || step_ >= step)
        return conflict;
    it.armed = {version, step};
    return begun;
}

int rank_group::disarm(rank_state& it, boost::json::object const& order)
{
    std::int64_t const version = number(order, "version");
    if (version == it.map_version)
        return conflict;
    if (!it.armed || it.armed->version != version)
        return done;
    it.armed.reset();
    return begun;
}

int rank_group::hold(rank_state& it, boost::json::object const& order)
{
    std::int64_t const step = number(order, "step");
    if (it.held == step)
        return done;
    if (it.held || step_ >= step)
        return conflict;
    it.held = step;
    return begun;
}

int rank_group::release(rank_state& it, boost::json::object const& order)
{
    if (it.held != number(order, "step"))
        return done;
    it.held.reset();
    return begun;
}

void rank_group::begin_pass()
{
    std::lock_guard const lock{mutex_};
    time_point const now = std::chrono::steady_clock::now();
    for (late_order const& it : late_)
    {
        if (it.at <= now)
            static_cast<void>(execute(it.rank, it.order));
    }
    std::erase_if(late_, [&](late_order const& it) { return it.at <= now; });
    for (rank_state& it : states_)
    {
        if (it.copying && now >= it.copied_at)
            it.prepared_version = *std::exchange(it.copying, std::nullopt);
    }
    bool const held = std::any_of(
        states_.begin(),
        states_.end(),
        [this](rank_state const& it) { return it.held == step_ + 1; });
    if (held)
        return;
    ++step_;
    for (rank_state& it : states_)
    {
        if (!it.armed || it.armed->step != step_)
            continue;
        it.map_version = it.armed->version;
        ++switches_;
    }
    check_maps();
    count_choices();
}

void rank_group::check_maps()
{
    bool const same = std::all_of(
        states_.begin(),
        states_.end(),
        [this](rank_state const& it)
        {
            return it.map_version == states_[0].map_version &&
                   it.maps.at(it.map_version) ==
                       states_[0].maps.at(states_[0].map_version);
        });
    if (same)
        return;
    ++mixed_;
    if (mixed_ > 1)
        return;
    std::string versions;
    for (rank_state const& it : states_)
        versions += ' ' + std::to_string(it.map_version);
    note(
        "pass " + std::to_string(step_) +
        " begins with different maps; versions by rank:" + versions);
}

void rank_group::count_choices()
{
    constexpr std::int64_t usual = 20;
    constexpr std::int64_t in_demand = 400;
    for (rank_state& it : states_)
    {
        for (std::size_t n = 0; n < experts; ++n)
        {
            bool const is_hot =
                n == hot_ % experts || n == (hot_ + ranks) % experts;
            it.counts[n] += is_hot ? in_demand : usual;
        }
    }
}

} // namespace stage
