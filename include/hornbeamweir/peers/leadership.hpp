#pragma once

#include <hornbeamweir/core/random_source.hpp>
#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/platform/platform.hpp>
#include <hornbeamweir/telemetry/event_log.hpp>

namespace hornbeamweir
{

/// \brief Holds one duty for at most one process at a time, by a lease in the
/// platform's store.
/// \remarks Instants come from a clock that counts suspension, so that a
/// process that was suspended past its lease knows it.
class leadership
{
public:
    using clock_function = time_point (*)() noexcept;

    leadership(
        platform& service,
        event_log& log,
        clock_function clock,
        random_source random,
        std::string holder);
    leadership(leadership const&) = delete;
    leadership& operator=(leadership const&) = delete;
    ~leadership() = default;

    /// \brief Names the key that stands for the duty.
    void set_key(std::string key);

    /// \brief Writes what later holders are to know of this one.
    void write_record(std::string record);

    /// \brief Whether the record of this holder has been written.
    [[nodiscard]] bool recorded() const noexcept { return recorded_; }

    /// \brief Returns the record that was found when the duty was taken.
    [[nodiscard]] std::string const& previous_record() const noexcept
    {
        return previous_record_;
    }

    /// \brief Notes that another process holds the duty.
    void on_heard_leader();

    /// \brief Notes that the holder has given the duty up.
    void on_leader_left();

    /// \brief Gives the duty up, for a holder with a newer fence.
    void resign();

    /// \brief Gives the duty up for good, so that another process takes it at
    /// once.
    void leave();

    /// \brief Whether a call to the store is in progress.
    [[nodiscard]] bool busy() const noexcept { return busy_; }

    /// \brief Whether the lease has certainly not lapsed.
    [[nodiscard]] bool leading() const;

    /// \brief Revision at which the duty was taken; rises with each holder.
    [[nodiscard]] std::uint64_t fence() const noexcept { return fence_; }

    /// \brief Campaigns and renews as it is due.
    void on_tick();

private:
    void campaign();
    void on_read(result<range_reply> const& reply);
    void on_granted(result<std::int64_t> const& lease, time_point asked);
    void on_committed(result<transaction_reply> const& reply, time_point asked);
    void keep();
    void wait(duration least);

    platform& platform_;
    event_log& log_;
    clock_function clock_;
    random_source random_;
    std::string holder_;
    std::string key_;
    std::string previous_record_;
    /// Revision of that record; 0 if there was none.
    std::int64_t previous_revision_ = 0;
    bool recorded_ = false;
    std::int64_t lease_ = 0;
    std::uint64_t fence_ = 0;
    time_point valid_until_{};
    time_point next_action_{};
    bool busy_ = false;
    bool left_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace hornbeamweir
