#include "expert_map_driver.hpp"

#include <hornbeamweir/core/overloaded.hpp>
#include <hornbeamweir/core/socket_address.hpp>
#include <hornbeamweir/expert_map/engine_report.hpp>
#include <hornbeamweir/placement/placement_factory.hpp>

#include <boost/asio/post.hpp>

namespace hornbeamweir
{

namespace
{

/// Only the first ranks of a group are candidates for its coordinator, so that
/// the number of calls to the platform does not grow with the group.
constexpr std::uint32_t candidates_per_group = 3;
constexpr duration engine_timeout = std::chrono::seconds{2};
constexpr std::size_t max_response_bytes = 4 * 1024 * 1024;
constexpr unsigned http_ok = 200;
constexpr unsigned http_conflict = 409;

expert_map_shape shape_of(model_group const& group)
{
    return {
        group.layers,
        group.experts_per_layer,
        group.ranks,
        group.slots_per_rank};
}

} // namespace

expert_map_driver::group_state::group_state(
    model_group configured_group,
    std::string const& candidate,
    bool may_coordinate,
    event_log& log)
    : group{std::move(configured_group)}
    , policy{make_placement_policy(group.profile)}
    , participant{make_initial_map(shape_of(group))}
{
    if (may_coordinate)
        coordinator.emplace(
            group.id, candidate, coordinator_settings{}, *policy, log);
}

expert_map_driver::expert_map_driver(
    boost::asio::io_context& context,
    agent_settings const& settings,
    event_log& log,
    metrics_registry& metrics)
    : context_{context}
    , settings_{settings}
    , log_{log}
    , metrics_{metrics}
    , engine_{*tcp_endpoint(settings.backend_address)}
    , platform_{
          context,
          settings.platform.addresses,
          std::chrono::milliseconds{settings.platform.timeout_ms}}
{
}

expert_map_driver::~expert_map_driver() = default;

template <typename Reply, typename Done>
std::function<void(Reply)> expert_map_driver::if_group_unchanged(Done done)
{
    std::weak_ptr<group_state> const weak = state_;
    return [weak, done = std::move(done)](Reply const& reply)
    {
        if (std::shared_ptr<group_state> const state = weak.lock())
            done(*state, reply);
    };
}

void expert_map_driver::on_configuration(
    std::shared_ptr<configuration const> const& current)
{
    if (current == configuration_)
        return;
    configuration_ = current;
    backend_server const* const self = current->find(settings_.backend_server);
    model_group const* const group = self == nullptr || self->group.empty()
                                         ? nullptr
                                         : current->find(self->group);
    if (group == nullptr)
    {
        state_.reset();
        return;
    }
    if (state_ && state_->group == *group)
        return;
    state_ = std::make_shared<group_state>(
        *group,
        settings_.identity.name.str(),
        self->rank < candidates_per_group,
        log_);
}

void expert_map_driver::on_health(std::string const& body)
{
    std::optional<engine_map_report> const report = decode_engine_report(body);
    if (!state_ || !report)
        return;
    time_point const now = process_clock::now();
    bool const changed =
        state_->last_report.local.in_force != report->local.in_force;
    state_->last_report = *report;
    if (changed)
    {
        log_.info(event{"expert_map_used"}
                      .with("group", state_->group.id)
                      .with("version", report->local.in_force.version));
    }
    metric_labels const labels{{"group", state_->group.id.str()}};
    metrics_.gauge(
        "hornbeamweir_expert_map_version",
        labels,
        static_cast<double>(report->local.in_force.version));
    metrics_.gauge(
        "hornbeamweir_expert_map_platform_calls",
        labels,
        static_cast<double>(platform_.calls()));
    if (state_->coordinator)
        state_->coordinator->on_report(*report, now);
    perform(state_->participant.on_report(*report, now));
}

void expert_map_driver::on_tick()
{
    // Engines without expert maps need no coordination.
    bool const has_maps = state_ && !state_->last_report.group_in_force.empty();
    if (has_maps && state_->coordinator)
        perform(state_->coordinator->on_tick(process_clock::now()));
}

void expert_map_driver::add_status(boost::json::object& status) const
{
    if (!state_)
        return;
    status["expert_map"] = state_->last_report.local.in_force.version;
    status["expert_map_target"] = state_->participant.target().map.version;
    status["coordinates"] =
        state_->coordinator && state_->coordinator->is_coordinator();
    status["expert_map_platform_calls"] = platform_.calls();
}

void expert_map_driver::perform(participant_actions actions)
{
    for (participant_action const& action : actions)
    {
        std::visit(
            overloaded{
                [&](load_map const& it) { send_order(it); },
                [&](read_map_record const&) { read_record(); },
                [&](read_engine_map const&) { read_map(); }},
            action);
    }
}

void expert_map_driver::perform(coordinator_actions actions)
{
    for (coordinator_action const& action : actions)
    {
        std::visit(
            overloaded{
                [&](request_lease const& it) { grant_lease(it.time_to_live); },
                [&](renew_lease const& it) { keep_lease_alive(it.lease); },
                [&](read_key const& it) { read_for_coordinator(it.key); },
                [&](commit_transaction const& it) { commit(it.request); },
                [&](sample_engine const&) { read_sample(); },
                [&](announce_record const& it)
                {
                    perform(state_->participant.on_record(
                        std::optional<map_record>{it.record},
                        process_clock::now()));
                }},
            action);
    }
}

void expert_map_driver::send_order(load_map const& action)
{
    log_.info(event{"expert_map_ordered"}
                  .with("group", state_->group.id)
                  .with("version", action.map.version)
                  .with("fence", action.fence));
    engine_handler done = if_group_unchanged<engine_response const&>(
        [](group_state& state, engine_response const& response)
        {
            if (response.status == http_conflict)
                state.participant.on_order_rejected();
        });
    call_engine("POST", "/expert_map", encode_order(action), std::move(done));
}

void expert_map_driver::read_record()
{
    platform_.read(
        map_key(state_->group.id),
        if_group_unchanged<result<range_reply>>(
            [this](group_state& state, result<range_reply> const& reply)
            {
                perform(state.participant.on_record(
                    record_in(reply, state.group.id), process_clock::now()));
            }));
}

void expert_map_driver::read_map()
{
    engine_handler done = if_group_unchanged<engine_response const&>(
        [this](group_state& state, engine_response const& response)
        {
            perform(state.participant.on_engine_map(
                decode_engine_map(response.body), process_clock::now()));
        });
    call_engine("GET", "/expert_map", "", std::move(done));
}

void expert_map_driver::read_for_coordinator(std::string const& key)
{
    platform_.read(
        key,
        if_group_unchanged<result<range_reply>>(
            [this](group_state& state, result<range_reply> const& reply) {
                perform(
                    state.coordinator->on_read(reply, process_clock::now()));
            }));
}

void expert_map_driver::commit(transaction request)
{
    platform_.commit(
        std::move(request),
        if_group_unchanged<result<transaction_reply>>(
            [this](group_state& state, result<transaction_reply> const& reply) {
                perform(state.coordinator->on_committed(
                    reply, process_clock::now()));
            }));
}

void expert_map_driver::grant_lease(duration time_to_live)
{
    platform_.grant_lease(
        time_to_live,
        if_group_unchanged<result<std::int64_t>>(
            [this](group_state& state, result<std::int64_t> const& lease) {
                perform(
                    state.coordinator->on_lease(lease, process_clock::now()));
            }));
}

void expert_map_driver::keep_lease_alive(std::int64_t lease)
{
    platform_.keep_alive(
        lease,
        if_group_unchanged<result<duration>>(
            [](group_state& state, result<duration> const& left)
            { state.coordinator->on_renewed(left, process_clock::now()); }));
}

void expert_map_driver::read_sample()
{
    engine_handler done = if_group_unchanged<engine_response const&>(
        [this](group_state& state, engine_response const& response)
        {
            std::optional<expert_map> map = decode_engine_map(response.body);
            if (map)
                read_popularity(std::move(*map));
            else
                perform(state.coordinator->on_sample(
                    std::nullopt, process_clock::now()));
        });
    call_engine("GET", "/expert_map", "", std::move(done));
}

void expert_map_driver::read_popularity(expert_map in_force)
{
    engine_handler done = if_group_unchanged<engine_response const&>(
        [this, map = std::move(in_force)](
            group_state& state, engine_response const& response)
        {
            std::optional<popularity_report> counts =
                decode_popularity(response.body);
            std::optional<engine_sample> sample;
            if (counts)
                sample = engine_sample{map, std::move(*counts)};
            perform(state.coordinator->on_sample(sample, process_clock::now()));
        });
    call_engine("GET", "/expert_map/popularity", "", std::move(done));
}

void expert_map_driver::call_engine(
    std::string method,
    std::string target,
    std::string body,
    engine_handler done)
{
    std::uint64_t const call = next_call_++;
    std::shared_ptr<engine_response> const response =
        std::make_shared<engine_response>();
    // The call must outlive its handler, so it is destroyed from the event
    // loop.
    std::function<void()> const end = [this, call, response, done]
    {
        boost::asio::post(context_, [this, call] { calls_.erase(call); });
        done(*response);
    };
    backend_call_handlers handlers;
    handlers.head = [response](unsigned status, header_list const&)
    { response->status = status; };
    handlers.data = [response](std::string const& bytes)
    { response->body += bytes; };
    handlers.ended = [response, end]
    {
        if (response->status != http_ok)
            response->body.clear();
        end();
    };
    handlers.failed = [response, end](error const&, bool)
    {
        *response = {};
        end();
    };
    std::unique_ptr<backend_call>& slot = calls_[call];
    slot = std::make_unique<backend_call>(
        context_,
        engine_,
        http_request_message{
            std::move(method),
            std::move(target),
            {{"Content-Type", "application/json"}},
            std::move(body)},
        engine_timeout,
        std::move(handlers));
    slot->grant_credit(max_response_bytes);
}

} // namespace hornbeamweir
