#pragma once

#include <hornbeamweir/transport/zmq_endpoint.hpp>

#include <cstdint>
#include <set>
#include <string>

namespace hornbeamweir
{

/// \brief Authenticates connections by their CURVE public key, as the ZAP
/// handler of a ZeroMQ context (ZeroMQ RFC 27).
/// \remarks Each context needs one, created before its first bind.
class curve_authenticator
{
public:
    /// \param allowed_keys Public keys in Z85.
    curve_authenticator(
        boost::asio::io_context& context,
        zmq::context_t& zmq_context,
        std::vector<std::string> const& allowed_keys);
    curve_authenticator(curve_authenticator const&) = delete;
    curve_authenticator& operator=(curve_authenticator const&) = delete;
    ~curve_authenticator();

    /// \brief Returns the number of rejected connections.
    [[nodiscard]] std::uint64_t rejected() const noexcept { return rejected_; }

private:
    void on_request(zmq_endpoint::frames request);

    std::set<std::string> allowed_;
    std::uint64_t rejected_ = 0;
    std::shared_ptr<zmq_endpoint> endpoint_;
};

} // namespace hornbeamweir
