#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace test
{

/// \brief A child process that is killed when the object is destroyed.
class child_process
{
public:
    /// \param program Name of an executable of this build.
    /// \param output File that receives the standard output and error.
    /// \param max_descriptors RLIMIT_NOFILE of the process; 0 for that of the
    /// test.
    child_process(
        std::string const& program,
        std::vector<std::string> const& arguments,
        std::string const& output,
        std::size_t max_descriptors = 0);
    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;
    ~child_process();

    void signal(int number) const;

    /// \brief Waits for the process to exit.
    /// \returns The exit code, or -1 after a time-out or if a signal ended the
    /// process.
    int wait(int timeout_ms);

    /// \brief Returns the user and system CPU time used so far.
    [[nodiscard]] double cpu_seconds() const;
    /// \brief Returns the current resident set size.
    [[nodiscard]] std::size_t resident_bytes() const;
    /// \brief Returns the largest resident set size so far.
    [[nodiscard]] std::size_t peak_resident_bytes() const;
    /// \brief Returns the number of open file descriptors.
    [[nodiscard]] std::size_t open_descriptors() const;
    /// \brief Whether the process has not ended.
    [[nodiscard]] bool is_alive() const;

    /// \brief Sends SIGKILL and waits.
    void kill();

private:
    pid_t pid_ = -1;
};

struct finished_process
{
    int code = -1;
    std::string output;
};

/// \brief Runs an executable of this build and waits for it to exit, for at
/// most 60 s.
[[nodiscard]] finished_process run_program(
    std::string const& program, std::vector<std::string> const& arguments);

/// \brief Returns the bytes that the kernel holds in the buffers of a loopback
/// port's connections, received or to be sent.
[[nodiscard]] std::size_t queued_bytes(int port);

/// \brief Returns a TCP port that is not in use.
[[nodiscard]] int free_port();

} // namespace test
