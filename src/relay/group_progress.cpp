#include <hornbeamweir/relay/group_progress.hpp>

#include <algorithm>

namespace hornbeamweir::relay
{

namespace
{

/// Maximum time without a request, as a multiple of max_silence. A longer one
/// would delay the return of a service after a long outage.
constexpr int max_probe_factor = 4;
/// Time for which a silent replica gets no requests, as a multiple of
/// max_silence, unless it is heard: what is sent to a suspended VM is executed
/// when it resumes. Suspensions last for seconds.
constexpr int max_exclusion_factor = 20;

} // namespace

duration group_progress::max_exclusion() const noexcept
{
    return max_exclusion_factor * max_silence_;
}

void group_progress::on_sent(backend_server_id const& replica, time_point now)
{
    std::erase_if(
        replicas_,
        [&](auto const& it)
        {
            return it.second.number == 0 &&
                   now - it.second.last_sign > max_exclusion();
        });
    if (is_stalled(now))
        probe_interval_ =
            std::min(2 * probe_interval_, max_probe_factor * max_silence_);
    open_attempts& attempts = replicas_[replica];
    if (attempts.number++ == 0)
        attempts.last_sign = now;
    if (all_.number++ == 0 && !all_.ended_silent)
        all_.last_sign = now;
    last_sent_ = now;
}

void group_progress::on_response(
    backend_server_id const& replica, time_point now)
{
    auto const it = replicas_.find(replica);
    if (it != replicas_.end())
    {
        it->second.last_sign = now;
        it->second.ended_silent = false;
    }
    all_.last_sign = now;
    all_.ended_silent = false;
    probe_interval_ = max_silence_;
}

void group_progress::on_ended(backend_server_id const& replica, time_point now)
{
    auto const it = replicas_.find(replica);
    if (it == replicas_.end() || it->second.number == 0)
        return;
    open_attempts& attempts = it->second;
    bool const all_silent = is_stalled(now);
    all_.ended_silent = all_silent;
    --all_.number;
    // While the whole group is stalled, silence says nothing about a replica.
    if (!all_silent && is_silent(attempts, now))
        attempts.ended_silent = true;
    if (--attempts.number == 0 && !attempts.ended_silent)
        replicas_.erase(it);
}

void group_progress::on_serving(backend_server_id const& replica)
{
    auto const it = replicas_.find(replica);
    if (it != replicas_.end() && it->second.number == 0)
        replicas_.erase(it);
}

bool group_progress::may_send(
    backend_server_id const& replica, time_point now) const
{
    if (is_stalled(now) && now - last_sent_ <= probe_interval_)
        return false;
    auto const it = replicas_.find(replica);
    if (it == replicas_.end())
        return true;
    open_attempts const& attempts = it->second;
    if (attempts.number == 0)
        return now - attempts.last_sign > max_exclusion();
    return !is_silent(attempts, now);
}

} // namespace hornbeamweir::relay
