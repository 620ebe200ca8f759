#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review
{

/// \brief File with what happened, each line with the time since the start.
class record
{
public:
    explicit record(std::string const& file)
        : out_{file}
    {
    }
    void note(std::string const& line)
    {
        std::lock_guard const lock{mutex_};
        auto const ms = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - started_);
        out_ << ms.count() << " ms " << line << '\n';
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
    std::chrono::steady_clock::time_point const started_ =
        std::chrono::steady_clock::now();
};

} // namespace review
