#pragma once

#include <string>
#include <sys/types.h>

namespace review
{

/// \brief A program of the project as a separate process, with the command of
/// the deploy file. Is killed by the destructor.
class process
{
public:
    /// \param program Path from the root of the repository.
    /// \param settings Content of its settings file, as the platform renders
    /// the template of the deploy file.
    /// \param folder Existing folder for the settings and the log.
    process(
        std::string name,
        std::string program,
        std::string const& settings,
        std::string folder);
    ~process();
    process(process const&) = delete;
    process& operator=(process const&) = delete;

    void start();
    void signal(int number) const;
    /// \brief Kills the process and waits for its end.
    void kill();
    /// \returns The last line that it has written.
    [[nodiscard]] std::string last_line() const;
    /// \returns Whether the process has ended by itself.
    [[nodiscard]] bool has_ended();

private:
    std::string name_;
    std::string program_;
    std::string folder_;
    pid_t id_ = 0;
};

/// \brief A temporary folder, removed at the end.
class temporary_folder
{
public:
    temporary_folder();
    ~temporary_folder();
    temporary_folder(temporary_folder const&) = delete;
    temporary_folder& operator=(temporary_folder const&) = delete;

    [[nodiscard]] std::string const& path() const noexcept { return path_; }

private:
    std::string path_;
};

} // namespace review
