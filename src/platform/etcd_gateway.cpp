#include <hornbeamweir/core/socket_address.hpp>
#include <hornbeamweir/platform/etcd_gateway.hpp>
#include <hornbeamweir/platform/etcd_json.hpp>

#include "gateway_call.hpp"
#include "gateway_watch.hpp"

#include <boost/asio/post.hpp>

namespace hornbeamweir
{

namespace
{

namespace asio = boost::asio;

using tcp = boost::asio::ip::tcp;

class gateway_watch_handle final : public watch_handle
{
public:
    explicit gateway_watch_handle(std::shared_ptr<gateway_watch> watch) noexcept
        : watch_{std::move(watch)}
    {
    }
    ~gateway_watch_handle() override { watch_->stop(); }

private:
    std::shared_ptr<gateway_watch> watch_;
};

} // namespace

class etcd_gateway::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(
        asio::io_context& context,
        std::vector<std::string> const& addresses,
        duration timeout)
        : context_{context}
        , timeout_{timeout}
    {
        for (std::string const& address : addresses)
        {
            if (std::optional<tcp::endpoint> const it = tcp_endpoint(address))
                endpoints_.push_back(*it);
        }
    }

    /// \param decode Converts the reply's JSON to the handler's type.
    template <typename T, typename Decode>
    void call(
        std::string const& target,
        boost::json::object body,
        handler<T> done,
        Decode decode)
    {
        ++calls_;
        if (endpoints_.empty())
        {
            asio::post(
                context_,
                [done = std::move(done)] {
                    done(failure(
                        result_code::platform_unavailable, "no address"));
                });
            return;
        }
        json_handler const finish = [self = shared_from_this(),
                                     done = std::move(done),
                                     decode](result<boost::json::object> reply)
        {
            self->rotate_on_failure(reply);
            done(reply.and_then(decode));
        };
        std::make_shared<gateway_call>(
            context_, make_gateway_request(target, body), finish)
            ->start(endpoints_[endpoint_index_ % endpoints_.size()], timeout_);
    }

    std::unique_ptr<watch_handle> watch(
        boost::json::object body,
        std::function<void(std::vector<watch_event>)> changed,
        std::function<void(error)> ended)
    {
        ++calls_;
        std::shared_ptr<gateway_watch> const call =
            std::make_shared<gateway_watch>(
                context_,
                make_gateway_request("/v3/watch", body),
                std::move(changed),
                std::move(ended));
        if (!endpoints_.empty())
            call->start(
                endpoints_[endpoint_index_ % endpoints_.size()], timeout_);
        return std::make_unique<gateway_watch_handle>(call);
    }

    [[nodiscard]] std::uint64_t calls() const noexcept { return calls_; }

private:
    void rotate_on_failure(result<boost::json::object> const& reply) noexcept
    {
        if (!reply && reply.error().code != result_code::platform_refused)
            ++endpoint_index_;
    }

    asio::io_context& context_;
    duration timeout_;
    std::vector<tcp::endpoint> endpoints_;
    std::size_t endpoint_index_ = 0;
    std::uint64_t calls_ = 0;
};

etcd_gateway::etcd_gateway(
    asio::io_context& context,
    std::vector<std::string> addresses,
    duration timeout)
    : impl_{std::make_shared<impl>(context, addresses, timeout)}
{
}

etcd_gateway::~etcd_gateway() = default;

std::uint64_t etcd_gateway::calls() const noexcept
{
    return impl_->calls();
}

void etcd_gateway::read_prefix(std::string prefix, handler<range_reply> done)
{
    impl_->call(
        "/v3/kv/range",
        etcd::encode_prefix_range(prefix),
        std::move(done),
        etcd::decode_range);
}

void etcd_gateway::read(std::string key, handler<range_reply> done)
{
    impl_->call(
        "/v3/kv/range",
        etcd::encode_range(key),
        std::move(done),
        etcd::decode_range);
}

void etcd_gateway::commit(transaction request, handler<transaction_reply> done)
{
    impl_->call(
        "/v3/kv/txn",
        etcd::encode_transaction(request),
        std::move(done),
        etcd::decode_transaction);
}

void etcd_gateway::grant_lease(
    duration time_to_live, handler<std::int64_t> done)
{
    boost::json::object body;
    body["TTL"] = std::to_string(
        std::chrono::ceil<std::chrono::seconds>(time_to_live).count());
    impl_->call(
        "/v3/lease/grant",
        std::move(body),
        std::move(done),
        [](boost::json::object const& reply) -> result<std::int64_t>
        { return etcd::number_member(reply, "ID"); });
}

void etcd_gateway::keep_alive(std::int64_t lease, handler<duration> done)
{
    boost::json::object body;
    body["ID"] = std::to_string(lease);
    impl_->call(
        "/v3/lease/keepalive",
        std::move(body),
        std::move(done),
        [](boost::json::object const& reply) -> result<duration>
        {
            boost::json::value const* const it = reply.if_contains("result");
            std::int64_t const ttl =
                it != nullptr && it->is_object()
                    ? etcd::number_member(it->get_object(), "TTL")
                    : 0;
            if (ttl <= 0)
                return failure(
                    result_code::platform_refused, "the lease has expired");
            return duration{std::chrono::seconds{ttl}};
        });
}

std::unique_ptr<watch_handle> etcd_gateway::watch_prefix(
    std::string prefix,
    std::int64_t from,
    std::function<void(std::vector<watch_event>)> changed,
    std::function<void(error)> ended)
{
    return impl_->watch(
        etcd::encode_watch(prefix, from), std::move(changed), std::move(ended));
}

} // namespace hornbeamweir
