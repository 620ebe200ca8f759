#pragma once

#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/platform/platform.hpp>

namespace hornbeamweir
{

/// \brief Changes to keys since a revision.
struct change_batch
{
    std::vector<watch_event> events;
    /// Revision up to which the events are complete.
    std::int64_t revision = 0;

    [[nodiscard]] friend bool
    operator==(change_batch const&, change_batch const&) = default;
};

/// \brief Waits for changes, for a bounded time at a call.
/// \remarks An answer without events proves that nothing had changed when the
/// wait ended, which a watch that stays silent does not.
class change_poller
{
public:
    template <typename T>
    using handler = std::function<void(result<T>)>;

    change_poller() = default;
    change_poller(change_poller const&) = delete;
    change_poller& operator=(change_poller const&) = delete;
    virtual ~change_poller() = default;

    /// \brief Answers as soon as there are changes, and after a time at the
    /// latest.
    /// \remarks revision_conflict means that the history since the revision is
    /// no longer there.
    virtual void poll_changes(
        std::string prefix,
        std::int64_t after,
        duration wait,
        handler<change_batch> done) = 0;
};

} // namespace hornbeamweir
