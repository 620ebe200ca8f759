#include "rank_monitor.hpp"

namespace hornbeamweir
{

namespace
{

using std::chrono::milliseconds;

/// A forward pass usually takes 40 to 100 ms; reading more often yields nothing
/// new.
constexpr duration state_interval = milliseconds{60};
/// A map change waits for the next report of each rank.
constexpr duration map_change_state_interval = milliseconds{20};
constexpr duration activations_interval = milliseconds{100};
/// Expert activations counted over a longer time do not represent the current
/// demand.
constexpr duration max_activations_period = milliseconds{500};
/// Bytes of activation counts that a coordinator receives per
/// activations_interval: less than a third of a link of 8 Mbit/s. If the counts
/// of all ranks would exceed it, only some ranks report theirs.
constexpr std::size_t activations_byte_budget = std::size_t{30} * 1000;
/// Varint encoding: most counts are below 128, some take a second byte.
constexpr double bytes_per_count = 1.2;
/// Time without a new forward pass after which a rank with requests is stalled.
/// The longest pass of a healthy group takes a few hundred milliseconds.
constexpr duration stall_limit = milliseconds{900};
constexpr duration load_log_interval = std::chrono::seconds{1};

} // namespace

rank_monitor::rank_monitor(
    rank_client& client,
    event_log& log,
    clock_function clock,
    std::string address,
    std::string service,
    std::function<void(rank_state const&)> state_handler)
    : client_{client}
    , log_{log}
    , clock_{clock}
    , address_{std::move(address)}
    , service_{std::move(service)}
    , state_handler_{std::move(state_handler)}
{
}

void rank_monitor::on_tick(bool with_activations)
{
    time_point const now = clock_();
    duration const interval =
        is_changing_map() ? map_change_state_interval : state_interval;
    if (now - state_requested_at_ >= interval && !reading_state_)
        read_state();
    if (with_activations && reports_activations() &&
        now - activations_requested_at_ >= activations_interval)
        read_activations();
}

bool rank_monitor::reports_activations() const
{
    if (!state_ || !activations_)
        return state_.has_value();
    double const bytes = bytes_per_count * state_->ranks *
                         static_cast<double>(activations_->counts.size());
    std::uint32_t const reporting_stride =
        1 + static_cast<std::uint32_t>(bytes / activations_byte_budget);
    return state_->rank % reporting_stride == 0;
}

// Engines keep reporting the last armed version after a switch, so only an
// armed version above the one in force means that a change is in progress.
bool rank_monitor::is_changing_map() const
{
    return state_ &&
           (state_->armed_version > state_->map_version || state_->held_step ||
            state_->prepared_version < accepted_version_);
}

bool rank_monitor::knows_experts(rank_state const& state) const
{
    return experts_ && experts_epoch_ == state.epoch &&
           experts_version_ == state.map_version;
}

void rank_monitor::read_state()
{
    state_requested_at_ = clock_();
    reading_state_ = true;
    client_.read_state(
        address_,
        [this](result<rank_state> const& state)
        {
            reading_state_ = false;
            on_state(state);
        });
}

void rank_monitor::read_now(std::function<void(rank_state const&)> done)
{
    client_.read_state(
        address_,
        [this, done](result<rank_state> const& state)
        {
            if (!state)
                return;
            state_ = *state;
            done(*state);
        });
}

void rank_monitor::on_state(result<rank_state> const& state)
{
    if (!state)
    {
        if (state_)
        {
            event line{"dependency_lost"};
            line.with("dependency", "rank")
                .with("reason", state.error().message);
            log_.warning(line);
        }
        state_.reset();
        return;
    }
    if (!state_)
    {
        event line{"dependency_regained"};
        line.with("dependency", "rank")
            .with("group", state->group)
            .with("epoch", state->epoch)
            .with("rank", state->rank);
        log_.info(line);
    }
    state_ = *state;
    if (!knows_experts(*state) && !reading_experts_)
        read_experts();
    track_progress(*state);
    state_handler_(*state);
}

// A rank that has requests but begins no forward pass is stalled: it can serve
// no request at the moment.
void rank_monitor::track_progress(rank_state const& state)
{
    time_point const now = clock_();
    if (state.step != last_step_ || state.active + state.queued == 0)
        last_progress_at_ = now;
    last_step_ = state.step;
    if (now - load_logged_at_ >= load_log_interval)
    {
        load_logged_at_ = now;
        event line{"rank_load"};
        line.with("step", state.step)
            .with("active", state.active)
            .with("queued", state.queued)
            .with("pace", state.slowdown)
            .with("version", state.map_version);
        log_.info(line);
    }
    bool const stalled = now - last_progress_at_ > stall_limit;
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
    rank_state const requested = *state_;
    client_.read_experts(
        address_,
        requested.rank,
        [this, requested](result<rank_experts> const& experts)
        {
            reading_experts_ = false;
            // After a map switch the experts may belong to another version.
            bool const same = state_ &&
                              state_->map_version == requested.map_version &&
                              state_->epoch == requested.epoch;
            if (!experts || !same)
                return;
            experts_ = *experts;
            experts_epoch_ = requested.epoch;
            experts_version_ = requested.map_version;
        });
}

void rank_monitor::read_activations()
{
    activations_requested_at_ = clock_();
    client_.read_activations(
        address_,
        [this](result<activation_counts> const& counts)
        {
            if (!counts || !state_)
                return;
            add_activations(*counts);
        });
}

// Reports carry differences, which stay small and encode in few bytes; the
// engine's counts since its start keep growing.
void rank_monitor::add_activations(activation_counts const& counts)
{
    time_point const now = clock_();
    std::size_t const size = counts.counts.size();
    bool const continues =
        activations_ &&
        now - activations_received_at_ <= max_activations_period &&
        activations_->epoch == counts.epoch &&
        activations_->incarnation == counts.incarnation &&
        activations_->counts.size() == size;
    if (continues)
    {
        unreported_activations_.resize(size, 0);
        for (std::size_t n = 0; n < size; ++n)
        {
            std::uint64_t const before = activations_->counts[n];
            unreported_activations_[n] += static_cast<std::uint32_t>(
                counts.counts[n] - std::min(before, counts.counts[n]));
        }
    }
    else
        unreported_activations_.clear();
    activations_ = counts;
    activations_received_at_ = now;
}

wire::rank_report rank_monitor::report_of(rank_state const& state) const
{
    wire::rank_report out = to_wire(state);
    out.set_accepted_version(accepted_version_);
    out.set_accepts_deltas(true);
    out.set_knows_initial_map(true);
    out.set_address(address_);
    out.set_service(service_);
    return out;
}

bool rank_monitor::is_report_due(rank_state const& state) const
{
    rank_state known = state;
    known.accepted_version = accepted_version_;
    return reports_.is_due(known, !unreported_activations_.empty(), clock_());
}

wire::rank_report rank_monitor::detailed_report(rank_state const& state)
{
    time_point const now = clock_();
    rank_state known = state;
    known.accepted_version = accepted_version_;
    bool const with_experts =
        knows_experts(state) && reports_.includes_experts(known, now);
    reports_.on_reported(known, with_experts, now);
    wire::rank_report out = report_of(state);
    if (with_experts)
        add_experts(*experts_, out);
    if (activations_ && activations_->epoch == state.epoch)
    {
        out.mutable_choices()->Assign(
            unreported_activations_.begin(), unreported_activations_.end());
        unreported_activations_.clear();
    }
    return out;
}

} // namespace hornbeamweir
