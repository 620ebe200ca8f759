#include <hornbeamweir/relay/group_progress.hpp>

namespace hornbeamweir::relay
{

void group_progress::on_sent(backend_server_id const& replica, time_point now)
{
    if (is_stalled(now))
        probe_interval_ *= 2;
    open_attempts& attempts = replicas_[replica];
    if (attempts.number++ == 0)
        attempts.last_sign = now;
    if (all_.number++ == 0 && !was_silent_)
        all_.last_sign = now;
    last_sent_ = now;
}

void group_progress::on_data(backend_server_id const& replica, time_point now)
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
