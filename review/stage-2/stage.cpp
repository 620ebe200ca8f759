#include "stage.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace stage
{

namespace
{

constexpr int ok = 200;

sockaddr_in parse_address(std::string const& address)
{
    std::size_t const colon = address.rfind(':');
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(
        std::strtoul(address.c_str() + colon + 1, nullptr, 10)));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
    return out;
}

sockaddr* generic(sockaddr_in& it)
{
    return reinterpret_cast<sockaddr*>(&it);
}

/// Binds a listening socket to a free port.
std::pair<int, std::string> listen_at(std::string const& ip)
{
    int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at = parse_address(ip + ":0");
    socklen_t size = sizeof at;
    bool const bound = ::bind(fd, generic(at), size) == 0 &&
                       ::listen(fd, 512) == 0 &&
                       ::getsockname(fd, generic(at), &size) == 0;
    if (!bound)
    {
        std::perror("listen");
        std::exit(static_cast<int>(outcome::not_run));
    }
    return {fd, ip + ':' + std::to_string(ntohs(at.sin_port))};
}

std::string free_address(std::string const& ip)
{
    std::pair<int, std::string> const bound = listen_at(ip);
    ::close(bound.first);
    return bound.second;
}

std::string lower(std::string text)
{
    std::transform(
        text.begin(),
        text.end(),
        text.begin(),
        [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string encode_base64(std::string const& bytes)
{
    static constexpr char const* digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t n = 0; n < bytes.size(); n += 3)
    {
        unsigned group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group =
                (group << 8U) |
                (n + k < bytes.size() ? static_cast<unsigned char>(bytes[n + k])
                                      : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out += n + k > bytes.size() ? '='
                                        : digits[(group >> (18 - 6 * k)) & 63U];
    }
    return out;
}

std::string decode_percent(std::string const& text)
{
    std::string out;
    for (std::size_t n = 0; n < text.size(); ++n)
    {
        if (text[n] != '%' || n + 2 >= text.size())
        {
            out += text[n];
            continue;
        }
        out += static_cast<char>(
            std::strtoul(text.substr(n + 1, 2).c_str(), nullptr, 16));
        n += 2;
    }
    return out;
}

std::map<std::string, std::string> parse_query(std::string const& target)
{
    std::map<std::string, std::string> out;
    std::size_t const mark = target.find('?');
    std::istringstream in{
        mark == std::string::npos ? "" : target.substr(mark + 1)};
    for (std::string part; std::getline(in, part, '&');)
    {
        std::size_t const sign = part.find('=');
        if (sign != std::string::npos)
            out[part.substr(0, sign)] = decode_percent(part.substr(sign + 1));
    }
    return out;
}

void replace_all(
    std::string& text, std::string const& from, std::string const& to)
{
    for (std::size_t n = text.find(from); n != std::string::npos;
         n = text.find(from, n + to.size()))
        text.replace(n, from.size(), to);
}

} // namespace

std::string message::header(std::string const& name) const
{
    auto const it = headers.find(name);
    return it == headers.end() ? std::string{} : it->second;
}

int message::status() const
{
    std::size_t const space = first_line.find(' ');
    return space == std::string::npos
               ? 0
               : static_cast<int>(
                     std::strtol(first_line.c_str() + space + 1, nullptr, 10));
}

std::string message::target() const
{
    std::size_t const begin = first_line.find(' ') + 1;
    return first_line.substr(begin, first_line.rfind(' ') - begin);
}

connection::~connection()
{
    ::close(fd_);
}

std::unique_ptr<connection>
connection::to(std::string const& address, int receive_buffer)
{
    int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0)
        ::setsockopt(
            fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    sockaddr_in at = parse_address(address);
    if (::connect(fd, generic(at), sizeof at) == 0)
        return std::make_unique<connection>(fd);
    ::close(fd);
    return nullptr;
}

bool connection::write(std::string const& bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();)
    {
        ssize_t const n =
            ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

std::string connection::read_some(std::size_t max, milliseconds limit)
{
    if (!buffer_.empty())
        return std::exchange(buffer_, {});
    pollfd wanted{fd_, POLLIN, 0};
    if (::poll(&wanted, 1, static_cast<int>(limit.count())) != 1)
        return {};
    std::string out(max, '\0');
    ssize_t const n = ::recv(fd_, out.data(), out.size(), 0);
    out.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
    return out;
}

std::optional<message> connection::read(milliseconds limit)
{
    constexpr std::size_t read_size = 64 * 1024;
    time_point const end = std::chrono::steady_clock::now() + limit;
    std::string bytes;
    std::optional<message> out;
    std::size_t whole = 0;
    while (!out || bytes.size() < whole)
    {
        milliseconds const left = std::chrono::duration_cast<milliseconds>(
            end - std::chrono::steady_clock::now());
        std::string const next =
            read_some(read_size, std::max(left, milliseconds{0}));
        if (next.empty())
            return std::nullopt;
        bytes += next;
        std::size_t const head = bytes.find("\r\n\r\n");
        if (out || head == std::string::npos)
            continue;
        out.emplace();
        std::istringstream lines{bytes.substr(0, head)};
        std::getline(lines, out->first_line);
        if (out->first_line.ends_with('\r'))
            out->first_line.pop_back();
        for (std::string line; std::getline(lines, line);)
        {
            std::size_t const colon = line.find(':');
            std::size_t const first = line.find_first_not_of(' ', colon + 1);
            std::size_t const last = line.find_last_not_of("\r ");
            out->headers[lower(line.substr(0, colon))] =
                first > last ? "" : line.substr(first, last - first + 1);
        }
        whole =
            head + 4 +
            std::strtoul(out->header("content-length").c_str(), nullptr, 10);
    }
    out->body = bytes.substr(bytes.find("\r\n\r\n") + 4);
    out->body.resize(whole - (bytes.find("\r\n\r\n") + 4));
    buffer_ = bytes.substr(whole);
    return out;
}

server::server(std::string const& ip, handler handle)
    : handle_{std::move(handle)}
{
    int fd = 0;
    std::tie(fd, address_) = listen_at(ip);
    // Serves until the process ends.
    std::thread{[this, fd]
                {
                    while (true)
                    {
                        int const accepted =
                            ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                        if (accepted < 0)
                            continue;
                        int const on = 1;
                        ::setsockopt(
                            accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                        std::thread{[this, accepted]
                                    {
                                        connection caller{accepted};
                                        handle_(caller);
                                    }}
                            .detach();
                    }
                }}
        .detach();
}

store::store(std::string const& ip)
    : server_{ip, [this](connection& caller) { serve(caller); }}
{
}

void store::serve(connection& caller)
{
    constexpr milliseconds idle_limit{60'000};
    while (std::optional<message> const request = caller.read(idle_limit))
    {
        call_result const out = call(*request);
        std::string const body = boost::json::serialize(out.second);
        caller.write(
            "HTTP/1.1 " + std::to_string(out.first) +
            " X\r\nContent-Type: application/json\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body);
    }
}

store::call_result store::call(message const& request)
{
    constexpr int missing = 404;
    std::string const target = request.target();
    std::string const path = target.substr(0, target.find('?'));
    std::map<std::string, std::string> query = parse_query(target);
    if (path.ends_with("/kv-watch"))
        return watch(query);
    std::lock_guard const lock{mutex_};
    expire();
    boost::json::object out{{"at", revision_}};
    if (path.ends_with("/kv-key"))
    {
        auto const it = items_.find(query["key"]);
        if (it == items_.end())
            return {missing, out};
        out = it->second;
        out["at"] = revision_;
        return {ok, out};
    }
    if (path.ends_with("/kv-range"))
    {
        boost::json::array entries;
        for (auto const& [key, item] : items_)
        {
            if (key.starts_with(query["prefix"]))
                entries.emplace_back(item);
        }
        out["entries"] = std::move(entries);
        out["hasMore"] = false;
        return {ok, out};
    }
    boost::json::object sent;
    if (!request.body.empty())
        sent = boost::json::parse(request.body).as_object();
    if (path.ends_with("/kv-txn"))
        return commit(sent);
    if (path.ends_with("/kv-lease"))
        return grant(sent);
    return renew(std::strtoll(path.c_str() + path.rfind('/') + 1, nullptr, 10));
}

store::call_result store::watch(std::map<std::string, std::string> const& query)
{
    std::int64_t const after =
        std::strtoll(query.at("after").c_str(), nullptr, 10);
    time_point const end =
        std::chrono::steady_clock::now() +
        milliseconds{std::strtoll(query.at("waitMs").c_str(), nullptr, 10)};
    std::unique_lock lock{mutex_};
    while (true)
    {
        boost::json::array events;
        for (boost::json::object const& it : history_)
        {
            bool const wanted =
                it.at("revision").as_int64() > after &&
                it.at("key").as_string().starts_with(query.at("prefix"));
            if (wanted)
                events.emplace_back(it);
        }
        if (!events.empty() || std::chrono::steady_clock::now() >= end)
            return {ok, {{"events", std::move(events)}, {"at", revision_}}};
        changed_.wait_until(lock, end);
    }
}

store::call_result store::commit(boost::json::object const& request)
{
    constexpr int conflict = 412;
    constexpr int missing = 404;
    for (boost::json::value const& it : request.at("precondition").as_array())
    {
        auto const known = items_.find(std::string{it.at("key").as_string()});
        std::int64_t const revision =
            known == items_.end() ? 0 : known->second.at("revision").as_int64();
        if (revision != it.at("revision").to_number<std::int64_t>())
            return {conflict, {{"entries", boost::json::array{}}}};
    }
    for (boost::json::value const& it : request.at("write").as_array())
    {
        std::int64_t const lease = it.at("lease").to_number<std::int64_t>();
        if (lease != 0 && !leases_.contains(lease))
            return {missing, {}};
    }
    for (boost::json::value const& it : request.at("write").as_array())
        write(
            std::string{it.at("key").as_string()},
            std::string{it.at("value").as_string()},
            it.at("lease").to_number<std::int64_t>());
    for (boost::json::value const& it : request.at("remove").as_array())
        remove(std::string{it.as_string()});
    return {ok, {{"revision", revision_}}};
}

store::call_result store::grant(boost::json::object const& request)
{
    milliseconds const time{request.at("ttlMs").to_number<std::int64_t>()};
    leases_[++last_lease_] = {std::chrono::steady_clock::now() + time, time};
    return {ok, {{"lease", last_lease_}, {"ttlMs", time.count()}}};
}

store::call_result store::renew(std::int64_t lease)
{
    constexpr int missing = 404;
    auto const it = leases_.find(lease);
    if (it == leases_.end())
        return {missing, {}};
    it->second.ends =
        std::chrono::steady_clock::now() + it->second.time_to_live;
    return {ok, {{"ttlMs", it->second.time_to_live.count()}}};
}

void store::write(
    std::string const& key, std::string encoded, std::int64_t lease)
{
    auto const known = items_.find(key);
    ++revision_;
    std::int64_t const created = known == items_.end()
                                     ? revision_
                                     : known->second.at("created").as_int64();
    boost::json::object item{
        {"key", key},
        {"value", std::move(encoded)},
        {"revision", revision_},
        {"created", created},
        {"lease", lease}};
    history_.push_back(item);
    items_[key] = std::move(item);
    changed_.notify_all();
}

void store::remove(std::string const& key)
{
    if (items_.erase(key) == 0)
        return;
    history_.push_back(
        {{"key", key}, {"revision", ++revision_}, {"deleted", true}});
    changed_.notify_all();
}

void store::expire()
{
    time_point const now = std::chrono::steady_clock::now();
    std::erase_if(
        leases_, [&](auto const& it) { return it.second.ends < now; });
    std::vector<std::string> ended;
    for (auto const& [key, item] : items_)
    {
        std::int64_t const lease = item.at("lease").as_int64();
        if (lease != 0 && !leases_.contains(lease))
            ended.push_back(key);
    }
    for (std::string const& key : ended)
        remove(key);
}

void store::put(std::string const& key, std::string const& value)
{
    std::lock_guard const lock{mutex_};
    write(key, encode_base64(value), 0);
}

replica::replica(
    std::string id,
    std::string service,
    std::string const& ip,
    std::function<std::size_t(message const&)> answer_bytes)
    : id_{std::move(id)}
    , service_{std::move(service)}
    , answer_bytes_{std::move(answer_bytes)}
    , server_{ip, [this](connection& caller) { serve(caller); }}
{
}

std::string replica::registration() const
{
    return boost::json::serialize(boost::json::object{
        {"service", service_},
        {"address", server_.address()},
        {"zone", "a"},
        {"version", "v1"},
        {"slots", 12},
        {"state", "ready"},
        {"coldRemainingMs", 0},
        {"sequence", 1}});
}

bool replica::has_run(std::string const& request)
{
    std::lock_guard const lock{mutex_};
    return run_.contains(request);
}

void replica::serve(connection& caller)
{
    constexpr milliseconds idle_limit{60'000};
    while (std::optional<message> const request = caller.read(idle_limit))
    {
        std::string const id = request->header("x-hornbeamweir-attempt-id");
        std::string const head =
            "X-Hornbeamweir-Attempt-Id: " + id + "\r\nContent-Length: ";
        if (request->header("x-hornbeamweir-expect-replica") != id_)
        {
            caller.write("HTTP/1.1 421 Misdirected\r\n" + head + "0\r\n\r\n");
            continue;
        }
        {
            std::lock_guard const lock{mutex_};
            run_.insert(id);
        }
        std::string const body(answer_bytes_(*request), 'y');
        std::string answer = "HTTP/1.1 200 OK\r\n";
        answer.append("X-Hornbeamweir-Replica-Signature: s.")
            .append(id_)
            .append("\r\n")
            .append(head)
            .append(std::to_string(body.size()))
            .append("\r\n\r\n")
            .append(body);
        caller.write(answer);
    }
}

program::program(
    std::string const& folder,
    std::string const& role,
    std::string const& name,
    std::string const& ip,
    std::string const& store_address,
    values const& fields)
{
    std::ifstream in{"deploy/" + role + ".yaml"};
    std::ostringstream read;
    read << in.rdbuf();
    std::string text = std::move(read).str();
    std::string const peers = free_address(ip);
    values all{
        {"{{nodeName}}", name},
        {"{{zone}}", "a"},
        {"{{internalPortRange.0}}", peers.substr(peers.rfind(':') + 1)},
        {"{{ip}}", ip},
        {"{{platform.address}}", store_address}};
    all.insert(all.end(), fields.begin(), fields.end());
    for (auto const& [field, value] : all)
        replace_all(text, field, value);
    std::string const file = folder + '/' + name + ".yaml";
    std::ofstream{file} << text;
    std::string const log = folder + '/' + name + ".log";
    std::string const command = "target/platform/hornbeamweir-platform-" + role;
    pid_ = ::fork();
    if (pid_ != 0)
        return;
    // The process must not outlive a driver that was killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::setenv("HORNBEAMWEIR_NODE_FILE", file.c_str(), 1);
    bool const redirected = std::freopen(log.c_str(), "a", stdout) != nullptr &&
                            std::freopen(log.c_str(), "a", stderr) != nullptr;
    if (redirected)
        ::execl(command.c_str(), command.c_str(), nullptr);
    ::_exit(127);
}

program::~program()
{
    if (ended_)
        return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
}

void program::send_signal(int number) const
{
    ::kill(pid_, number);
}

std::size_t program::resident_bytes() const
{
    std::ifstream in{"/proc/" + std::to_string(pid_) + "/statm"};
    std::size_t all = 0;
    std::size_t resident = 0;
    in >> all >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

bool program::wait_end(milliseconds limit)
{
    time_point const end = std::chrono::steady_clock::now() + limit;
    while (!ended_ && std::chrono::steady_clock::now() < end)
    {
        ended_ = ::waitpid(pid_, nullptr, WNOHANG) == pid_;
        std::this_thread::sleep_for(milliseconds{10});
    }
    return ended_;
}

entry::entry(
    std::string const& folder,
    std::string const& ip,
    std::string const& store_address,
    site const& on)
    : callers_{free_address(ip)}
    , readiness_{free_address(ip)}
    , process_{
          folder,
          "entry",
          "edge-a-1",
          ip,
          store_address,
          {{"{{listen.frontend}}", callers_},
           {"{{listen.readiness}}", readiness_},
           {"{{bounds.revokeMs}}", "5000"},
           {"{{bounds.graceS}}", "8"},
           {"{{bounds.retryBudgetRatio}}", "0.2"},
           {"{{bounds.retryAllowance}}", on.retry_allowance},
           {"{{bounds.retryWindowS}}", "10"},
           {"{{limits.memoryMb}}", on.memory_mb},
           {"{{limits.maxFds}}", on.descriptors}}}
{
}

bool entry::wait_ready()
{
    constexpr int attempts = 200;
    for (int n = 0; n < attempts; ++n)
    {
        std::this_thread::sleep_for(milliseconds{50});
        std::unique_ptr<connection> const probe = connection::to(readiness_);
        if (!probe)
            continue;
        probe->write("GET /hornbeamweir/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
        std::optional<message> const answer = probe->read(milliseconds{1000});
        if (answer && answer->status() == ok)
            return true;
    }
    return false;
}

void record::line(std::string const& text)
{
    std::lock_guard const lock{mutex_};
    std::array<char, 32> buf{};
    std::snprintf(
        buf.data(),
        buf.size(),
        "%7.3f s  ",
        std::chrono::duration<double>{
            std::chrono::steady_clock::now() - started_}
            .count());
    out_ << buf.data() << text << std::endl;
}

std::string loopback_ip(unsigned number)
{
    unsigned const process = static_cast<unsigned>(::getpid());
    return "127.77." + std::to_string(process % 250) + '.' +
           std::to_string(1 + number);
}

std::string
configuration(int version, std::size_t max_body_bytes, int timeout_ms)
{
    boost::json::array routes;
    for (auto const& [prefix, type] :
         {std::pair{"/once/", "unsafe"}, std::pair{"/read/", "safe"}})
    {
        routes.push_back(boost::json::object{
            {"name", std::string{"r-"} + type},
            {"hostname", "h.example"},
            {"prefix", prefix},
            {"routeType", type},
            {"timeoutMs", timeout_ms},
            {"targetLatencyMs", 300},
            {"priority", 2},
            {"service", "plain"},
            {"maxAttempts", 1},
            {"public", false}});
    }
    return boost::json::serialize(boost::json::object{
        {"version", version},
        {"routes", std::move(routes)},
        {"services",
         boost::json::array{boost::json::object{
             {"name", "plain"},
             {"healthPath", "/healthz"},
             {"maxConnections", 110},
             {"protocol", "h1"},
             {"tls", false}}}},
        {"limits",
         {{"maxHeaderBytes", 16'384},
          {"maxBodyBytes", max_body_bytes},
          {"headerTimeoutMs", 3000},
          {"idleTimeoutMs", 15'000}}}});
}

std::string request(
    std::string const& path,
    std::string const& id,
    std::string const& body,
    int deadline_ms)
{
    return "POST " + path +
           " HTTP/1.1\r\nHost: h.example\r\nX-Hornbeamweir-Attempt-Id: " + id +
           "\r\nX-Hornbeamweir-Deadline-Ms: " + std::to_string(deadline_ms) +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

bool has_trouble()
{
    char const* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string{value} != "0";
}

} // namespace stage
