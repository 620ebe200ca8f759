#pragma once

#include <hornbeamweir/transport/message_socket.hpp>

#include "test/support/child_process.hpp"
#include "test/support/http_client.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace test
{

/// \brief Runs a small deployment as real processes on the loopback interface:
/// platform, one engine group, services, entries and agents.
class deployment
{
public:
    struct sizes
    {
        int entries = 2;
        int ranks = 2;
        int services = 2;
        int step_ms = 5;
        /// Time that callers have for a header or a body.
        int read_timeout_ms = 1000;
        /// Further lines of the settings of entries and agents.
        std::string more_settings = {};
        /// RLIMIT_NOFILE of entries and agents; 0 for that of the test.
        std::size_t max_descriptors = 0;
    };

    explicit deployment(sizes const& of);
    deployment(deployment const&) = delete;
    deployment& operator=(deployment const&) = delete;
    ~deployment();

    /// \brief Applies the first release note and waits until all agents are
    /// usable.
    /// \param limits Limits of the first customer, in the syntax of a release
    /// note.
    /// \param customers Number of customers.
    void apply_first_note(std::string const& limits = "", int customers = 2);

    [[nodiscard]] http_answer call(
        int entry,
        std::string const& method,
        std::string const& target,
        std::string const& body,
        hornbeamweir::header_list extra = {},
        std::function<void(std::string const&)> const& progress = {}) const;

    /// \brief Counts the executions recorded by the services.
    /// \param containing Text that the record of an execution must contain.
    [[nodiscard]] std::size_t executions(std::string const& containing) const;

    [[nodiscard]] finished_process
    operate(std::vector<std::string> arguments) const;

    void start_entry(int n);
    void start_agent(std::string const& id);
    void start_platform();

    [[nodiscard]] child_process& process(std::string const& name);
    [[nodiscard]] std::string
    write(std::string const& name, std::string const& text) const;
    [[nodiscard]] std::string log(std::string const& name) const;

    [[nodiscard]] int entry_port(int n) const;
    [[nodiscard]] int admin_port(int n) const;
    [[nodiscard]] int agent_admin_port(std::string const& id) const;
    [[nodiscard]] int backend_port(std::string const& id) const;
    [[nodiscard]] int message_port(std::string const& id) const;
    [[nodiscard]] std::string message_key(std::string const& id) const;
    [[nodiscard]] int entry_message_port(int n) const;
    [[nodiscard]] hornbeamweir::curve_keys entry_keys(int n) const;
    [[nodiscard]] int platform_port() const noexcept { return platform_port_; }
    [[nodiscard]] std::string
    first_note(std::string const& limits = "", int customers = 2) const;
    [[nodiscard]] int engine_port(int rank) const noexcept
    {
        return engine_port_ + rank;
    }

    static constexpr char const* token = "instructor-token";
    static constexpr char const* other_token = "shop-token";

private:
    struct node
    {
        int port = 0;
        int admin = 0;
        int messages = 0;
        hornbeamweir::curve_keys keys;
    };

    struct server
    {
        node agent;
        int backend = 0;
        bool is_rank = false;
        int rank = 0;
    };

    void start(
        std::string const& name,
        std::string const& program,
        std::vector<std::string> const& arguments,
        std::size_t max_descriptors = 0);
    void start_backends();
    void write_client_settings() const;
    [[nodiscard]] std::string entry_settings(int n) const;
    [[nodiscard]] std::string agent_settings(std::string const& name) const;
    [[nodiscard]] static node make_node();

    sizes sizes_;
    std::string folder_;
    int platform_port_ = 0;
    int engine_port_ = 0;
    std::vector<node> entries_;
    std::map<std::string, server> servers_;
    std::map<std::string, std::unique_ptr<child_process>> processes_;
};

} // namespace test
