#pragma once

#include <hornbeamweir/core/identifier.hpp>
#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/replicas/evacuation_register.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace hornbeamweir
{

/// \brief What an entry knows from the platform's store, and when it was the
/// newest there.
struct known_state
{
    std::uint64_t configuration_version = 0;
    time_point configuration_as_of{};
    std::uint64_t replicas_hash = 0;
    time_point replicas_as_of{};
    /// As in the store, and what it has lost; see evacuation_register.
    evacuations evacuated{};
    evacuation_register::retained_map retained{};
};

/// \brief known_state as sent to another process: ages instead of times.
struct state_answer
{
    std::uint64_t nonce = 0;
    std::uint64_t configuration_version = 0;
    duration configuration_age{};
    std::uint64_t replicas_hash = 0;
    duration replicas_age{};
    /// As in the store, and what it has lost; see evacuation_register.
    evacuations evacuated{};
    evacuation_register::retained_map retained{};
};

/// \brief Lets most entries of a large fleet ask a few others whether their
/// state is the newest, instead of reading it from the platform's store.
/// \remarks Sans-I/O. What is confirmed holds without synchronized clocks and
/// whatever the delay of messages: an age is counted from when the question was
/// sent. An entry that gets no answer, or one that differs, reads for itself.
class state_sharing
{
public:
    /// \brief What the entry is to do.
    struct step
    {
        /// Question to be sent to another entry.
        std::optional<process_name> ask;
        std::uint64_t nonce = 0;
        bool read_configuration = false;
        bool read_replicas = false;
        /// Times at which the own state was the newest.
        std::optional<time_point> configuration_confirmed;
        std::optional<time_point> replicas_confirmed;
        /// Reason of a read, for the log.
        char const* reason = "";
    };

    explicit state_sharing(process_name self)
        : self_{std::move(self)}
    {
    }

    /// \brief Sets the other entries; the first of all by name are readers.
    void set_peers(std::vector<process_name> const& peers);

    /// \brief Whether this entry reads its state from the store continuously.
    [[nodiscard]] bool is_reader() const noexcept { return is_reader_; }
    /// \brief Whether the fleet is large enough for some entries to ask others.
    [[nodiscard]] bool is_shared() const noexcept { return !readers_.empty(); }

    [[nodiscard]] step on_tick(time_point now);

    /// \param own What this entry knows.
    [[nodiscard]] step on_answer(
        state_answer const& answer, known_state const& own, time_point now);

    /// \brief Asks soon, as another entry has newer state.
    void on_hint() noexcept { next_question_ = {}; }

    [[nodiscard]] static state_answer
    answer_of(known_state const& own, std::uint64_t nonce, time_point now);

private:
    process_name self_;
    std::vector<process_name> readers_;
    bool is_reader_ = true;
    /// Reader that is asked.
    std::size_t chosen_ = 0;
    std::uint64_t last_nonce_ = 0;
    /// When the unanswered question was sent.
    std::optional<time_point> asked_at_;
    time_point next_question_{};
};

} // namespace hornbeamweir
