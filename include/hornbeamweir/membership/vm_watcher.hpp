#pragma once

#include <hornbeamweir/membership/vm_list.hpp>
#include <hornbeamweir/platform/key_watcher.hpp>

namespace hornbeamweir
{

/// \brief Watches the platform's list of VMs and reports those that are
/// leaving.
class vm_watcher
{
public:
    /// \param on_change Receives the complete new list after each change.
    vm_watcher(
        boost::asio::io_context& context,
        platform& source,
        std::function<void(vm_list)> on_change);

    void start() { watcher_.start(); }

private:
    void on_snapshot(range_reply const& reply);
    void on_events(std::vector<watch_event> const& events);
    void update_vm(std::string const& key, std::string const& value);
    void publish();

    std::function<void(vm_list)> on_change_;
    std::int64_t revision_ = 0;
    std::set<vm_id> leaving_;
    key_watcher watcher_;
};

} // namespace hornbeamweir
