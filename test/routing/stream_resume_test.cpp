#include <hornbeamweir/core/overloaded.hpp>
#include <hornbeamweir/entry/request_machine.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace hornbeamweir;

namespace
{

std::string event_of(std::uint32_t token)
{
    return "data: {\"t\":" + std::to_string(token) + "}\n\n";
}

std::string stream_of(std::uint32_t first, std::uint32_t end)
{
    std::string out;
    for (std::uint32_t n = first; n < end; ++n)
        out += event_of(n);
    return out + "data: [DONE]\n\n";
}

inbound_request make_request(bool streamed, bool idempotent)
{
    inbound_request request;
    request.id = request_id{"r"};
    request.streamed = streamed;
    request.idempotent = idempotent;
    return request;
}

/// Drives a request machine with the frames and failures that a test scripts.
class scripted_request
{
public:
    explicit scripted_request(inbound_request request)
        : machine_{std::move(request)}
    {
        apply(machine_.start());
    }

    void send_head(bool supports_resume, bool confirms_resume = true)
    {
        wire::answer frame;
        frame.mutable_head()->set_status(200);
        if (supports_resume)
            add(frame, resume_header::support, "1");
        if (confirms_resume && resume_from_ > 0)
            add(frame, resume_header::resumed, std::to_string(resume_from_));
        send(std::move(frame));
    }

    void send_data(std::string bytes)
    {
        wire::answer frame;
        frame.set_data(std::move(bytes));
        send(std::move(frame));
    }

    void send_end()
    {
        wire::answer frame;
        frame.mutable_end();
        send(std::move(frame));
    }

    void lose_agent() { apply(machine_.on_agent_lost(true, true)); }

    void exhaust_replicas() noexcept { replicas_ = 0; }

    std::string relayed;
    std::size_t heads = 0;
    std::size_t attempts = 0;
    bool ended = false;
    bool aborted = false;

    [[nodiscard]] std::uint32_t resume_from() const noexcept
    {
        return resume_from_;
    }

private:
    static void
    add(wire::answer& frame, std::string_view name, std::string const& value)
    {
        wire::header_field& field = *frame.mutable_head()->add_headers();
        field.set_name(std::string{name});
        field.set_value(value);
    }

    void send(wire::answer frame)
    {
        frame.set_attempt(machine_.attempt());
        frame.set_sequence(sequence_++);
        apply(machine_.on_answer(frame, true));
    }

    void apply(request_actions const& actions)
    {
        for (request_action const& action : actions)
        {
            std::visit(
                overloaded{
                    [&](choose_backend const&) { choose(); },
                    [&](start_attempt const& it)
                    {
                        ++attempts;
                        sequence_ = 0;
                        resume_from_ = it.resume_from_token;
                    },
                    [&](relay_head const&) { ++heads; },
                    [&](relay_data const& it) { relayed += it.bytes; },
                    [&](relay_end const&) { ended = true; },
                    [&](abort_relay const&) { aborted = true; },
                    [](request_action const&) {}},
                action);
        }
    }

    void choose()
    {
        if (replicas_ == 0)
        {
            apply(machine_.on_chosen(std::nullopt));
            return;
        }
        --replicas_;
        apply(machine_.on_chosen(
            chosen_backend{backend_server_id{std::to_string(replicas_)}, 1}));
    }

    request_machine machine_;
    std::uint64_t sequence_ = 0;
    std::uint32_t resume_from_ = 0;
    std::uint32_t replicas_ = 8;
};

/// Sends the bytes of a response in frames of random size.
void send_in_random_frames(scripted_request& request, std::string_view bytes)
{
    while (!bytes.empty())
    {
        std::size_t const n = *rc::gen::inRange<std::size_t>(
            1, std::min<std::size_t>(bytes.size(), 30) + 1);
        request.send_data(std::string{bytes.substr(0, n)});
        bytes.remove_prefix(n);
    }
}

} // namespace

TEST_CASE("a resumed stream contains each token once")
{
    rc::prop(
        "random frame sizes and failures leave the stream complete",
        []
        {
            std::uint32_t const tokens =
                *rc::gen::inRange<std::uint32_t>(0, 30);
            std::uint32_t const failures = *rc::gen::inRange<std::uint32_t>(
                0, request_machine::max_attempts);
            scripted_request request{make_request(true, true)};
            for (std::uint32_t n = 0; n < failures && !request.ended; ++n)
            {
                if (*rc::gen::arbitrary<bool>())
                {
                    request.send_head(true);
                    std::string const rest =
                        stream_of(request.resume_from(), tokens);
                    std::size_t const broken_at =
                        *rc::gen::inRange<std::size_t>(0, rest.size() + 1);
                    send_in_random_frames(
                        request, std::string_view{rest}.substr(0, broken_at));
                }
                // A backend server that fails may close its response as if it
                // were complete.
                if (request.heads > 0 && *rc::gen::arbitrary<bool>())
                    request.send_end();
                else
                    request.lose_agent();
            }
            if (!request.ended)
            {
                request.send_head(true);
                send_in_random_frames(
                    request, stream_of(request.resume_from(), tokens));
                request.send_end();
            }
            RC_ASSERT(request.ended);
            RC_ASSERT(request.heads == 1U);
            RC_ASSERT(request.relayed == stream_of(0, tokens));
        });
}

TEST_CASE("a stream that can't be resumed is aborted without duplicate events")
{
    std::string const part = event_of(0) + event_of(1) + "data: {\"t\"";

    SECTION("the backend server does not declare support for resuming")
    {
        scripted_request request{make_request(true, true)};
        request.send_head(false);
        request.send_data(part);
        request.lose_agent();
        CHECK(request.aborted);
        CHECK(request.attempts == 1);
    }
    SECTION("the request is not idempotent")
    {
        scripted_request request{make_request(true, false)};
        request.send_head(true);
        request.send_data(part);
        request.lose_agent();
        CHECK(request.aborted);
        CHECK(request.attempts == 1);
    }
    SECTION("the request did not ask for a stream")
    {
        scripted_request request{make_request(false, true)};
        request.send_head(true);
        request.send_data(part);
        request.lose_agent();
        CHECK(request.aborted);
        CHECK(request.attempts == 1);
    }
    SECTION("other replicas ignore the resume position")
    {
        scripted_request request{make_request(true, true)};
        request.send_head(true);
        request.send_data(part);
        request.lose_agent();
        for (std::size_t n = 1; n < request_machine::max_attempts; ++n)
        {
            request.send_head(true, false);
            request.send_data(stream_of(0, 3));
        }
        CHECK(request.aborted);
        CHECK(request.relayed == event_of(0) + event_of(1));
        CHECK(request.attempts == request_machine::max_attempts);
    }
    SECTION("no replica is left")
    {
        scripted_request request{make_request(true, true)};
        request.exhaust_replicas();
        request.send_head(true);
        request.send_data(part);
        request.lose_agent();
        CHECK(request.aborted);
        CHECK(request.relayed == event_of(0) + event_of(1));
    }
    SECTION("an event is too large to be buffered")
    {
        scripted_request request{make_request(true, true)};
        std::string const large(
            token_stream::max_incomplete_event_size + 1, 'x');
        request.send_head(true);
        request.send_data(large);
        CHECK(request.relayed == large);
        request.lose_agent();
        CHECK(request.aborted);
        CHECK(request.attempts == 1);
    }
}
