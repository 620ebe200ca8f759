#include "test/support/child_process.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace test
{

child_process::child_process(
    std::string const& program,
    std::vector<std::string> const& arguments,
    std::string const& output)
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
    int const failed = posix_spawn(
        &pid_, path.c_str(), &actions, nullptr, argv.data(), environ);
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
