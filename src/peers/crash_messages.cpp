#include <hornbeamweir/peers/crash_messages.hpp>
#include <hornbeamweir/relay/request_quarantine.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

using relay::crash_evidence;
using relay::request_quarantine;

template <typename Names>
std::set<prompt_part_id> decode_parts(Names const& names)
{
    std::set<prompt_part_id> out;
    for (std::string const& it : names)
    {
        if (!it.empty() && out.size() < crash_evidence::max_suspects)
            out.emplace(it);
    }
    return out;
}

} // namespace

wire::crash_report
encode_crash_report(relay::crash_report const& report, time_point now)
{
    wire::crash_report out;
    for (relay::crash_record const& it : report.crashes)
    {
        wire::crash& crash = *out.add_crashes();
        crash.set_replica(it.run.replica.str());
        crash.set_registration_revision(it.run.registration_revision);
        crash.set_age_us(static_cast<std::uint64_t>(
            std::max(now - it.at, duration::zero()).count()));
        crash.set_confirmed(it.confirmed);
        for (prompt_part_id const& part : it.suspects)
            crash.add_suspects(part.str());
        for (prompt_part_id const& part : it.refuted)
            crash.add_refuted(part.str());
        for (prompt_part_id const& part : it.answered_before)
            crash.add_answered_before(part.str());
    }
    for (relay::trait_blame const& it : report.blames)
    {
        wire::trait_blame& blame = *out.add_blames();
        blame.set_part(it.part.str());
        blame.set_generation(it.generation);
        blame.set_ended(it.ended);
        blame.set_level(it.level);
        blame.set_probes(it.probes);
        blame.set_blocked_for_us((it.blocked_until - now).count());
    }
    return out;
}

relay::crash_report
decode_crash_report(wire::crash_report const& message, time_point now)
{
    relay::crash_report out;
    std::int64_t const max_age = crash_evidence::max_age.count();
    for (wire::crash const& it : message.crashes())
    {
        if (it.replica().empty() ||
            out.crashes.size() >= crash_evidence::max_records)
            continue;
        duration const age{static_cast<duration::rep>(std::min<std::uint64_t>(
            it.age_us(), static_cast<std::uint64_t>(max_age)))};
        out.crashes.push_back(
            {{backend_server_id{it.replica()}, it.registration_revision()},
             now - age,
             it.confirmed(),
             decode_parts(it.suspects()),
             decode_parts(it.refuted()),
             decode_parts(it.answered_before())});
    }
    std::int64_t const max_block =
        duration{request_quarantine::max_block}.count();
    std::int64_t const max_idle =
        duration{request_quarantine::max_idle}.count();
    for (wire::trait_blame const& it : message.blames())
    {
        if (it.part().empty() ||
            out.blames.size() >= request_quarantine::max_blames)
            continue;
        duration const left{
            std::clamp(it.blocked_for_us(), -2 * max_idle, max_block)};
        out.blames.push_back(
            {prompt_part_id{it.part()},
             it.generation(),
             it.ended(),
             it.level(),
             it.probes(),
             now + left});
    }
    return out;
}

} // namespace hornbeamweir
