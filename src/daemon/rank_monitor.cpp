#include "rank_monitor.hpp"

namespace hornbeamweir
{

namespace
{

using std::chrono::milliseconds;

/// A pass takes 40 to 100 ms; more reports tell nothing new.
constexpr duration state_interval = milliseconds{60};
/// A change of map waits for each rank's next report.
constexpr duration change_state_interval = milliseconds{20};
constexpr duration choices_interval = milliseconds{100};
/// Choices of a longer time say little of the demand of the moment.
constexpr duration longest_choices = milliseconds{500};
/// Bytes of choices that a coordinator gets in that time, less than a third
/// of a link of 8 Mbit/s. Where all ranks have more to tell, some tell theirs.
constexpr std::size_t choices_budget = std::size_t{30} * 1000;
/// Most numbers are below 128; some take a second byte.
constexpr double bytes_per_choice = 1.2;
/// The longest pass of a working group takes some hundred milliseconds.
constexpr duration stall_limit = milliseconds{900};
constexpr duration load_log_interval = std::chrono::seconds{1};

} // namespace

rank_monitor::rank_monitor(
    rank_client& client,
    event_log& log,
    clock_function clock,
    std::string address,
    std::string service,
    std::function<void(rank_state const&)> changed)
    : client_{client}
    , log_{log}
    , clock_{clock}
    , address_{std::move(address)}
    , service_{std::move(service)}
    , changed_{std::move(changed)}
{
}

void rank_monitor::on_tick(bool choices)
{
    time_point const now = clock_();
    duration const interval =
        changes_map() ? change_state_interval : state_interval;
    if (now - state_at_ >= interval && !reading_state_)
        read_state();
    if (choices && tells_choices() && now - choices_at_ >= choices_interval)
        read_choices();
}

bool rank_monitor::tells_choices() const
{
    if (!known_ || !choices_)
        return known_.has_value();
    double const bytes = bytes_per_choice * known_->ranks *
                         static_cast<double>(choices_->counts.size());
    std::uint32_t const every =
        1 + static_cast<std::uint32_t>(bytes / choices_budget);
    return known_->rank % every == 0;
}

// Engines go on naming the last map that a rank was armed for.
bool rank_monitor::changes_map() const
{
    return known_ &&
           (known_->armed_version > known_->map_version || known_->held_step ||
            known_->prepared_version < accepted_version_);
}

bool rank_monitor::knows_experts(rank_state const& state) const
{
    return experts_ && experts_epoch_ == state.epoch &&
           experts_version_ == state.map_version;
}

void rank_monitor::read_state()
{
    state_at_ = clock_();
    reading_state_ = true;
    client_.read_report(
        address_,
        [this](result<rank_state> const& state)
        {
            reading_state_ = false;
            on_state(state);
        });
}

void rank_monitor::read_now(std::function<void(rank_state const&)> done)
{
    client_.read_report(
        address_,
        [this, done](result<rank_state> const& state)
        {
            if (!state)
                return;
            known_ = *state;
            done(*state);
        });
}

void rank_monitor::on_state(result<rank_state> const& state)
{
    if (!state)
    {
        if (known_)
        {
            event line{"dependency_lost"};
            line.with("dependency", "rank")
                .with("reason", state.error().message);
            log_.warning(line);
        }
        known_.reset();
        return;
    }
    if (!known_)
    {
        event line{"dependency_regained"};
        line.with("dependency", "rank")
            .with("group", state->group)
            .with("epoch", state->epoch)
            .with("rank", state->rank);
        log_.info(line);
    }
    known_ = *state;
    if (!knows_experts(*state) && !reading_experts_)
        read_experts();
    note_passes(*state);
    changed_(*state);
}

// A rank with work that begins no pass can serve nobody for the moment.
void rank_monitor::note_passes(rank_state const& state)
{
    time_point const now = clock_();
    if (state.step != last_step_ || state.active + state.queued == 0)
        stepped_at_ = now;
    last_step_ = state.step;
    if (now - load_logged_ >= load_log_interval)
    {
        load_logged_ = now;
        event line{"rank_load"};
        line.with("step", state.step)
            .with("active", state.active)
            .with("queued", state.queued)
            .with("pace", state.slowdown)
            .with("version", state.map_version);
        log_.info(line);
    }
    bool const stalled = now - stepped_at_ > stall_limit;
    if (stalled != stalled_)
    {
        event line{stalled ? "rank_stalled" : "rank_resumed"};
        line.with("step", state.step)
            .with("active", state.active)
            .with("queued", state.queued);
        log_.warning(line);
    }
    stalled_ = stalled;
}

void rank_monitor::read_experts()
{
    reading_experts_ = true;
    rank_state const asked = *known_;
    client_.read_experts(
        address_,
        asked.rank,
        [this, asked](result<rank_experts> const& experts)
        {
            reading_experts_ = false;
            // A switch in between would mix two maps.
            bool const same = known_ &&
                              known_->map_version == asked.map_version &&
                              known_->epoch == asked.epoch;
            if (!experts || !same)
                return;
            experts_ = *experts;
            experts_epoch_ = asked.epoch;
            experts_version_ = asked.map_version;
        });
}

void rank_monitor::read_choices()
{
    choices_at_ = clock_();
    client_.read_counts(
        address_,
        [this](result<activation_counts> const& counts)
        {
            if (!counts || !known_)
                return;
            add_choices(*counts);
        });
}

// Numbers since the last report are small, where those since the rank's start
// grow over the day.
void rank_monitor::add_choices(activation_counts const& counts)
{
    time_point const now = clock_();
    std::size_t const size = counts.counts.size();
    bool const follows = choices_ && now - choices_taken_ <= longest_choices &&
                         choices_->epoch == counts.epoch &&
                         choices_->incarnation == counts.incarnation &&
                         choices_->counts.size() == size;
    if (follows)
    {
        new_choices_.resize(size, 0);
        for (std::size_t n = 0; n < size; ++n)
        {
            std::uint64_t const before = choices_->counts[n];
            new_choices_[n] += static_cast<std::uint32_t>(
                counts.counts[n] - std::min(before, counts.counts[n]));
        }
    }
    else
        new_choices_.clear();
    choices_ = counts;
    choices_taken_ = now;
}

wire::rank_report rank_monitor::report_of(rank_state const& state) const
{
    wire::rank_report out = to_wire(state);
    out.set_accepted_version(accepted_version_);
    out.set_address(address_);
    out.set_service(service_);
    return out;
}

wire::rank_report rank_monitor::detailed_report(rank_state const& state)
{
    wire::rank_report out = report_of(state);
    if (knows_experts(state))
        add_experts(*experts_, out);
    if (choices_ && choices_->epoch == state.epoch)
    {
        out.mutable_choices()->Assign(new_choices_.begin(), new_choices_.end());
        new_choices_.clear();
    }
    return out;
}

} // namespace hornbeamweir
