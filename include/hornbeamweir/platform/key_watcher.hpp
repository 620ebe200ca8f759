#pragma once

#include <hornbeamweir/platform/platform.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace hornbeamweir
{

/// \brief Reads all keys with a prefix, then watches for changes.
/// \remarks After a failed read or watch it reads them all again, after a short
/// delay.
class key_watcher
{
public:
    /// \param snapshot Called with all keys after each complete read.
    /// \param changed Called with the changes that follow.
    key_watcher(
        boost::asio::io_context& context,
        platform& service,
        std::string prefix,
        std::function<void(range_reply const&)> snapshot,
        std::function<void(std::vector<watch_event> const&)> changed);
    key_watcher(key_watcher const&) = delete;
    key_watcher& operator=(key_watcher const&) = delete;
    ~key_watcher();

    void start();

private:
    void on_read(result<range_reply> const& reply);
    void watch(std::int64_t from);
    void restart_later();

    platform& platform_;
    boost::asio::steady_timer timer_;
    std::string prefix_;
    std::function<void(range_reply const&)> snapshot_;
    std::function<void(std::vector<watch_event> const&)> changed_;
    std::unique_ptr<watch_handle> watch_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace hornbeamweir
