#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review
{

/// \brief Request or response head with its body; field names are lower case.
struct message
{
    /// Method and target of a request, or empty.
    std::string method;
    std::string target;
    /// Status of a response, or 0.
    unsigned status = 0;
    std::map<std::string, std::string> fields;
    std::string body;

    [[nodiscard]] std::string field(std::string const& name) const;
};

/// \brief A connected socket with blocking calls.
class connection
{
public:
    explicit connection(int descriptor)
        : descriptor_{descriptor}
    {
    }
    ~connection();
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    /// \returns Null if there is no connection within a second.
    [[nodiscard]] static std::unique_ptr<connection> open(int port);

    /// \returns Whether all bytes were accepted by the kernel.
    bool send(std::string const& bytes);
    /// \returns Empty if the connection ended before the message was complete.
    [[nodiscard]] std::optional<message> read();
    /// \brief Makes read() fail after a time without data.
    void set_timeout(int milliseconds);
    /// \brief Ends the connection; reads in other threads return.
    void shut_down();

    /// Bytes that a server sends before its next answer, see add_late_copy().
    std::string late_bytes;

private:
    [[nodiscard]] bool receive();

    int descriptor_;
    int timeout_ms_ = -1;
    std::string buffer_;
};

/// \brief Serializes a response with a length.
[[nodiscard]] std::string response_text(
    unsigned status,
    std::string const& body,
    std::vector<std::pair<std::string, std::string>> const& fields = {});

/// \brief Server on a free port of the loopback interface, with a thread per
/// connection.
class server
{
public:
    using handler = std::function<void(connection&, message const&)>;

    explicit server(handler on_request);
    ~server();
    server(server const&) = delete;
    server& operator=(server const&) = delete;

    [[nodiscard]] int port() const noexcept { return port_; }
    [[nodiscard]] std::string address() const;

private:
    void accept();
    void serve(std::shared_ptr<connection> const& peer);

    handler on_request_;
    int descriptor_ = -1;
    int port_ = 0;
    std::atomic<bool> stopped_{false};
    std::mutex mutex_;
    std::vector<std::shared_ptr<connection>> connections_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

/// \returns A port of the loopback interface that is free at the moment.
[[nodiscard]] int free_port();

/// \brief Query parameter of a target, with its percent encoding removed.
[[nodiscard]] std::string
query_parameter(std::string const& target, std::string const& name);

} // namespace review
