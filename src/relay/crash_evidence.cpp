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
        records_.erase(std::min_element(
            records_.begin(),
            records_.end(),
            [](auto const& a, auto const& b)
            { return a.second.at < b.second.at; }));
    }
    ++revision_;
    return records_.emplace(run, crash_record{run, at, false, {}, {}, {}})
        .first->second;
}

void crash_evidence::confirm(crash_record& it)
{
    revision_ += it.confirmed ? 0 : 1;
    it.confirmed = true;
}

void crash_evidence::add_to(
    std::set<prompt_part_id> crash_record::*parts,
    crash_record& it,
    prompt_part_id const& part)
{
    if ((it.*parts).size() < max_suspects && (it.*parts).insert(part).second)
        ++revision_;
}

bool crash_evidence::on_broken_answer(
    replica_run const& run,
    std::vector<prompt_part_id> const& parts,
    time_point now)
{
    crash_record& record = find_or_add(run, now);
    bool const is_first = record.suspects.empty();
    for (prompt_part_id const& it : parts)
        add_suspect(record, it);
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

void crash_evidence::refute(prompt_part_id const& part)
{
    for (auto& [run, record] : records_)
    {
        if (record.suspects.contains(part))
            add_to(&crash_record::refuted, record, part);
    }
}

void crash_evidence::on_answered(
    std::vector<prompt_part_id> const& parts, time_point now)
{
    for (prompt_part_id const& it : parts)
    {
        refute(it);
        answered_.on_answered(it, now);
    }
}

void crash_evidence::add_suspect(crash_record& it, prompt_part_id const& part)
{
    add_to(&crash_record::suspects, it, part);
    if (answered_.count(part) > 0)
        add_to(&crash_record::answered_before, it, part);
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
        for (prompt_part_id const& part : it.suspects)
            add_suspect(known, part);
        for (prompt_part_id const& part : it.refuted)
            add_to(&crash_record::refuted, known, part);
        for (prompt_part_id const& part : it.answered_before)
            add_to(&crash_record::answered_before, known, part);
    }
}

std::vector<crash_record> crash_evidence::records() const
{
    std::vector<crash_record> out;
    for (auto const& [run, record] : records_)
        out.push_back(record);
    return out;
}

void crash_evidence::expire(time_point now)
{
    std::erase_if(
        records_,
        [&](auto const& it) { return now - it.second.at >= max_age; });
}

std::vector<replica_run>
crash_evidence::held_against(prompt_part_id const& part) const
{
    std::vector<replica_run> out;
    for (auto const& [run, record] : records_)
    {
        if (record.confirmed && record.suspects.contains(part) &&
            !record.refuted.contains(part))
            out.push_back(run);
    }
    return out;
}

bool crash_evidence::is_repeated(std::vector<prompt_part_id> const& parts) const
{
    return std::any_of(
        parts.begin(),
        parts.end(),
        [&](prompt_part_id const& part)
        {
            std::ptrdiff_t const n = std::count_if(
                records_.begin(),
                records_.end(),
                [&](auto const& it)
                {
                    return it.second.suspects.contains(part) &&
                           !it.second.refuted.contains(part);
                });
            return n > 1;
        });
}

bool crash_evidence::is_refuted(
    prompt_part_id const& part, replica_run const& run) const
{
    auto const it = records_.find(run);
    return it != records_.end() && it->second.refuted.contains(part);
}

std::vector<crash_evidence::incident>
crash_evidence::incidents_before(time_point time) const
{
    std::vector<crash_record const*> ordered;
    for (auto const& [run, record] : records_)
    {
        if (record.confirmed && !record.suspects.empty())
            ordered.push_back(&record);
    }
    std::sort(
        ordered.begin(),
        ordered.end(),
        [](crash_record const* a, crash_record const* b)
        { return a->at < b->at; });
    std::vector<incident> out;
    for (crash_record const* it : ordered)
    {
        if (out.empty() || it->at - out.back().at > same_incident)
            out.push_back({it->at, {}, {}});
        std::set_difference(
            it->suspects.begin(),
            it->suspects.end(),
            it->refuted.begin(),
            it->refuted.end(),
            std::inserter(out.back().suspects, out.back().suspects.begin()));
        out.back().answered_before.insert(
            it->answered_before.begin(), it->answered_before.end());
    }
    std::erase_if(out, [&](incident const& it) { return it.at >= time; });
    return out;
}

} // namespace hornbeamweir::relay
