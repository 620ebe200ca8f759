#include <hornbeamweir/core/content_hash.hpp>

#include "test/support/core_fixture.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <functional>
#include <set>
#include <tuple>

using namespace hornbeamweir;

namespace
{

class recorded_log final : public event_log
{
public:
    void write(severity level, event const& ev) override
    {
        text += std::string{name_of(level)} + " " + ev.line() + "\n";
    }

    std::string text;
};

/// Backend servers of the model "m" and the service "s" in data centres "d0",
/// "d1"...
configuration_part make_objects(std::size_t data_centres, std::size_t servers)
{
    configuration_part objects;
    for (std::size_t n = 0; n < servers; ++n)
    {
        bool const is_rank = n % 3 != 0;
        backend_server server;
        server.id = backend_server_id{"b" + std::to_string(n)};
        server.kind = is_rank ? backend_kind::rank : backend_kind::service;
        server.group = model_group_id{is_rank ? "g" : ""};
        server.service = is_rank ? "" : "s";
        server.data_centre =
            data_centre_id{"d" + std::to_string(n % data_centres)};
        objects.backend_servers[server.id] = server;
    }
    model_group_id const group{"g"};
    objects.model_groups[group] = {group, "m"};
    customer_id const shop{"shop"};
    objects.customers[shop] = {
        shop, content_hash("token"), 1e6, 1'000'000, 1'000'000};
    return objects;
}

void set_evacuated(configuration_part& objects, std::size_t n, bool evacuated)
{
    data_centre_id const id{"d" + std::to_string(n)};
    objects.data_centres[id] = {id, evacuated};
}

/// An entry and its agents; counts the attempts sent to evacuated data centres.
class fleet : public test::entry_fixture
{
public:
    fleet(std::size_t data_centres, std::size_t servers)
        : objects_{make_objects(data_centres, servers)}
    {
        activate(encode_configuration(objects_, ++revision_, "n"));
        send_pongs();
    }

    void evacuate(std::size_t n, bool evacuated = true)
    {
        set_evacuated(objects_, n, evacuated);
        activate(encode_configuration(objects_, ++revision_, "n"));
        collect();
    }

    void send_pongs()
    {
        for (auto it = objects_.backend_servers.begin();
             it != objects_.backend_servers.end();
             ++it)
            pong(it->first.str(), 1, revision_);
        collect();
    }

    void request(bool of_model, std::string const& key = "")
    {
        http_request_message message{
            of_model || !key.empty() ? "POST" : "GET",
            of_model ? "/v1/chat/completions" : "/services/s/x",
            {{"Authorization", "Bearer token"}},
            R"({"model":"m","stream":true})"};
        if (!key.empty())
            message.headers.push_back({"Idempotency-Key", key});
        static_cast<void>(core.on_request(std::move(message), now));
        collect();
    }

    /// Sends the next frame of one of the last attempts, or lets it fail.
    void answer(std::size_t n, bool fails, bool ends)
    {
        if (attempts.empty())
            return;
        auto& [to, execute, sequence] =
            attempts.rbegin()[static_cast<std::ptrdiff_t>(
                n % std::min<std::size_t>(attempts.size(), 16))];
        wire::envelope message;
        wire::answer& frame = *message.mutable_answer();
        frame.set_request_id(execute.request_id());
        frame.set_attempt(execute.attempt());
        frame.set_sequence(sequence++);
        if (fails)
            frame.mutable_failure()->set_state(wire::execution_state_not_run);
        else if (frame.sequence() == 0)
            set_head(*frame.mutable_head(), execute.resume_from_token());
        else if (ends)
            frame.mutable_end();
        else
            frame.set_data("data: {}\n\n");
        core.on_message(peer{to}, message, now);
        collect();
    }

    void tick()
    {
        now += std::chrono::milliseconds{100};
        core.on_tick(now);
        collect();
    }

    void commit()
    {
        for (std::uint64_t const token : std::exchange(commits_, {}))
            core.on_commit(token, transaction_reply{true, ++stored_, {}}, now);
        collect();
    }

    /// Peer, message and next sequence number of each attempt.
    std::vector<std::tuple<peer, wire::execute, std::uint64_t>> attempts;
    std::vector<respond_head> heads;
    std::size_t cancelled = 0;
    std::size_t misdirected = 0;

private:
    static void set_head(wire::answer_head& head, std::uint32_t resumed)
    {
        head.set_status(200);
        for (std::string_view const name :
             {resume_header::support, resume_header::resumed})
        {
            wire::header_field& field = *head.add_headers();
            field.set_name(std::string{name});
            field.set_value(std::to_string(resumed));
        }
    }

    void collect()
    {
        for (entry_action const& action : core.take_actions())
        {
            if (auto const* const sent = std::get_if<send_envelope>(&action))
                record(*sent);
            else if (auto const* it = std::get_if<commit_to_platform>(&action))
                commits_.push_back(it->token);
            else if (auto const* head = std::get_if<respond_head>(&action))
                heads.push_back(*head);
            else if (std::holds_alternative<grant_platform_lease>(action))
                core.on_lease(std::int64_t{1}, now);
        }
    }

