#include <hornbeamweir/core/content_hash.hpp>
#include <hornbeamweir/peers/state_sharing.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

using std::chrono::milliseconds;

/// Number of entries that read from the store; more than one, so that the loss
/// of one costs the others only an unanswered question.
constexpr std::size_t readers_per_fleet = 3;
/// In smaller fleets all entries read, which costs little.
constexpr std::size_t min_shared_fleet = 9;
constexpr duration question_interval = milliseconds{800};
/// Time after which a question counts as unanswered.
constexpr duration answer_timeout = milliseconds{250};
/// Ages above which an answer is of no use: a reader's own interval, and some
/// delay.
constexpr duration max_configuration_age = milliseconds{1500};
constexpr duration max_replicas_age = milliseconds{1000};

} // namespace

void state_sharing::set_peers(std::vector<process_name> const& peers)
{
    std::vector<process_name> all = peers;
    all.push_back(self_);
    std::sort(all.begin(), all.end());
    all.erase(std::unique(all.begin(), all.end()), all.end());
    if (all.size() < min_shared_fleet)
    {
        readers_.clear();
        is_reader_ = true;
        return;
    }
    all.resize(readers_per_fleet);
    if (all == readers_)
        return;
    readers_ = std::move(all);
    is_reader_ =
        std::find(readers_.begin(), readers_.end(), self_) != readers_.end();
    chosen_ = stable_hash(self_.str()) % readers_.size();
}

state_sharing::step state_sharing::on_tick(time_point now)
{
    step out;
    if (is_reader_)
    {
        asked_at_.reset();
        return out;
    }
    if (asked_at_ && now - *asked_at_ > answer_timeout)
    {
        asked_at_.reset();
        next_question_ = now + question_interval;
        chosen_ = (chosen_ + 1) % readers_.size();
        out.read_configuration = true;
        out.read_replicas = true;
        out.reason = "no answer";
        return out;
    }
    if (asked_at_ || now < next_question_)
        return out;
    asked_at_ = now;
    next_question_ = now + question_interval;
    out.ask = readers_[chosen_];
    out.nonce = ++last_nonce_;
    return out;
}

state_sharing::step state_sharing::on_answer(
    state_answer const& answer, known_state const& own, time_point now)
{
    step out;
    bool const expected = asked_at_ && answer.nonce == last_nonce_ &&
                          now - *asked_at_ <= answer_timeout;
    if (!expected)
        return out;
    time_point const asked_at = *asked_at_;
    asked_at_.reset();
    bool const same_configuration =
        answer.configuration_version == own.configuration_version;
    if (same_configuration && answer.configuration_age <= max_configuration_age)
        out.configuration_confirmed = asked_at - answer.configuration_age;
    else
        out.read_configuration = true;
    bool const same_replicas = answer.replicas_hash == own.replicas_hash;
    if (same_replicas && answer.replicas_age <= max_replicas_age)
        out.replicas_confirmed = asked_at - answer.replicas_age;
    else
        out.read_replicas = true;
    if (out.read_configuration || out.read_replicas)
        out.reason = same_configuration && same_replicas ? "the answer is old"
                                                         : "the answer differs";
    return out;
}

state_answer state_sharing::answer_of(
    known_state const& own, std::uint64_t nonce, time_point now)
{
    return {
        nonce,
        own.configuration_version,
        now - own.configuration_as_of,
        own.replicas_hash,
        now - own.replicas_as_of,
        own.evacuated,
        own.retained};
}

} // namespace hornbeamweir
