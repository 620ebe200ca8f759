#pragma once

#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/platform/platform.hpp>

namespace hornbeamweir
{

/// \brief Changes to keys after a revision.
struct change_batch
{
    std::vector<watch_event> events;
    /// Revision up to which the events are complete.
    std::int64_t revision = 0;
    /// Era of the revisions. If it is not that of the revision after which
    /// changes were requested, events may be missing.
    std::uint64_t era = 0;

    [[nodiscard]] store_position position() const noexcept
    {
        return {era, revision};
    }
    [[nodiscard]] friend bool
    operator==(change_batch const&, change_batch const&) = default;
};

/// \brief Polls for changes; each call waits for a bounded time (long polling).
/// \remarks A reply without events confirms that nothing had changed when the
/// wait ended. A watch without events does not: it may be disconnected.
class change_poller
{
public:
    template <typename T>
    using handler = std::function<void(result<T>)>;

    change_poller() = default;
    change_poller(change_poller const&) = delete;
    change_poller& operator=(change_poller const&) = delete;
    virtual ~change_poller() = default;

    /// \brief Reads the changes to the keys with a prefix.
    /// \param after Revision after which changes are reported.
    /// \param wait Maximum wait if there are no changes yet.
    /// \param done Receives revision_conflict if the store no longer has the
    /// history since the revision.
    virtual void poll_changes(
        std::string prefix,
        std::int64_t after,
        duration wait,
        handler<change_batch> done) = 0;
};

} // namespace hornbeamweir