    void record(send_envelope const& sent)
    {
        cancelled += sent.message.has_cancel() ? 1 : 0;
        if (!sent.message.has_execute())
            return;
        backend_server_id const id{sent.to.id.substr(6)};
        auto const it = objects_.data_centres.find(
            objects_.backend_servers.at(id).data_centre);
        bool const evacuated =
            it != objects_.data_centres.end() && it->second.evacuated;
        misdirected += evacuated ? 1 : 0;
        attempts.emplace_back(sent.to, sent.message.execute(), 0);
    }

    configuration_part objects_;
    std::uint64_t revision_ = 0;
    std::int64_t stored_ = 0;
    std::vector<std::uint64_t> commits_;
};

} // namespace

// Guards against a path that bypasses the choice of candidates: first attempts,
// retries, resumed streams, queued requests, and claims granted later.
TEST_CASE("no attempt is sent to an evacuated data centre")
{
    rc::prop(
        "no attempt is sent to an evacuated data centre",
        []
        {
            std::size_t const data_centres = *rc::gen::inRange(1U, 5U);
            fleet system{data_centres, *rc::gen::element(3U, 9U, 40U)};
            int const steps = *rc::gen::inRange(20, 120);
            for (int n = 0; n < steps; ++n)
            {
                std::size_t const pick = *rc::gen::inRange(0U, 1000U);
                std::string const key = "k" + std::to_string(pick);
                std::vector<std::function<void()>> const events{
                    [&] { system.evacuate(pick % data_centres, pick % 7 < 3); },
                    [&] { system.tick(); },
                    [&] { system.send_pongs(); },
                    [&] { system.commit(); },
                    [&] { system.request(false, key); },
                    [&]
                    {
                        for (std::size_t i = 0; i < pick / 20; ++i)
                            system.request(pick % 2 == 0);
                    },
                    [&]
                    {
                        for (std::size_t i = 0; i < pick % 128; ++i)
                            system.answer(
                                i, (pick + i) % 9 == 0, (pick + i) % 5 == 0);
                    }};
                events[*rc::gen::inRange<std::size_t>(0, events.size())]();
                RC_ASSERT(system.misdirected == 0U);
            }
        });
}

// Guards against a data centre whose open attempts are cut, or which stays out
// of use after its return.
TEST_CASE("attempts in an evacuated data centre go on, and it can be restored")
{
    fleet system{2, 6};
    system.request(true);
    REQUIRE(system.attempts.size() == 1);
    system.evacuate(0);
    system.evacuate(1);
    system.answer(0, false, false);
    REQUIRE(system.heads.size() == 1);
    CHECK(system.heads.front().status == 200);
    CHECK(system.cancelled == 0);
    system.evacuate(0, false);
    system.request(true);
    CHECK(system.attempts.size() == 2);
}

// Guards against requests that stay in the queue, and callers that return all
// at once.
TEST_CASE("requests are rejected at once if no backend server is in use")
{
    fleet system{1, 3};
    constexpr std::size_t requests = 400;
    for (std::size_t n = 0; n < requests; ++n)
        system.request(true);
    std::size_t const sent = system.attempts.size();
    REQUIRE(sent < requests);
    system.evacuate(0);
    system.request(true);
    CHECK(system.core.live_requests() == sent);
    REQUIRE(system.heads.size() == requests + 1 - sent);
    std::set<std::string> times;
    for (respond_head const& it : system.heads)
    {
        CHECK(it.status == 503);
        times.insert(*find_header(it.headers, "Retry-After"));
    }
    CHECK(times == std::set<std::string>{"3", "4", "5", "6"});
}

// Guards against evacuations that an operator can't see at an entry.
TEST_CASE("an entry tells of evacuations in its log and metrics")
{
    recorded_log log;
    metrics_registry metrics;
    capacity_monitor monitor{log, metrics};
    configuration_part objects = make_objects(2, 6);
    monitor.update(objects, 1);
    set_evacuated(objects, 0, true);
    monitor.update(objects, 2);
    monitor.update(objects, 3);
    set_evacuated(objects, 1, true);
    monitor.update(objects, 4);
    set_evacuated(objects, 0, false);
    monitor.update(objects, 5);
    std::string const change = "info event=data_centre_changed data_centre=";
    std::string const none = "warning event=no_backend_server_in_use target=";
    CHECK(
        log.text == change +
                        "d0 evacuated=true revision=2 in_use.model.m=2 "
                        "in_use.service.s=1\n" +
                        change +
                        "d1 evacuated=true revision=4 in_use.model.m=0 "
                        "in_use.service.s=0\n" +
                        none + "\"model m\" revision=4\n" + none +
                        "\"service s\" revision=4\n" + change +
                        "d0 evacuated=false revision=5 in_use.model.m=2 "
                        "in_use.service.s=1\n");
    CHECK(monitor.evacuated() == std::set{data_centre_id{"d1"}});
    std::string const text = metrics.text();
    INFO(text);
    for (char const* const line :
         {"hornbeamweir_data_centre_evacuated{data_centre=\"d1\"} 1",
          "hornbeamweir_backend_servers_in_use{data_centre=\"d0\"} 3"})
        CHECK(text.find(line) != std::string::npos);
}
