#include <hornbeamweir/peers/crash_messages.hpp>
#include <hornbeamweir/relay/request_quarantine.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

using relay::crash_evidence;
using relay::request_quarantine;

wire::request_trait encode_trait(relay::request_trait const& it)
{
    wire::request_trait out;
    out.set_kind(static_cast<wire::request_trait::trait_kind>(it.kind));
    out.set_value(it.value);
    return out;
}

/// \returns Empty if the kind is unknown, or the value has no usual size.
std::optional<relay::request_trait>
decode_trait(wire::request_trait const& message)
{
    constexpr std::size_t max_value_bytes = 64;
    bool const is_valid =
        wire::request_trait::trait_kind_IsValid(message.kind()) &&
        !message.value().empty() && message.value().size() <= max_value_bytes;
    if (!is_valid)
        return std::nullopt;
    return relay::request_trait{
        static_cast<relay::trait_kind>(message.kind()), message.value()};
}

void decode_suspects(wire::crash const& message, relay::crash_record& out)
{
    constexpr std::size_t max_suspects =
        crash_evidence::max_suspects *
        enum_table<relay::trait_kind>::rows.size();
    std::uint64_t const max_age =
        static_cast<std::uint64_t>(duration{crash_evidence::max_age}.count());
    for (wire::crash_suspect const& it : message.suspects())
    {
        std::optional<relay::request_trait> const trait =
            decode_trait(it.trait());
        if (!trait || out.suspects.size() >= max_suspects)
            continue;
        out.suspects[*trait] = duration{static_cast<duration::rep>(
            std::min<std::uint64_t>(it.in_progress_us(), max_age))};
        if (it.refuted())
            out.refuted.insert(*trait);
        if (it.answered_before())
            out.answered_before.insert(*trait);
    }
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
        for (auto const& [trait, in_progress] : it.suspects)
        {
            wire::crash_suspect& suspect = *crash.add_suspects();
            *suspect.mutable_trait() = encode_trait(trait);
            suspect.set_in_progress_us(
                static_cast<std::uint64_t>(in_progress.count()));
            suspect.set_refuted(it.refuted.contains(trait));
            suspect.set_answered_before(it.answered_before.contains(trait));
        }
    }
    for (relay::trait_blame const& it : report.blames)
    {
        wire::trait_blame& blame = *out.add_blames();
        *blame.mutable_trait() = encode_trait(it.trait);
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
        relay::crash_record& decoded = out.crashes.emplace_back();
        decoded.run = {
            backend_server_id{it.replica()}, it.registration_revision()};
        decoded.at = now - age;
        decoded.confirmed = it.confirmed();
        decode_suspects(it, decoded);
    }
    std::int64_t const max_block =
        duration{request_quarantine::max_block}.count();
    std::int64_t const max_idle =
        duration{request_quarantine::max_idle}.count();
    for (wire::trait_blame const& it : message.blames())
    {
        std::optional<relay::request_trait> const trait =
            decode_trait(it.trait());
        if (!trait || out.blames.size() >= request_quarantine::max_blames)
            continue;
        duration const left{
            std::clamp(it.blocked_for_us(), -2 * max_idle, max_block)};
        out.blames.push_back(
            {*trait,
             it.generation(),
             it.ended(),
             it.level(),
             it.probes(),
             now + left});
    }
    return out;
}

} // namespace hornbeamweir
