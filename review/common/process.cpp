#include "process.hpp"

#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace review
{

process::process(
    std::string name,
    std::string program,
    std::string const& settings,
    std::string folder)
    : name_{std::move(name)}
    , program_{std::move(program)}
    , folder_{std::move(folder)}
{
    std::ofstream{folder_ + "/" + name_ + ".yaml"} << settings;
    start();
}

process::~process()
{
    kill();
}

void process::start()
{
    std::string const file = folder_ + "/" + name_ + ".yaml";
    std::string const log = folder_ + "/" + name_ + ".log";
    std::string const variable = "HORNBEAMWEIR_NODE_FILE=" + file;
    std::vector<char*> arguments{program_.data(), nullptr};
    std::string entry = variable;
    std::vector<char*> environment{entry.data(), nullptr};
    pid_t const id = ::fork();
    if (id < 0)
        throw std::runtime_error{"cannot start " + program_};
    if (id == 0)
    {
        // The process ends with this one, whatever ends it.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        constexpr int mode = 0644;
        int const out =
            ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, mode);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::execve(program_.c_str(), arguments.data(), environment.data());
        std::_Exit(EXIT_FAILURE);
    }
    id_ = id;
}

void process::signal(int number) const
{
    if (id_ > 0)
        ::kill(id_, number);
}

void process::kill()
{
    if (id_ <= 0)
        return;
    ::kill(id_, SIGKILL);
    ::waitpid(id_, nullptr, 0);
    id_ = 0;
}

std::string process::last_line() const
{
    std::ifstream in{folder_ + "/" + name_ + ".log"};
    std::string out;
    for (std::string line; std::getline(in, line);)
        out = line;
    return out;
}

bool process::has_ended()
{
    if (id_ <= 0)
        return true;
    if (::waitpid(id_, nullptr, WNOHANG) != id_)
        return false;
    id_ = 0;
    return true;
}

temporary_folder::temporary_folder()
{
    std::string pattern =
        (std::filesystem::temp_directory_path() / "hornbeamweir-review-XXXXXX")
            .string();
    if (::mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error{"cannot create a temporary folder"};
    path_ = pattern;
}

temporary_folder::~temporary_folder()
{
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
}

} // namespace review
