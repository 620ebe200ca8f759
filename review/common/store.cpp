#include "store.hpp"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace review
{

namespace
{

constexpr unsigned ok = 200;
constexpr unsigned missing = 404;
constexpr unsigned gone = 410;
constexpr unsigned conflict = 412;
constexpr std::string_view digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr unsigned bits_per_digit = 6;
constexpr unsigned bits_per_byte = 8;
constexpr unsigned digit_mask = 63;
constexpr unsigned byte_mask = 255;

std::string encode_base64(std::string const& bytes)
{
    std::string out;
    unsigned pending = 0;
    unsigned bits = 0;
    for (char const it : bytes)
    {
        pending = (pending << bits_per_byte) | static_cast<unsigned char>(it);
        bits += bits_per_byte;
        while (bits >= bits_per_digit)
        {
            bits -= bits_per_digit;
            out += digits[(pending >> bits) & digit_mask];
        }
    }
    if (bits > 0)
        out += digits[(pending << (bits_per_digit - bits)) & digit_mask];
    while (out.size() % 4 != 0)
        out += '=';
    return out;
}

std::string decode_base64(std::string_view text)
{
    std::string out;
    unsigned pending = 0;
    unsigned bits = 0;
    for (char const it : text)
    {
        std::size_t const digit = digits.find(it);
        if (digit == std::string_view::npos)
            continue;
        pending = (pending << bits_per_digit) | static_cast<unsigned>(digit);
        bits += bits_per_digit;
        if (bits < bits_per_byte)
            continue;
        bits -= bits_per_byte;
        out += static_cast<char>((pending >> bits) & byte_mask);
    }
    return out;
}

} // namespace

store::store()
    : server_{[this](connection& peer, message const& request)
              {
                  reply const done = on_call(request);
                  if (done.status == 0)
                  {
                      peer.shut_down();
                      return;
                  }
                  peer.send(response_text(
                      done.status,
                      boost::json::serialize(done.body),
                      {{"Content-Type", "application/json"},
                       {"Store-Era", std::to_string(era())}}));
              }}
{
}

void store::go_away()
{
    std::lock_guard const lock{mutex_};
    away_ = true;
    changed_.notify_all();
}

std::int64_t store::come_back(std::chrono::milliseconds age)
{
    std::lock_guard const lock{mutex_};
    clock::time_point const copied = clock::now() - age;
    std::int64_t const newest = revision_;
    std::erase_if(history_, [&](change const& it) { return it.at > copied; });
    items_.clear();
    for (change const& it : history_)
    {
        if (it.now)
            items_[it.key] = *it.now;
        else
            items_.erase(it.key);
    }
    std::erase_if(
        leases_, [&](auto const& it) { return it.second.granted > copied; });
    for (auto& [id, it] : leases_)
        it.ends = clock::now() + it.time_to_live;
    revision_ = history_.empty() ? 1 : history_.back().revision;
    away_ = false;
    ++era_;
    changed_.notify_all();
    return newest - revision_;
}

bool store::is_up()
{
    std::lock_guard const lock{mutex_};
    return !away_;
}

std::int64_t store::era()
{
    std::lock_guard const lock{mutex_};
    return era_;
}

void store::put(std::string const& key, std::string const& value)
{
    std::lock_guard const lock{mutex_};
    write(key, value, 0);
}

void store::remove(std::string const& key)
{
    std::lock_guard const lock{mutex_};
    write(key, std::nullopt, 0);
}

std::string store::value_of(std::string const& key)
{
    std::lock_guard const lock{mutex_};
    expire();
    auto const it = items_.find(key);
    return it == items_.end() ? std::string{} : it->second.value;
}

void store::write(
    std::string const& key,
    std::optional<std::string> const& value,
    std::int64_t lease)
{
    change next{++revision_, key, std::nullopt, clock::now()};
    if (value)
    {
        item& it = items_[key];
        it.value = *value;
        it.revision = revision_;
        it.created = it.created == 0 ? revision_ : it.created;
        it.lease = lease;
        next.now = it;
    }
    else
        items_.erase(key);
    history_.push_back(std::move(next));
    changed_.notify_all();
}

void store::expire()
{
    clock::time_point const now = clock::now();
    for (auto it = leases_.begin(); it != leases_.end();)
    {
        if (it->second.ends > now)
        {
            ++it;
            continue;
        }
        std::vector<std::string> keys;
        for (auto const& [key, value] : items_)
        {
            if (value.lease == it->first)
                keys.push_back(key);
        }
        it = leases_.erase(it);
        for (std::string const& key : keys)
            write(key, std::nullopt, 0);
    }
}

boost::json::object store::to_json(std::string const& key, item const& it)
{
    return {
        {"key", key},
        {"value", encode_base64(it.value)},
        {"revision", it.revision},
        {"created", it.created},
        {"lease", it.lease}};
}

store::reply store::on_call(message const& request)
{
    std::unique_lock lock{mutex_};
    if (away_)
        return {};
    expire();
    std::string const path = request.target.substr(0, request.target.find('?'));
    if (path == "/hornbeamweir/kv-range")
        return range(request.target);
    if (path == "/hornbeamweir/kv-watch")
        return watch(request.target, lock);
    if (path == "/hornbeamweir/kv-txn")
        return commit(request.body);
    if (path == "/hornbeamweir/kv-key")
    {
        auto const it = items_.find(query_parameter(request.target, "key"));
        if (it == items_.end())
            return {missing, {{"at", revision_}}};
        boost::json::object body = to_json(it->first, it->second);
        body["at"] = revision_;
        return {ok, body};
    }
    if (path == "/hornbeamweir/kv-lease")
    {
        std::chrono::milliseconds const time_to_live{
            boost::json::parse(request.body)
                .at("ttlMs")
                .to_number<std::int64_t>()};
        leases_[++last_lease_] = {
            clock::now() + time_to_live, time_to_live, clock::now()};
        return {ok, {{"lease", last_lease_}, {"ttlMs", time_to_live.count()}}};
    }
    static std::string const keep_path = "/hornbeamweir/kv-keep/";
    if (path.starts_with(keep_path))
        return keep(std::atoll(path.substr(keep_path.size()).c_str()));
    return {missing, {}};
}

store::reply store::range(std::string const& target) const
{
    std::string const prefix = query_parameter(target, "prefix");
    boost::json::array entries;
    for (auto const& [key, value] : items_)
    {
        if (key.starts_with(prefix))
            entries.emplace_back(to_json(key, value));
    }
    return {
        ok,
        {{"entries", std::move(entries)},
         {"hasMore", false},
         {"at", revision_}}};
}

store::reply
store::watch(std::string const& target, std::unique_lock<std::mutex>& lock)
{
    std::string const prefix = query_parameter(target, "prefix");
    std::int64_t const after =
        std::atoll(query_parameter(target, "after").c_str());
    clock::time_point const until =
        clock::now() + std::chrono::milliseconds{std::atoll(
                           query_parameter(target, "waitMs").c_str())};
    std::int64_t const era = era_;
    if (after > revision_)
        return {gone, {}};
    boost::json::array events;
    for (;;)
    {
        if (away_ || era_ != era)
            return {};
        for (change const& it : history_)
        {
            if (it.revision <= after || !it.key.starts_with(prefix))
                continue;
            if (it.now)
                events.emplace_back(to_json(it.key, *it.now));
            else
                events.emplace_back(boost::json::object{
                    {"key", it.key},
                    {"revision", it.revision},
                    {"deleted", true}});
        }
        if (!events.empty() || clock::now() >= until)
            break;
        changed_.wait_until(lock, until);
    }
    return {ok, {{"events", std::move(events)}, {"at", revision_}}};
}

store::reply store::commit(std::string const& body)
{
    boost::json::value const sent = boost::json::parse(body);
    boost::json::array current;
    bool holds = true;
    for (boost::json::value const& row : sent.at("precondition").as_array())
    {
        std::string const key{row.at("key").as_string()};
        auto const it = items_.find(key);
        std::int64_t const is = it == items_.end() ? 0 : it->second.revision;
        holds = holds && is == row.at("revision").to_number<std::int64_t>();
        if (it != items_.end())
            current.emplace_back(to_json(key, it->second));
    }
    if (!holds)
        return {conflict, {{"entries", current}, {"at", revision_}}};
    for (boost::json::value const& row : sent.at("write").as_array())
    {
        std::int64_t const lease = row.at("lease").to_number<std::int64_t>();
        if (lease != 0 && !leases_.contains(lease))
            return {missing, {}};
    }
    // All writes of a call get one revision.
    std::int64_t const revision = revision_ + 1;
    for (boost::json::value const& row : sent.at("write").as_array())
    {
        revision_ = revision - 1;
        write(
            std::string{row.at("key").as_string()},
            decode_base64(std::string{row.at("value").as_string()}),
            row.at("lease").to_number<std::int64_t>());
    }
    for (boost::json::value const& row : sent.at("remove").as_array())
    {
        revision_ = revision - 1;
        write(std::string{row.as_string()}, std::nullopt, 0);
    }
    revision_ = revision;
    return {ok, {{"revision", revision}}};
}

store::reply store::keep(std::int64_t id)
{
    auto const it = leases_.find(id);
    if (it == leases_.end())
        return {missing, {}};
    it->second.ends = clock::now() + it->second.time_to_live;
    return {ok, {{"ttlMs", it->second.time_to_live.count()}}};
}

} // namespace review
