#include "standins/engine/map_service.hpp"

#include <hornbeamweir/core/socket_address.hpp>
#include <hornbeamweir/expert_map/map_record.hpp>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace standin
{

using namespace hornbeamweir;

namespace
{

constexpr unsigned conflict = 409;
constexpr duration fetch_timeout = std::chrono::minutes{10};
/// Steps per popularity sample; the last complete sample is reported.
constexpr std::uint64_t steps_per_sample = 100;

expert_map_shape shape_from(options const& settings)
{
    return {
        static_cast<std::uint32_t>(settings.number("layers", 1)),
        static_cast<std::uint32_t>(settings.number("experts", 8)),
        static_cast<std::uint32_t>(settings.number("ranks", 1)),
        static_cast<std::uint32_t>(settings.number("slots-per-rank", 8))};
}

boost::json::array json_numbers(std::vector<double> const& values)
{
    boost::json::array out;
    for (double const value : values)
        out.emplace_back(value);
    return out;
}

boost::json::object to_json(map_identity const& identity)
{
    boost::json::object out;
    out["version"] = identity.version;
    out["digest"] = std::to_string(identity.digest);
    return out;
}

} // namespace

map_service::map_service(
    boost::asio::io_context& context, options const& settings)
    : context_{context}
    , shape_{shape_from(settings)}
    , checks_fence_{settings.number("checks-fence", 1) != 0}
    , expert_bytes_{settings.number("expert-bytes", 1'000'000)}
    , weight_store_{settings.text("weight-store", "")}
    , ranks_(
          shape_.ranks, rank_map_state{make_initial_map(shape_), checks_fence_})
    , current_counts_(std::size_t{shape_.layers} * shape_.experts)
    , reported_counts_(current_counts_.size())
{
}

bool map_service::begin_step(std::size_t tokens)
{
    std::vector<rank_maps> exchanged;
    for (rank_map_state const& rank : ranks_)
        exchanged.push_back(rank.maps());
    std::optional<map_identity> const agreed = next_map(exchanged);
    if (!agreed)
    {
        ++held_steps_;
        return false;
    }
    bool mixed = false;
    for (rank_map_state& rank : ranks_)
        mixed = rank.begin_step(*agreed) != *agreed || mixed;
    ++steps_;
    mixed_steps_ += mixed ? 1 : 0;
    changes_ += !last_.empty() && last_ != *agreed ? 1 : 0;
    last_ = *agreed;
    count_popularity(tokens);
    return true;
}

// Sends half of the tokens to the first expert to create a skewed load.
void map_service::count_popularity(std::size_t tokens)
{
    for (std::size_t n = 0; n < tokens; ++n)
    {
        for (std::uint32_t layer = 0; layer < shape_.layers; ++layer)
        {
            std::uint64_t const expert =
                random_.below(2) == 0 ? 0 : random_.below(shape_.experts);
            current_counts_[std::size_t{layer} * shape_.experts + expert] += 1;
        }
    }
    if (steps_ % steps_per_sample != 0)
        return;
    reported_counts_ = current_counts_;
    std::fill(current_counts_.begin(), current_counts_.end(), 0.0);
}

bool map_service::handle_request(
    std::uint32_t rank,
    http_exchange& exchange,
    http_request_message const& request)
{
    bool const posted = request.method == "POST";
    if (request.target == "/expert_map" && posted)
        handle_order(rank, exchange, parse_object(request.body));
    else if (request.target == "/expert_map")
        send_map(exchange);
    else if (request.target == "/expert_map/popularity")
        send_popularity(exchange);
    else if (request.target == "/expert_map/records")
        send_records(exchange);
    else if (request.target == "/expert_map/replace_rank" && posted)
        replace_rank(rank, exchange);
    else
        return false;
    return true;
}

void map_service::handle_order(
    std::uint32_t rank,
    http_exchange& exchange,
    boost::json::object const& body)
{
    boost::json::value const* const content = body.if_contains("map");
    result<expert_map> const map =
        content != nullptr && content->is_object()
            ? map_from_json(content->get_object())
            : failure(result_code::malformed_request, "no map");
    if (!map || map->shape != shape_)
    {
        send_error(exchange, result_code::malformed_request);
        return;
    }
    map_identity const previous = ranks_[rank].loading();
    if (!ranks_[rank].order(*map, number_in(body, "fence", 0)))
    {
        send_response(exchange, conflict, "application/json", "{}");
        return;
    }
    send_json(exchange, {});
    if (ranks_[rank].loading() != previous && !ranks_[rank].loading().empty())
        fetch_weights(rank, *map, count_missing_experts(rank, *map));
}

std::size_t map_service::count_missing_experts(
    std::uint32_t rank, expert_map const& map) const
{
    expert_map const& held = ranks_[rank].in_force();
    std::size_t const per_rank = shape_.slots_per_rank;
    if (ranks_[rank].maps().in_force.empty())
        return per_rank * shape_.layers;
    std::size_t experts = 0;
    for (std::uint32_t layer = 0; layer < shape_.layers; ++layer)
    {
        auto const first = held.slots.begin() + static_cast<std::ptrdiff_t>(
                                                    held.index(layer, rank, 0));
        auto const last = first + shape_.slots_per_rank;
        for (std::uint32_t slot = 0; slot < per_rank; ++slot)
            experts += std::find(first, last, map.at(layer, rank, slot)) == last
                           ? 1
                           : 0;
    }
    return experts;
}

// The rank keeps serving while the weights arrive at the rate of the weight
// store.
void map_service::fetch_weights(
    std::uint32_t rank, expert_map const& map, std::size_t experts)
{
    map_identity const identity = identify(map);
    if (experts == 0 || weight_store_.empty())
    {
        ranks_[rank].on_loaded(identity);
        return;
    }
    boost::json::object body;
    body["bytes"] = static_cast<std::int64_t>(experts) * expert_bytes_;
    backend_call_handlers handlers;
    handlers.head = [](unsigned, header_list const&) {};
    handlers.data = [](std::string const&) {};
    handlers.ended = [this, rank, identity]
    { ranks_[rank].on_loaded(identity); };
    handlers.failed = [this, rank, identity](error const&, bool)
    {
        if (ranks_[rank].loading() == identity)
            ranks_[rank].on_load_failed();
    };
    std::unique_ptr<backend_call>& fetch = fetches_[rank];
    fetch = std::make_unique<backend_call>(
        context_,
        *tcp_endpoint(weight_store_),
        http_request_message{
            "POST",
            "/weights/fetch",
            {{"Content-Type", "application/json"}},
            boost::json::serialize(body)},
        fetch_timeout,
        std::move(handlers));
    constexpr std::size_t reply_bytes = 4096;
    fetch->grant_credit(reply_bytes);
}

expert_map const* map_service::group_map() const
{
    for (rank_map_state const& rank : ranks_)
    {
        if (!rank.maps().in_force.empty())
            return &rank.in_force();
    }
    return nullptr;
}

void map_service::send_map(http_exchange& exchange) const
{
    expert_map const* const map = group_map();
    if (map == nullptr)
        send_error(exchange, result_code::not_found);
    else
        send_json(exchange, hornbeamweir::to_json(*map));
}

void map_service::send_popularity(http_exchange& exchange) const
{
    boost::json::object out;
    out["tokens"] = json_numbers(reported_counts_);
    out["rank_speed"] = json_numbers(std::vector<double>(ranks_.size(), 1.0));
    send_json(exchange, out);
}

void map_service::send_records(http_exchange& exchange) const
{
    boost::json::object out;
    out["steps"] = steps_;
    out["held_steps"] = held_steps_;
    out["mixed_steps"] = mixed_steps_;
    out["changes"] = changes_;
    out["version"] = last_.version;
    send_json(exchange, out);
}

void map_service::replace_rank(std::uint32_t rank, http_exchange& exchange)
{
    fetches_.erase(rank);
    ranks_[rank] = rank_map_state{std::nullopt, checks_fence_};
    send_json(exchange, {});
}

void map_service::report(std::uint32_t rank, boost::json::object& out) const
{
    rank_map_state const& local = ranks_[rank];
    std::uint64_t max_ordered_version = 0;
    map_identity in_force;
    for (rank_map_state const& it : ranks_)
    {
        max_ordered_version =
            std::max(max_ordered_version, it.max_ordered_version());
        if (!it.maps().in_force.empty())
            in_force = it.maps().in_force;
    }
    out["expert_map"] = local.maps().in_force.version;
    boost::json::object maps;
    maps["in_force"] = to_json(local.maps().in_force);
    maps["staged"] = to_json(local.maps().staged);
    maps["loading"] = to_json(local.loading());
    maps["group_in_force"] = to_json(in_force);
    maps["offered"] = max_ordered_version;
    out["expert_maps"] = std::move(maps);
}

} // namespace standin
