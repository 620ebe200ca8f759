#pragma once

#include <hornbeamweir/core/identifier.hpp>
#include <hornbeamweir/core/time.hpp>

#include <cstdint>
#include <map>

namespace hornbeamweir::relay
{

/// \brief Detects that replicas in lock-step have stalled, from the responses
/// to this entry's attempts, and limits what is sent to them.
/// \remarks Sans-I/O. Answers the load of a stalled group: what is sent to it
/// can be neither moved nor rejected, and is executed once the group resumes,
/// even if its caller has left.
class group_progress
{
public:
    /// \param max_silence Time without a response to any attempt, after
    /// which a replica counts as stalled.
    explicit group_progress(duration max_silence) noexcept
        : max_silence_{max_silence}
        , probe_interval_{max_silence}
    {
    }

    void set_max_silence(duration max_silence) noexcept
    {
        max_silence_ = max_silence;
    }

    void on_sent(backend_server_id const& replica, time_point now);
    void on_response(backend_server_id const& replica, time_point now);
    void on_ended(backend_server_id const& replica, time_point now);
    /// \brief Records that a replica says that it serves, by another way than
    /// a response.
    void on_serving(backend_server_id const& replica);

    /// \brief Whether a replica may get a request.
    /// \returns False if its attempts get no response, or got none until their
    /// end and it has not been heard since. While no replica responds, single
    /// requests to any are permitted at growing intervals, to find out when
    /// they resume.
    [[nodiscard]] bool
    may_send(backend_server_id const& replica, time_point now) const;

    /// \brief Whether no replica responds.
    [[nodiscard]] bool is_stalled(time_point now) const
    {
        return all_.ended_silent || is_silent(all_, now);
    }

private:
    /// Attempts at one replica, or at all.
    struct open_attempts
    {
        std::uint32_t number = 0;
        /// Last response, or the start of the first open attempt.
        time_point last_sign{};
        /// Whether there was no response when the last attempt ended.
        bool ended_silent = false;
    };

    [[nodiscard]] duration max_exclusion() const noexcept;
    [[nodiscard]] bool
    is_silent(open_attempts const& attempts, time_point now) const
    {
        return attempts.number > 0 && now - attempts.last_sign > max_silence_;
    }

    duration max_silence_;
    /// Replicas with open attempts, and those that were silent until the end
    /// of their attempts.
    std::map<backend_server_id, open_attempts> replicas_;
    open_attempts all_;
    time_point last_sent_{};
    /// Time without a request while no replica responds.
    duration probe_interval_;
};

} // namespace hornbeamweir::relay
