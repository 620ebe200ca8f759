#include <hornbeamweir/placement/incremental_placement.hpp>

#include <algorithm>
#include <cmath>

namespace hornbeamweir
{

namespace
{

/// Number of steady evaluations after which a layer is no longer refined.
constexpr std::size_t max_refinement_evaluations = 12;

std::size_t slots_per_layer(expert_map_shape const& shape)
{
    return static_cast<std::size_t>(shape.ranks) * shape.slots_per_rank;
}

std::string
summarize(placement_weights const& weights, std::size_t changed_layers)
{
    return "profile=" + std::string{name_of(weights.profile)} +
           " layers=" + std::to_string(changed_layers);
}

} // namespace

incremental_placement::incremental_placement(placement_profile profile)
    : incremental_placement{weights_of(profile)}
{
}

incremental_placement::incremental_placement(placement_weights const& weights)
    : weights_{weights}
{
}

std::optional<placement_decision> incremental_placement::decide(
    expert_map const& current, popularity_report const& report, time_point now)
{
    if (!is_complete(current) || current.slots.empty())
        return std::nullopt;
    if (popularity_.empty() || current.shape != shape_)
        reset(current);
    add_counts(report);
    if (last_evaluation_ && now - *last_evaluation_ < weights_.interval)
        return std::nullopt;
    last_evaluation_ = now;
    refund_unapplied_decision(current);
    update_estimates(report.rank_speed);
    std::vector<layer_candidate> const chosen = plan(current);
    if (chosen.empty())
        return std::nullopt;
    return make_decision(current, chosen);
}

void incremental_placement::reset(expert_map const& current)
{
    shape_ = current.shape;
    popularity_.assign(shape_.layers, popularity_estimator{shape_.experts});
    tokens_.assign(
        static_cast<std::size_t>(shape_.layers) * shape_.experts, 0.0);
    speeds_ = speed_estimator{shape_.ranks};
    last_evaluation_.reset();
    move_budget_ =
        weights_.max_move_budget * static_cast<double>(current.slots.size());
}

void incremental_placement::add_counts(popularity_report const& report)
{
    auto const usable = [](double count)
    { return std::isfinite(count) && count >= 0; };
    if (report.tokens.size() != tokens_.size() ||
        !std::all_of(report.tokens.begin(), report.tokens.end(), usable))
        return;
    for (std::size_t n = 0; n < tokens_.size(); ++n)
        tokens_[n] += report.tokens[n];
}

// A decision that was not applied costs nothing, so that it can be made again.
void incremental_placement::refund_unapplied_decision(expert_map const& current)
{
    if (current.slots != expected_map_.slots)
        evaluations_since_change_ = 0;
    if (current.version == decided_version_)
        move_budget_ += spent_moves_;
    spent_moves_ = 0;
    decided_version_.reset();
    expected_map_ = current;
}

void incremental_placement::update_estimates(std::span<double const> rank_speed)
{
    double const slots =
        static_cast<double>(slots_per_layer(shape_) * shape_.layers);
    move_budget_ = std::min(
        move_budget_ + weights_.move_budget_per_interval * slots,
        weights_.max_move_budget * slots);
    ++evaluations_since_change_;
    if (speeds_.update(rank_speed))
        evaluations_since_change_ = 0;
    std::size_t const experts = shape_.experts;
    std::span<double const> const tokens{tokens_};
    for (std::size_t layer = 0; layer < shape_.layers; ++layer)
        popularity_[layer].update(tokens.subspan(layer * experts, experts));
    std::fill(tokens_.begin(), tokens_.end(), 0.0);
}

layer_layout incremental_placement::layout_of(
    expert_map const& map, std::uint32_t layer) const
{
    std::size_t const size = slots_per_layer(shape_);
    std::span<std::uint16_t const> const slots{map.slots};
    return layer_layout{
        slots.subspan(layer * size, size),
        popularity_[layer].shares(),
        speeds_.speeds()};
}

// When popularity has been steady for a long time, any further gain is within
// the error of the estimates.
bool incremental_placement::is_settled(std::uint32_t layer) const
{
    return popularity_[layer].steady_updates() > max_refinement_evaluations &&
           evaluations_since_change_ > max_refinement_evaluations;
}

// The relative error of a rank's time decreases with the square root of the
// number of experts on it.
double incremental_placement::required_gain(std::uint32_t layer) const
{
    double const experts_per_rank =
        std::max(1.0, static_cast<double>(shape_.experts) / shape_.ranks);
    double const error =
        popularity_[layer].relative_error() / std::sqrt(experts_per_rank);
    return std::max(weights_.min_gain, weights_.min_significance * error);
}

std::vector<incremental_placement::layer_candidate>
incremental_placement::plan(expert_map const& current)
{
    std::vector<layer_candidate> candidates;
    std::size_t const limit = static_cast<std::size_t>(move_budget_);
    for (std::uint32_t layer = 0; layer < shape_.layers; ++layer)
    {
        if (is_settled(layer))
            continue;
        search_limits const limits{
            weights_.full_reload_cost, required_gain(layer), limit};
        layer_candidate candidate{
            layer, plan_layer(layout_of(current, layer), limits)};
        if (candidate.plan.moves > 0)
            candidates.push_back(std::move(candidate));
    }
    std::stable_sort(
        candidates.begin(),
        candidates.end(),
        [](layer_candidate const& a, layer_candidate const& b)
        {
            return a.plan.gain() * static_cast<double>(b.plan.moves) >
                   b.plan.gain() * static_cast<double>(a.plan.moves);
        });
    std::vector<layer_candidate> chosen;
    for (layer_candidate& candidate : candidates)
    {
        double const moves = static_cast<double>(candidate.plan.moves);
        if (moves > move_budget_)
            continue;
        move_budget_ -= moves;
        spent_moves_ += moves;
        chosen.push_back(std::move(candidate));
    }
    return chosen;
}

placement_decision incremental_placement::make_decision(
    expert_map const& current, std::vector<layer_candidate> const& chosen)
{
    placement_decision decision;
    decision.map = current;
    ++decision.map.version;
    std::size_t const size = slots_per_layer(shape_);
    for (layer_candidate const& candidate : chosen)
    {
        auto const first = decision.map.slots.begin() +
                           static_cast<std::ptrdiff_t>(candidate.layer * size);
        std::copy(
            candidate.plan.slots.begin(), candidate.plan.slots.end(), first);
        decision.moves += candidate.plan.moves;
    }
    expected_map_ = decision.map;
    decided_version_ = current.version;
    decision.skew_before = 0;
    decision.skew_after = 0;
    for (std::uint32_t layer = 0; layer < shape_.layers; ++layer)
    {
        decision.skew_before += layout_of(current, layer).skew();
        decision.skew_after += layout_of(decision.map, layer).skew();
    }
    decision.skew_before /= shape_.layers;
    decision.skew_after /= shape_.layers;
    decision.summary = summarize(weights_, chosen.size());
    return decision;
}

} // namespace hornbeamweir
