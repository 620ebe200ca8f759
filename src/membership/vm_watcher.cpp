#include <hornbeamweir/membership/vm_watcher.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

constexpr std::string_view vm_prefix = "/platform/vms/";

bool is_leaving(std::string const& value)
{
    boost::system::error_code ec;
    boost::json::value const document = boost::json::parse(value, ec);
    if (ec || !document.is_object())
        return false;
    boost::json::value const* const state =
        document.get_object().if_contains("state");
    return state != nullptr && state->is_string() &&
           state->get_string() == "leaving";
}

} // namespace

vm_watcher::vm_watcher(
    boost::asio::io_context& context,
    platform& source,
    std::function<void(vm_list)> on_change)
    : on_change_{std::move(on_change)}
    , watcher_{
          context,
          source,
          std::string{vm_prefix},
          [this](range_reply const& reply) { on_snapshot(reply); },
          [this](std::vector<watch_event> const& events) { on_events(events); }}
{
}

void vm_watcher::on_snapshot(range_reply const& reply)
{
    leaving_.clear();
    for (auto it = reply.values.begin(); it != reply.values.end(); ++it)
        update_vm(it->first, it->second.value);
    revision_ = std::max(revision_, reply.revision);
    publish();
}

// A deleted VM has an empty value and is no longer leaving; the state of its
// agent then depends on heartbeats.
void vm_watcher::on_events(std::vector<watch_event> const& events)
{
    // Deletions carry no revision, and receivers ignore a list whose revision
    // is not newer.
    ++revision_;
    for (watch_event const& it : events)
    {
        update_vm(it.key, it.value ? it.value->value : std::string{});
        if (it.value)
            revision_ = std::max(revision_, it.value->modify_revision);
    }
    publish();
}

void vm_watcher::update_vm(std::string const& key, std::string const& value)
{
    vm_id const id{key.substr(vm_prefix.size())};
    if (is_leaving(value))
        leaving_.insert(id);
    else
        leaving_.erase(id);
}

void vm_watcher::publish()
{
    on_change_(vm_list{revision_, leaving_});
}

} // namespace hornbeamweir
