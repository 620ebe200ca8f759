#pragma once

#include <hornbeamweir/relay/answered_traits.hpp>
#include <hornbeamweir/relay/crash_report.hpp>

#include <map>

namespace hornbeamweir::relay
{

/// \brief Crashes of replicas, as seen by this entry and reported by others.
/// \remarks Sans-I/O. Records only grow, so merging them is commutative and
/// idempotent: reports may be lost, repeated, late, and passed on by any entry.
/// Bounded; nothing is kept for longer than max_age.
class crash_evidence
{
public:
    static constexpr duration max_age = std::chrono::seconds{60};
    static constexpr std::size_t max_records = 32;
    static constexpr std::size_t max_suspects = 24;

    /// \brief Crashes at about the same moment, which may have one cause, such
    /// as a loss of power, that has nothing to do with any prompt.
    struct incident
    {
        time_point at{};
        std::set<prompt_part_id> suspects;
        std::set<prompt_part_id> answered_before;
    };

    /// \brief Records that a connection broke after the head of a response and
    /// before any data.
    /// \returns Whether this is the first one of this run of the replica.
    bool on_broken_answer(
        replica_run const& run,
        std::vector<prompt_part_id> const& parts,
        time_point now);
    /// \returns The replicas whose answers broke and that may still run.
    [[nodiscard]] std::vector<replica_run> unconfirmed() const;
    /// \brief Records that a replica was found to have ended; ignored if none
    /// of its answers broke shortly before.
    void on_ended(replica_run const& run, time_point now);
    /// \brief Records that a prompt is being answered, which takes the
    /// suspicion for the known crashes away from its parts.
    void on_answered(std::vector<prompt_part_id> const& parts, time_point now);
    /// \brief Takes the suspicion for the known crashes away from a part.
    void refute(prompt_part_id const& part);
    /// \returns How often prompts with a part were answered lately.
    [[nodiscard]] std::uint32_t answers(prompt_part_id const& part) const
    {
        return answered_.count(part);
    }

    /// \brief Adds what another entry has reported.
    void merge(std::vector<crash_record> const& crashes, time_point now);
    [[nodiscard]] std::vector<crash_record> records() const;
    void expire(time_point now);
    [[nodiscard]] bool empty() const noexcept { return records_.empty(); }

    /// \returns The confirmed incidents with suspects that began before some
    /// time, oldest first.
    [[nodiscard]] std::vector<incident> incidents_before(time_point time) const;

    /// \returns The confirmed ends that a part is suspected of.
    [[nodiscard]] std::vector<replica_run>
    held_against(prompt_part_id const& part) const;
    /// \returns Whether any of the parts is suspected of several ends,
    /// confirmed or not.
    [[nodiscard]] bool
    is_repeated(std::vector<prompt_part_id> const& parts) const;
    [[nodiscard]] bool
    is_refuted(prompt_part_id const& part, replica_run const& run) const;

    /// \brief Number that changes when another entry should be told.
    [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }

private:
    crash_record& find_or_add(replica_run const& run, time_point at);
    void confirm(crash_record& it);
    void add_suspect(crash_record& it, prompt_part_id const& part);
    void add_to(
        std::set<prompt_part_id> crash_record::*parts,
        crash_record& it,
        prompt_part_id const& part);

    std::map<replica_run, crash_record> records_;
    answered_traits answered_;
    std::uint64_t revision_ = 0;
};

} // namespace hornbeamweir::relay
