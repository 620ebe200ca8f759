#pragma once

#include <hornbeamweir/relay/answered_traits.hpp>
#include <hornbeamweir/relay/crash_report.hpp>

#include <array>
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
    /// Maximum suspects of a crash, of each kind.
    static constexpr std::size_t max_suspects = 24;

    /// \brief Crashes at about the same moment, which may have one cause, such
    /// as a loss of power, that has nothing to do with any request.
    struct incident
    {
        time_point at{};
        std::set<request_trait> suspects;
        std::set<request_trait> answered_before;
    };

    /// \brief Records that a connection broke before its response was complete.
    /// \param traits Those of its request that may have ended the replica.
    /// \param in_progress Time since the request was sent to it.
    /// \returns Whether this is the first one of this run of the replica.
    bool on_broken_answer(
        replica_run const& run,
        request_traits const& traits,
        duration in_progress,
        time_point now);
    /// \returns The replicas whose answers broke and that may still run.
    [[nodiscard]] std::vector<replica_run> unconfirmed() const;
    /// \brief Records that a replica was found to have ended; ignored if none
    /// of its answers broke shortly before.
    void on_ended(replica_run const& run, time_point now);
    /// \brief Records that a request is answered, which takes the suspicion for
    /// the known crashes away from its traits.
    void on_answered(request_trait const& trait, time_point now);
    /// \brief Takes the suspicion for the known crashes away from a trait.
    void refute(request_trait const& trait);
    /// \returns How often requests with a trait were answered lately.
    [[nodiscard]] std::uint32_t answers(request_trait const& trait) const
    {
        return answered_of(trait.kind).count(trait);
    }

    /// \brief Adds what another entry has reported.
    void merge(std::vector<crash_record> const& crashes, time_point now);
    /// \returns The crashes that are to be reported to other entries.
    [[nodiscard]] std::vector<crash_record> records() const;
    void expire(time_point now);
    /// \brief Whether there is nothing to report.
    [[nodiscard]] bool empty() const;

    /// \returns The confirmed incidents with suspects that began before some
    /// time, oldest first.
    [[nodiscard]] std::vector<incident> incidents_before(time_point time) const;
    /// \brief Number of confirmed ends before some time, one after the other,
    /// under requests of each trait of a kind.
    /// \remarks Replicas that ended while the same request was at both count
    /// once, as do copies of a request that were sent at the same time.
    [[nodiscard]] std::map<request_trait, std::size_t>
    sequences_before(time_point time, trait_kind kind) const;

    /// \returns The confirmed ends that a trait is suspected of.
    [[nodiscard]] std::vector<replica_run>
    held_against(request_trait const& trait) const;
    /// \returns Whether requests with a trait had been answered before any of
    /// the ends that it is suspected of.
    [[nodiscard]] bool was_answered_before(request_trait const& trait) const;
    /// \returns Whether any of the traits is suspected of several ends,
    /// confirmed or not.
    [[nodiscard]] bool is_repeated(request_traits const& traits) const;
    [[nodiscard]] bool
    is_refuted(request_trait const& trait, replica_run const& run) const;

    /// \brief Number that changes when another entry should be told.
    [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }

private:
    crash_record& find_or_add(replica_run const& run, time_point at);
    void confirm(crash_record& it);
    void add_suspect(
        crash_record& it, request_trait const& trait, duration in_progress);
    void add_to(
        std::set<request_trait> crash_record::*traits,
        crash_record& it,
        request_trait const& trait);
    /// \returns The confirmed crashes with suspects, oldest first.
    [[nodiscard]] std::vector<crash_record const*> confirmed_in_order() const;
    [[nodiscard]] answered_traits const& answered_of(trait_kind kind) const
    {
        return answered_[static_cast<std::size_t>(kind)];
    }

    std::map<replica_run, crash_record> records_;
    /// By kind, as requests are more numerous than prompt parts.
    std::array<answered_traits, enum_table<trait_kind>::rows.size()> answered_;
    std::uint64_t revision_ = 0;
};

} // namespace hornbeamweir::relay
