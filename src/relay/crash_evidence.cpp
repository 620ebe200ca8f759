#include <hornbeamweir/relay/crash_evidence.hpp>

#include <algorithm>

namespace hornbeamweir::relay
{

namespace
{

/// Time after its answers broke within which a replica must be found to have
/// ended; otherwise the answers broke for another reason.
constexpr duration max_confirmation_time = std::chrono::seconds{5};
/// Time within which ends of several replicas count as one incident.
constexpr duration same_incident = std::chrono::milliseconds{500};

bool is_held_against(crash_record const& it, request_trait const& trait)
{
    return it.suspects.contains(trait) && !it.refuted.contains(trait);
}

} // namespace

crash_record& crash_evidence::find_or_add(replica_run const& run, time_point at)
{
    auto const known = records_.find(run);
    if (known != records_.end())
    {
        known->second.at = std::min(known->second.at, at);
        return known->second;
    }
    if (records_.size() >= max_records)
    {
        // Connections break more often than replicas end.
        records_.erase(std::min_element(
            records_.begin(),
            records_.end(),
            [](auto const& a, auto const& b)
            {
                return std::tuple{a.second.confirmed, a.second.at} <
                       std::tuple{b.second.confirmed, b.second.at};
            }));
    }
    return records_.emplace(run, crash_record{run, at, false, {}, {}, {}})
        .first->second;
}

void crash_evidence::confirm(crash_record& it)
{
    revision_ += it.confirmed ? 0 : 1;
    it.confirmed = true;
}

void crash_evidence::add_to(
    std::set<request_trait> crash_record::*traits,
    crash_record& it,
    request_trait const& trait)
{
    std::set<request_trait>& known = it.*traits;
    bool const has_room =
        known.size() < max_suspects * enum_table<trait_kind>::rows.size();
    if (has_room && known.insert(trait).second)
        ++revision_;
}

bool crash_evidence::on_broken_answer(
    replica_run const& run,
    request_traits const& traits,
    duration in_progress,
    time_point now)
{
    crash_record& record = find_or_add(run, now);
    bool const is_first = record.suspects.empty();
    for (request_trait const& it : traits)
        add_suspect(record, it, in_progress);
    return is_first && !record.confirmed;
}

std::vector<replica_run> crash_evidence::unconfirmed() const
{
    std::vector<replica_run> out;
    for (auto const& [run, record] : records_)
    {
        if (!record.confirmed)
            out.push_back(run);
    }
    return out;
}

void crash_evidence::on_ended(replica_run const& run, time_point now)
{
    auto const known = records_.find(run);
    if (known != records_.end() &&
        now - known->second.at <= max_confirmation_time)
        confirm(known->second);
}

void crash_evidence::refute(request_trait const& trait)
{
    for (auto& [run, record] : records_)
    {
        if (record.suspects.contains(trait))
            add_to(&crash_record::refuted, record, trait);
    }
}

void crash_evidence::on_answered(request_trait const& trait, time_point now)
{
    refute(trait);
    answered_[static_cast<std::size_t>(trait.kind)].on_answered(trait, now);
}

void crash_evidence::add_suspect(
    crash_record& it, request_trait const& trait, duration in_progress)
{
    auto const known = it.suspects.find(trait);
    if (known != it.suspects.end())
    {
        revision_ += in_progress < known->second ? 1 : 0;
        known->second = std::min(known->second, in_progress);
        return;
    }
    auto const same_kind = std::count_if(
        it.suspects.begin(),
        it.suspects.end(),
        [&](auto const& other) { return other.first.kind == trait.kind; });
    if (static_cast<std::size_t>(same_kind) >= max_suspects)
        return;
    it.suspects.emplace(trait, in_progress);
    ++revision_;
    if (answers(trait) > 0)
        add_to(&crash_record::answered_before, it, trait);
}

void crash_evidence::merge(
    std::vector<crash_record> const& crashes, time_point now)
{
    for (crash_record const& it : crashes)
    {
        if (now - it.at >= max_age)
            continue;
        crash_record& known = find_or_add(it.run, it.at);
        if (it.confirmed)
            confirm(known);
        for (auto const& [trait, in_progress] : it.suspects)
            add_suspect(known, trait, in_progress);
        for (request_trait const& trait : it.refuted)
            add_to(&crash_record::refuted, known, trait);
        for (request_trait const& trait : it.answered_before)
            add_to(&crash_record::answered_before, known, trait);
    }
}

// Each entry finds out by itself whether a replica ended whose answers broke at
// it, so others need not know of those that did not.
std::vector<crash_record> crash_evidence::records() const
{
    std::vector<crash_record> out;
    for (auto const& [run, record] : records_)
    {
        if (record.confirmed)
            out.push_back(record);
    }
    return out;
}

bool crash_evidence::empty() const
{
    return std::none_of(
        records_.begin(),
        records_.end(),
        [](auto const& it) { return it.second.confirmed; });
}

void crash_evidence::expire(time_point now)
{
    std::erase_if(
        records_,
        [&](auto const& it)
        {
            duration const age = now - it.second.at;
            return age >= max_age ||
                   (!it.second.confirmed && age > max_confirmation_time);
        });
}

std::vector<replica_run>
crash_evidence::held_against(request_trait const& trait) const
{
    std::vector<replica_run> out;
    for (auto const& [run, record] : records_)
    {
        if (record.confirmed && is_held_against(record, trait))
            out.push_back(run);
    }
    return out;
}

bool crash_evidence::was_answered_before(request_trait const& trait) const
{
    return std::any_of(
        records_.begin(),
        records_.end(),
        [&](auto const& it)
        {
            return it.second.confirmed && is_held_against(it.second, trait) &&
                   it.second.answered_before.contains(trait);
        });
}

bool crash_evidence::is_repeated(request_traits const& traits) const
{
    return std::any_of(
        traits.begin(),
        traits.end(),
        [&](request_trait const& trait)
        {
            std::ptrdiff_t const n = std::count_if(
                records_.begin(),
                records_.end(),
                [&](auto const& it)
                { return is_held_against(it.second, trait); });
            return n > 1;
        });
}

bool crash_evidence::is_refuted(
    request_trait const& trait, replica_run const& run) const
{
    auto const it = records_.find(run);
    return it != records_.end() && it->second.refuted.contains(trait);
}

std::vector<crash_record const*> crash_evidence::confirmed_in_order() const
{
    std::vector<crash_record const*> out;
    for (auto const& [run, record] : records_)
    {
        if (record.confirmed && !record.suspects.empty())
            out.push_back(&record);
    }
    std::sort(
        out.begin(),
        out.end(),
        [](crash_record const* a, crash_record const* b)
        { return a->at < b->at; });
    return out;
}

std::vector<crash_evidence::incident>
crash_evidence::incidents_before(time_point time) const
{
    std::vector<incident> out;
    for (crash_record const* it : confirmed_in_order())
    {
        if (out.empty() || it->at - out.back().at > same_incident)
            out.push_back({it->at, {}, {}});
        for (auto const& [trait, in_progress] : it->suspects)
        {
            if (!it->refuted.contains(trait))
                out.back().suspects.insert(trait);
        }
        out.back().answered_before.insert(
            it->answered_before.begin(), it->answered_before.end());
    }
    std::erase_if(out, [&](incident const& it) { return it.at >= time; });
    return out;
}

std::map<request_trait, std::size_t>
crash_evidence::sequences_before(time_point time, trait_kind kind) const
{
    std::map<request_trait, std::size_t> out;
    std::map<request_trait, time_point> last;
    for (crash_record const* it : confirmed_in_order())
    {
        for (auto const& [trait, in_progress] : it->suspects)
        {
            bool const counts = it->at < time && trait.kind == kind &&
                                !it->refuted.contains(trait);
            if (!counts)
                continue;
            auto const before = last.find(trait);
            if (before != last.end() && it->at - in_progress < before->second)
                continue;
            last[trait] = it->at;
            ++out[trait];
        }
    }
    return out;
}

} // namespace hornbeamweir::relay
