#include <hornbeamweir/core/content_hash.hpp>
#include <hornbeamweir/relay/request_quarantine.hpp>

#include <algorithm>

namespace hornbeamweir::relay
{

namespace
{

/// Time after a crash for which the observations of other entries, which may
/// refute it, are awaited.
constexpr duration settling_time = std::chrono::milliseconds{400};
/// Incidents after which a prompt part is blamed that explains more of them
/// than any other one, of those that were not answered shortly before.
constexpr std::size_t min_incidents = 2;
/// The same if several explain as many.
constexpr std::size_t min_unclear_incidents = 3;
/// Incidents after which a part is blamed although it was answered shortly
/// before.
constexpr std::size_t min_answered_incidents = 4;
/// Ends of replicas one after the other under a request after which it is
/// blamed, and the same if it was answered shortly before.
constexpr std::size_t min_ends = 3;
constexpr std::size_t min_answered_ends = 4;
/// Time after its start from which an entry knows which traits are answered.
constexpr duration min_memory = std::chrono::seconds{10};
/// Time for which one entry may send a probe, before it is the turn of another.
constexpr duration probe_turn = std::chrono::seconds{3};
/// Time that the outcome of a probe may take.
constexpr duration probe_time = std::chrono::seconds{10};

duration block_time(std::uint32_t level)
{
    duration out = request_quarantine::first_block;
    for (std::uint32_t n = 0; n < level && out < request_quarantine::max_block;
         ++n)
        out *= 3;
    return std::min(out, request_quarantine::max_block);
}

} // namespace

void request_quarantine::set_entries(
    process_name self, std::vector<process_name> others)
{
    self_ = std::move(self);
    others_ = std::move(others);
}

trait_blame const*
request_quarantine::find_active(request_trait const& trait) const
{
    auto const it = blames_.find(trait);
    return it == blames_.end() || it->second.ended ? nullptr : &it->second;
}

bool request_quarantine::is_blocked(request_traits const& traits) const
{
    return std::any_of(
        traits.begin(),
        traits.end(),
        [&](request_trait const& it) { return find_active(it) != nullptr; });
}

request_quarantine::verdict
request_quarantine::admit(request_traits const& traits, time_point now)
{
    verdict out;
    for (request_trait const& it : traits)
    {
        trait_blame const* const known = find_active(it);
        if (!known)
            continue;
        if (!may_probe(*known, now))
            return {
                it, std::max(known->blocked_until - now, probe_turn), false};
        out.is_probe = true;
    }
    if (!out.is_probe)
        return out;
    // Nobody sends another one until the outcome should be known.
    for (request_trait const& it : traits)
    {
        if (!find_active(it))
            continue;
        trait_blame& tried = blames_.at(it);
        ++tried.probes;
        tried.blocked_until = now + probe_time;
    }
    ++revision_;
    return out;
}

// Each turn is another entry's, so that all come to try the trait, although few
// of its requests may arrive at any one.
bool request_quarantine::may_probe(trait_blame const& it, time_point now) const
{
    if (now < it.blocked_until)
        return false;
    std::int64_t const turn = (now - it.blocked_until) / probe_turn;
    auto const weight = [&](process_name const& name)
    {
        return stable_hash(
            it.trait.value + '/' + std::to_string(turn) + '/' + name.str());
    };
    std::uint64_t const own = weight(self_);
    return std::none_of(
        others_.begin(),
        others_.end(),
        [&](process_name const& name) { return weight(name) < own; });
}

void request_quarantine::on_answered(
    request_traits const& traits, answer_progress progress, time_point now)
{
    for (request_trait const& it : traits)
    {
        if (policy_of(it.kind).cleared_by != progress)
            continue;
        evidence_.on_answered(it, now);
        if (find_active(it))
            end(blames_.at(it), change::answered);
    }
}

void request_quarantine::on_probe_crashed(
    request_traits const& suspects, time_point now)
{
    for (request_trait const& it : suspects)
    {
        if (!find_active(it))
            continue;
        trait_blame& tried = blames_.at(it);
        ++tried.level;
        tried.blocked_until = now + block_time(tried.level);
        ++revision_;
        decisions_.push_back({change::probe_crashed, tried, 1});
    }
}

void request_quarantine::end(trait_blame& it, change reason)
{
    it.ended = true;
    ++revision_;
    decisions_.push_back({reason, it, 0});
}

std::vector<request_quarantine::decision>
request_quarantine::on_tick(time_point now)
{
    if (!started_at_)
        started_at_ = now;
    evidence_.expire(now);
    for (auto it = blames_.begin(); it != blames_.end();)
    {
        bool const is_idle = now - it->second.blocked_until > max_idle;
        if (is_idle && !it->second.ended)
            end(it->second, change::expired);
        it = is_idle ? blames_.erase(it) : std::next(it);
    }
    end_refuted();
    std::vector<crash_evidence::incident> const incidents =
        evidence_.incidents_before(now - settling_time);
    find_requests(now);
    if (incidents.size() >= min_incidents)
        find_part(incidents, now);
    return std::exchange(decisions_, {});
}

void request_quarantine::end_refuted()
{
    for (auto const& [trait, runs] : grounds_)
    {
        bool const is_refuted = std::any_of(
            runs.begin(),
            runs.end(),
            [&, &blamed = trait](replica_run const& it)
            { return evidence_.is_refuted(blamed, it); });
        if (is_refuted && find_active(trait))
            end(blames_.at(trait), change::answered);
    }
    std::erase_if(
        grounds_, [&](auto const& it) { return !find_active(it.first); });
}

// Most requests are sent once, and to few replicas, so that one under which
// several replicas have ended one after the other is told from those that were
// there by chance. A prompt part that explains more ends goes first.
void request_quarantine::find_requests(time_point now)
{
    bool const is_young = now - *started_at_ < min_memory;
    for (auto const& [trait, ends] : evidence_.sequences_before(
             now - settling_time, trait_kind::whole_request))
    {
        bool const may_be_usual =
            is_young || evidence_.was_answered_before(trait);
        std::size_t const wanted = may_be_usual ? min_answered_ends : min_ends;
        if (ends < wanted || find_active(trait) || is_explained_by_part(trait))
            continue;
        drop_parts_explained_by(trait);
        blame(trait, ends, now);
    }
}

bool request_quarantine::is_explained_by_part(
    request_trait const& request) const
{
    std::vector<replica_run> const ends = evidence_.held_against(request);
    return std::any_of(
        blames_.begin(),
        blames_.end(),
        [&](auto const& it)
        {
            if (it.second.ended || it.first.kind != trait_kind::prompt_part)
                return false;
            std::vector<replica_run> const of_part =
                evidence_.held_against(it.first);
            return of_part.size() > ends.size() && std::includes(
                                                       of_part.begin(),
                                                       of_part.end(),
                                                       ends.begin(),
                                                       ends.end());
        });
}

// A part of a request that crashes replicas may be harmless in others.
void request_quarantine::drop_parts_explained_by(request_trait const& request)
{
    std::vector<replica_run> const ends = evidence_.held_against(request);
    for (auto& [trait, known] : blames_)
    {
        if (known.ended || trait.kind != trait_kind::prompt_part)
            continue;
        std::vector<replica_run> const of_part = evidence_.held_against(trait);
        bool const is_explained = std::includes(
            ends.begin(), ends.end(), of_part.begin(), of_part.end());
        if (!is_explained)
            continue;
        evidence_.refute(trait);
        end(known, change::explained_by_other);
    }
}

// Shared parts of many prompts are suspected of every crash while no replica
// answers anything. Those that were answered until the crashes began are
// therefore judged only if no other part explains the crashes.
void request_quarantine::find_part(
    std::vector<crash_evidence::incident> const& incidents, time_point now)
{
    // An entry that has just started has seen no answers.
    bool const is_young = now - *started_at_ < min_memory;
    std::set<request_trait> answered;
    for (crash_evidence::incident const& it : incidents)
        answered.insert(it.answered_before.begin(), it.answered_before.end());
    suspicion not_answered;
    suspicion parts;
    suspicion all;
    for (std::size_t n = 0; n < incidents.size(); ++n)
    {
        for (request_trait const& it : incidents[n].suspects)
        {
            all[it].insert(n);
            if (it.kind != trait_kind::prompt_part)
                continue;
            parts[it].insert(n);
            if (!is_young && !answered.contains(it))
                not_answered[it].insert(n);
        }
    }
    if (!blame_best(not_answered, all, now))
        blame_best_answered(parts, all, now);
}

bool request_quarantine::blame_best(
    suspicion const& candidates, suspicion const& all, time_point now)
{
    std::size_t best = 0;
    std::vector<request_trait> tied;
    for (auto const& [trait, against] : candidates)
    {
        if (find_active(trait))
            continue;
        std::size_t const count = unexplained(against, all);
        if (count > best)
            tied.clear();
        best = std::max(best, count);
        if (count == best)
            tied.push_back(trait);
    }
    std::size_t const wanted =
        tied.size() == 1 ? min_incidents : min_unclear_incidents;
    if (best < wanted)
        return false;
    drop_explained(tied.front(), all);
    blame(tied.front(), best, now);
    return true;
}

void request_quarantine::blame_best_answered(
    suspicion const& candidates, suspicion const& all, time_point now)
{
    bool const is_explained = std::any_of(
        blames_.begin(),
        blames_.end(),
        [&](auto const& it)
        { return !it.second.ended && all.contains(it.first); });
    if (is_explained)
        return;
    request_trait const* culprit = nullptr;
    std::size_t most = min_answered_incidents;
    for (auto const& [trait, against] : candidates)
    {
        bool const is_better = against.size() > most ||
                               (against.size() == most &&
                                (!culprit || evidence_.answers(trait) <
                                                 evidence_.answers(*culprit)));
        if (!is_better)
            continue;
        culprit = &trait;
        most = against.size();
    }
    if (culprit)
        blame(*culprit, most, now);
}

// Crashes that a blamed trait explains speak against another one only if that
// one explains all of them, and more.
std::size_t request_quarantine::unexplained(
    std::set<std::size_t> const& against, suspicion const& all) const
{
    std::set<std::size_t> left = against;
    for (auto const& [trait, known] : blames_)
    {
        auto const found = all.find(trait);
        if (known.ended || found == all.end())
            continue;
        bool const explains_more =
            against.size() > found->second.size() && std::includes(
                                                         against.begin(),
                                                         against.end(),
                                                         found->second.begin(),
                                                         found->second.end());
        if (explains_more)
            continue;
        for (std::size_t const n : found->second)
            left.erase(n);
    }
    return left.size();
}

void request_quarantine::make_room(std::size_t wanted)
{
    while (blames_.size() + wanted > max_blames)
    {
        blames_.erase(std::min_element(
            blames_.begin(),
            blames_.end(),
            [](auto const& a, auto const& b)
            {
                return std::tuple{!a.second.ended, a.second.blocked_until} <
                       std::tuple{!b.second.ended, b.second.blocked_until};
            }));
    }
}

void request_quarantine::blame(
    request_trait const& trait, std::size_t incidents, time_point now)
{
    auto const ended = blames_.find(trait);
    std::uint32_t const generation =
        ended == blames_.end() ? 1 : ended->second.generation + 1;
    if (ended == blames_.end())
        make_room(1);
    trait_blame& created = blames_[trait];
    created = {trait, generation, false, 0, 0, now + first_block};
    grounds_[trait] = evidence_.held_against(trait);
    ++revision_;
    decisions_.push_back({change::blamed, created, incidents});
}

void request_quarantine::drop_explained(
    request_trait const& culprit, suspicion const& suspects)
{
    std::set<std::size_t> const& more = suspects.at(culprit);
    for (auto& [trait, known] : blames_)
    {
        auto const found = suspects.find(trait);
        bool const is_explained = !known.ended && found != suspects.end() &&
                                  found->second.size() < more.size() &&
                                  std::includes(
                                      more.begin(),
                                      more.end(),
                                      found->second.begin(),
                                      found->second.end());
        if (!is_explained)
            continue;
        evidence_.refute(trait);
        end(known, change::explained_by_other);
    }
}

crash_report request_quarantine::report() const
{
    crash_report out;
    out.crashes = evidence_.records();
    for (auto const& [trait, known] : blames_)
        out.blames.push_back(known);
    return out;
}

void request_quarantine::merge(crash_report const& other, time_point now)
{
    evidence_.merge(other.crashes, now);
    for (trait_blame const& it : other.blames)
    {
        if (now - it.blocked_until > max_idle)
            continue;
        auto const known = blames_.find(it.trait);
        if (known == blames_.end())
        {
            make_room(1);
            blames_.emplace(it.trait, it);
        }
        else if (known->second.stage() < it.stage())
            known->second = it;
        else
        {
            // The time of the same stage only grows by delays of messages.
            if (known->second.stage() == it.stage())
                known->second.blocked_until =
                    std::min(known->second.blocked_until, it.blocked_until);
            continue;
        }
        ++revision_;
        decisions_.push_back({change::adopted, it, 0});
    }
}

} // namespace hornbeamweir::relay
