#pragma once

#include <hornbeamweir/core/enum_table.hpp>
#include <hornbeamweir/relay/crash_evidence.hpp>
#include <hornbeamweir/relay/trait_policy.hpp>

#include <optional>

namespace hornbeamweir::relay
{

/// \brief Finds traits of requests that crash replicas, and keeps such requests
/// away from replicas.
/// \remarks Sans-I/O. A prompt part is blamed if replicas ended in several
/// incidents in a row as they began to answer prompts with it; a request, if
/// several replicas ended one after the other as they ran it. In both cases no
/// replica has answered a request with the trait since. All entries judge alike
/// from the same evidence, and adopt each other's blames. A blame ends as soon
/// as a request with the trait is answered, if another trait explains more
/// crashes, or after some minutes. Once a trait has been blocked for a time,
/// one entry after the other may send a single request with it.
class request_quarantine
{
public:
    static constexpr std::size_t max_blames = 32;
    /// First time for which a trait is blocked; tripled by each probe that
    /// crashes a replica.
    static constexpr duration first_block = std::chrono::seconds{30};
    static constexpr duration max_block = std::chrono::seconds{270};
    /// Time after which a blame that no request has tried ends by itself.
    static constexpr duration max_idle = std::chrono::seconds{300};

    enum class change
    {
        blamed,
        adopted,
        probe_crashed,
        answered,
        explained_by_other,
        expired
    };

    /// \brief A changed belief, to be logged.
    struct decision
    {
        change kind = change::blamed;
        trait_blame blame;
        /// Incidents, or ends of replicas, that spoke for the blame; 0 if it
        /// ends.
        std::size_t incidents = 0;
    };

    /// \brief Whether a new request may be sent to a replica.
    struct verdict
    {
        /// The trait for which it may not; empty if it may.
        std::optional<request_trait> blocked_trait;
        /// Time after which the trait may be tried.
        duration retry_after{};
        /// Whether the request is sent to try a blocked trait.
        bool is_probe = false;
    };

    /// \brief Sets the name of this entry and the other entries, of which one
    /// at a time may try a blocked trait.
    void set_entries(process_name self, std::vector<process_name> others);

    [[nodiscard]] crash_evidence& evidence() noexcept { return evidence_; }
    [[nodiscard]] crash_evidence const& evidence() const noexcept
    {
        return evidence_;
    }

    [[nodiscard]] verdict admit(request_traits const& traits, time_point now);
    /// \brief Whether a request must not be sent, unless it is a probe.
    [[nodiscard]] bool is_blocked(request_traits const& traits) const;

    /// \brief Records how far a replica has answered a request.
    void on_answered(
        request_traits const& traits, answer_progress progress, time_point now);
    /// \brief Records that a replica ended as it ran a probe.
    void on_probe_crashed(request_traits const& suspects, time_point now);

    /// \brief Judges the evidence.
    /// \returns What has changed since the last call.
    [[nodiscard]] std::vector<decision> on_tick(time_point now);

    [[nodiscard]] crash_report report() const;
    /// \brief Whether there is nothing to report.
    [[nodiscard]] bool empty() const noexcept
    {
        return evidence_.empty() && blames_.empty();
    }
    void merge(crash_report const& other, time_point now);
    /// \brief Number that changes when another entry should be told.
    [[nodiscard]] std::uint64_t revision() const noexcept
    {
        return revision_ + evidence_.revision();
    }

private:
    /// Traits with the indices of the incidents that speak against them.
    using suspicion = std::map<request_trait, std::set<std::size_t>>;

    /// Blames requests under which replicas ended one after the other.
    void find_requests(time_point now);
    [[nodiscard]] bool is_explained_by_part(request_trait const& request) const;
    void drop_parts_explained_by(request_trait const& request);
    /// Blames the prompt part that explains the incidents best.
    void find_part(
        std::vector<crash_evidence::incident> const& incidents, time_point now);
    /// \returns Whether one was blamed.
    [[nodiscard]] bool blame_best(
        suspicion const& candidates, suspicion const& all, time_point now);
    void blame_best_answered(
        suspicion const& candidates, suspicion const& all, time_point now);
    [[nodiscard]] std::size_t unexplained(
        std::set<std::size_t> const& against, suspicion const& all) const;
    void
    blame(request_trait const& trait, std::size_t incidents, time_point now);
    /// Ends blames for crashes that a trait with more of them explains.
    void drop_explained(request_trait const& culprit, suspicion const&);
    void end(trait_blame& it, change reason);
    /// Ends blames for crashes after which an answer was reported late.
    void end_refuted();
    void make_room(std::size_t wanted);
    [[nodiscard]] trait_blame const* find_active(request_trait const&) const;
    [[nodiscard]] bool may_probe(trait_blame const& it, time_point now) const;

    std::optional<time_point> started_at_;
    process_name self_;
    std::vector<process_name> others_;
    crash_evidence evidence_;
    /// Also those that have ended, so that no late report revives them.
    std::map<request_trait, trait_blame> blames_;
    /// Crashes for which this entry has blamed a trait.
    std::map<request_trait, std::vector<replica_run>> grounds_;
    std::vector<decision> decisions_;
    std::uint64_t revision_ = 0;
};

} // namespace hornbeamweir::relay

namespace hornbeamweir
{

template <>
struct enum_table<relay::request_quarantine::change>
{
    using change = relay::request_quarantine::change;
    static constexpr std::array<enum_name<change>, 6> rows{
        {{change::blamed, "blamed"},
         {change::adopted, "adopted"},
         {change::probe_crashed, "probe_crashed"},
         {change::answered, "answered"},
         {change::explained_by_other, "explained_by_other"},
         {change::expired, "expired"}}};
};

} // namespace hornbeamweir
