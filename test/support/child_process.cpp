#include "test/support/child_process.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/resource.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace test
{

child_process::child_process(
    std::string const& program,
    std::vector<std::string> const& arguments,
    std::string const& output,
    std::size_t max_descriptors)
{
    std::string path = std::string{HORNBEAMWEIR_BIN_DIR} + "/" + program;
    if (program.starts_with("standin-"))
        path = std::string{HORNBEAMWEIR_BIN_DIR} + "/standins/" + program;
    std::vector<char*> argv{path.data()};
    std::vector<std::string> copies = arguments;
    for (std::string& argument : copies)
        argv.push_back(argument.data());
    argv.push_back(nullptr);

    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(
        &actions, 1, output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    // A listening socket that is inherited would accept connections after the
    // stand-in has closed it.
    posix_spawn_file_actions_addclosefrom_np(&actions, 3);
    // The child inherits the limit, which the test itself has only for the
    // moment.
    rlimit own{};
    getrlimit(RLIMIT_NOFILE, &own);
    rlimit lowered = own;
    if (max_descriptors > 0)
        lowered.rlim_cur = max_descriptors;
    setrlimit(RLIMIT_NOFILE, &lowered);
    int const failed = posix_spawn(
        &pid_, path.c_str(), &actions, nullptr, argv.data(), environ);
    setrlimit(RLIMIT_NOFILE, &own);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0)
        throw std::runtime_error{"cannot start " + path};
}

child_process::~child_process()
{
    kill();
}

void child_process::signal(int number) const
{
    if (pid_ > 0)
        ::kill(pid_, number);
}

int child_process::wait(int timeout_ms)
{
    constexpr int step_ms = 10;
    for (int waited = 0; waited <= timeout_ms && pid_ > 0; waited += step_ms)
    {
        int status = 0;
        if (waitpid(pid_, &status, WNOHANG) == pid_)
        {
            pid_ = -1;
            return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{step_ms});
    }
    return -1;
}

double child_process::cpu_seconds() const
{
    std::ifstream in{"/proc/" + std::to_string(pid_) + "/stat"};
    std::string text;
    std::getline(in, text);
    // The command name is in parentheses and may contain spaces; utime and
    // stime are the 12th and 13th fields after it.
    std::istringstream fields{text.substr(text.rfind(')') + 1)};
    std::string skipped;
    constexpr int fields_before = 11;
    for (int n = 0; n < fields_before; ++n)
        fields >> skipped;
    long user = 0;
    long system = 0;
    fields >> user >> system;
    return static_cast<double>(user + system) /
           static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::size_t child_process::resident_bytes() const
{
    std::ifstream in{"/proc/" + std::to_string(pid_) + "/statm"};
    std::size_t total = 0;
    std::size_t resident = 0;
    in >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

std::size_t child_process::peak_resident_bytes() const
{
    std::ifstream in{"/proc/" + std::to_string(pid_) + "/status"};
    constexpr std::string_view key = "VmHWM:";
    constexpr std::size_t bytes_per_unit = 1024;
    std::string line;
    while (std::getline(in, line))
    {
        if (line.starts_with(key))
            return std::stoul(line.substr(key.size())) * bytes_per_unit;
    }
    return 0;
}

std::size_t child_process::open_descriptors() const
{
    std::filesystem::directory_iterator const entries{
        "/proc/" + std::to_string(pid_) + "/fd"};
    return static_cast<std::size_t>(
        std::distance(begin(entries), end(entries)));
}

bool child_process::is_alive() const
{
    siginfo_t state{};
    return pid_ > 0 &&
           waitid(
               P_PID,
               static_cast<id_t>(pid_),
               &state,
               WEXITED | WNOHANG | WNOWAIT) == 0 &&
           state.si_pid == 0;
}

void child_process::kill()
{
    if (pid_ <= 0)
        return;
    signal(SIGKILL);
    signal(SIGCONT);
    int status = 0;
    waitpid(pid_, &status, 0);
    pid_ = -1;
}

finished_process run_program(
    std::string const& program, std::vector<std::string> const& arguments)
{
    std::string name = "/tmp/hornbeamweir-output-XXXXXX";
    int const fd = mkstemp(name.data());
    close(fd);
    finished_process finished;
    constexpr int timeout_ms = 60'000;
    child_process child{program, arguments, name};
    finished.code = child.wait(timeout_ms);
    std::ostringstream text;
    text << std::ifstream{name}.rdbuf();
    finished.output = text.str();
    unlink(name.c_str());
    return finished;
}

std::size_t queued_bytes(int port)
{
    // Fields of a line: number, local address, remote address, state, and the
    // queues as SENT:RECEIVED, in hexadecimal.
    constexpr int base = 16;
    std::ifstream in{"/proc/net/tcp"};
    std::string line;
    std::size_t total = 0;
    while (std::getline(in, line))
    {
        std::istringstream fields{line};
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        fields >> number >> local >> remote >> state >> queues;
        std::size_t const colon = queues.find(':');
        std::string const port_text = local.substr(local.find(':') + 1);
        if (colon == std::string::npos || state == "0A" ||
            std::stoi(port_text, nullptr, base) != port)
            continue;
        total += std::stoul(queues, nullptr, base) +
                 std::stoul(queues.substr(colon + 1), nullptr, base);
    }
    return total;
}

int free_port()
{
    // Below the ports of outgoing connections, which would take it before it is
    // used, or while its process is restarted.
    constexpr unsigned first = 10'240;
    constexpr unsigned count = 22'000;
    constexpr unsigned stride = 131;
    static std::atomic<unsigned> next{static_cast<unsigned>(getpid()) * stride};
    boost::asio::io_context context;
    while (true)
    {
        unsigned const port = first + next++ % count;
        boost::asio::ip::tcp::acceptor acceptor{context};
        boost::system::error_code ec;
        acceptor.open(boost::asio::ip::tcp::v4());
        acceptor.bind(
            {boost::asio::ip::address_v4::loopback(),
             static_cast<std::uint16_t>(port)},
            ec);
        if (!ec)
            return static_cast<int>(port);
    }
}

} // namespace test
