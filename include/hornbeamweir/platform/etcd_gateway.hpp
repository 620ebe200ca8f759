#pragma once

#include <hornbeamweir/platform/platform.hpp>

#include <boost/asio/io_context.hpp>

namespace hornbeamweir
{

/// \brief Client of the JSON-over-HTTP gateway of etcd's v3 API.
/// \remarks Opens one HTTP connection per call. Calls use one
/// address until a call fails with an error other than platform_refused, then
/// the next in the list. A failed watch does not change the address.
class etcd_gateway final : public platform
{
public:
    /// \param addresses IP addresses with ports; invalid ones are ignored.
    /// \param timeout Timeout of one call, and for connecting a watch.
    etcd_gateway(
        boost::asio::io_context& context,
        std::vector<std::string> addresses,
        duration timeout);
    ~etcd_gateway() override;

    void read_prefix(std::string prefix, handler<range_reply> done) override;
    void read(std::string key, handler<range_reply> done) override;
    void commit(transaction request, handler<transaction_reply> done) override;
    void
    grant_lease(duration time_to_live, handler<std::int64_t> done) override;
    void keep_alive(std::int64_t lease, handler<duration> done) override;
    [[nodiscard]] std::unique_ptr<watch_handle> watch_prefix(
        std::string prefix,
        std::int64_t from,
        std::function<void(std::vector<watch_event>)> changed,
        std::function<void(error)> ended) override;

    /// \brief Number of calls made; a watch counts as one.
    [[nodiscard]] std::uint64_t calls() const noexcept;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace hornbeamweir
