#include <hornbeamweir/relay/group_progress.hpp>

#include <algorithm>

namespace hornbeamweir::relay
{

namespace
{

/// Maximum time without a request, as a multiple of max_silence. A longer one
/// would delay the return of a service after a long outage.
constexpr int max_probe_factor = 4;

} // namespace

void group_progress::on_sent(backend_server_id const& replica, time_point now)
{
    if (is_stalled(now))
        probe_interval_ =
            std::min(2 * probe_interval_, max_probe_factor * max_silence_);
    open_attempts& attempts = replicas_[replica];
    if (attempts.number++ == 0)
        attempts.last_sign = now;
    if (all_.number++ == 0 && !was_silent_)
        all_.last_sign = now;
    last_sent_ = now;
}

void group_progress::on_response(
    backend_server_id const& replica, time_point now)
{
    auto const it = replicas_.find(replica);
    if (it != replicas_.end())
        it->second.last_sign = now;
    all_.last_sign = now;
    was_silent_ = false;
    probe_interval_ = max_silence_;
}

void group_progress::on_ended(backend_server_id const& replica, time_point now)
{
    auto const it = replicas_.find(replica);
    if (it == replicas_.end())
        return;
    was_silent_ = is_stalled(now);
    --all_.number;
    if (--it->second.number == 0)
        replicas_.erase(it);
}

bool group_progress::may_send(
    backend_server_id const& replica, time_point now) const
{
    if (is_stalled(now) && now - last_sent_ <= probe_interval_)
        return false;
    auto const it = replicas_.find(replica);
    return it == replicas_.end() || !is_silent(it->second, now);
}

} // namespace hornbeamweir::relay
