#include <hornbeamweir/telemetry/console_log.hpp>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <chrono>
#include <iostream>
#include <mutex>
#include <poll.h>
#include <unistd.h>

namespace hornbeamweir
{

namespace
{

namespace logging = boost::log;

void install_sink()
{
    logging::add_common_attributes();
    logging::add_console_log(
        std::cout,
        logging::keywords::format =
            (logging::expressions::stream
             << "time="
             << logging::expressions::format_date_time<
                    boost::posix_time::ptime>(
                    "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
             << ' ' << logging::expressions::smessage),
        logging::keywords::auto_flush = true);
}

// A writable pipe accepts a line without blocking. A stalled reader must not
// block this process.
bool output_ready() noexcept
{
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    return ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

std::int64_t current_second()
{
    return std::chrono::duration_cast<std::chrono::seconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

void write_record(
    severity level, std::string const& process, std::string const& line)
{
    logging::sources::logger logger;
    BOOST_LOG(logger) << "level=" << name_of(level) << " process=" << process
                      << ' ' << line;
}

} // namespace

console_log::console_log(log_settings settings, std::string process)
    : settings_{settings}
    , process_{std::move(process)}
{
    static std::once_flag once;
    std::call_once(once, install_sink);
}

bool console_log::may_write()
{
    std::int64_t const second = current_second();
    if (second != second_)
    {
        second_ = second;
        written_ = 0;
        if (suppressed_ > 0 && output_ready())
        {
            event ev{"log_lines_suppressed"};
            ev.with("lines", suppressed_);
            write_record(severity::warning, process_, ev.line());
            written_ = 1;
            suppressed_ = 0;
        }
    }
    if (written_ >= settings_.lines_per_second || !output_ready())
    {
        ++suppressed_;
        return false;
    }
    ++written_;
    return true;
}

void console_log::write(severity level, event const& ev)
{
    if (level < settings_.level || !may_write())
        return;
    write_record(level, process_, ev.line());
}

} // namespace hornbeamweir
