#include <hornbeamweir/agent/answer_stream.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

constexpr std::uint64_t max_frame_bytes = 64 * 1024;

wire::execution_state to_wire(execution_state state) noexcept
{
    if (state == execution_state::not_run)
        return wire::execution_state_not_run;
    if (state == execution_state::done)
        return wire::execution_state_done;
    return wire::execution_state_may_have_run;
}

void fill_head(wire::answer_head& out, received_answer const& from)
{
    out.set_status(from.status);
    for (header_field const& field : from.headers)
    {
        wire::header_field& header = *out.add_headers();
        header.set_name(field.name);
        header.set_value(field.value);
    }
}

} // namespace

answer_stream::answer_stream(
    peer to,
    std::string request_id,
    std::uint32_t attempt,
    std::uint32_t credit)
    : to_{std::move(to)}
    , request_id_{std::move(request_id)}
    , attempt_{attempt}
    , credit_{credit}
{
}

bool answer_stream::belongs_to(
    peer const& to, std::string const& id, std::uint32_t attempt) const
{
    return to_ == to && request_id_ == id && attempt_ == attempt;
}

wire::answer answer_stream::next_frame()
{
    wire::answer frame;
    frame.set_request_id(request_id_);
    frame.set_attempt(attempt_);
    frame.set_sequence(sequence_++);
    return frame;
}

std::vector<wire::answer>
answer_stream::take_ready_frames(received_answer const& from)
{
    std::vector<wire::answer> frames;
    if (finished_)
        return frames;
    if (!started_sent_)
    {
        started_sent_ = true;
        frames.push_back(next_frame());
        static_cast<void>(frames.back().mutable_started());
    }
    if (from.has_head && !head_sent_)
    {
        head_sent_ = true;
        frames.push_back(next_frame());
        fill_head(*frames.back().mutable_head(), from);
    }
    while (head_sent_ && position_ < from.size() && credit_ > 0)
    {
        std::uint64_t const n =
            std::min({from.size() - position_, credit_, max_frame_bytes});
        frames.push_back(next_frame());
        frames.back().set_data(
            from.data.substr(position_ - from.data_offset, n));
        position_ += n;
        credit_ -= n;
    }
    if (from.failed)
    {
        finished_ = true;
        frames.push_back(make_failure(
            request_id_,
            attempt_,
            sequence_++,
            *from.failed,
            from.failed_state));
    }
    else if (from.ended && head_sent_ && position_ == from.size())
    {
        finished_ = true;
        frames.push_back(next_frame());
        static_cast<void>(frames.back().mutable_end());
    }
    return frames;
}

wire::answer make_failure(
    std::string const& request_id,
    std::uint32_t attempt,
    std::uint64_t sequence,
    error const& reason,
    execution_state state)
{
    wire::answer frame;
    frame.set_request_id(request_id);
    frame.set_attempt(attempt);
    frame.set_sequence(sequence);
    wire::answer_failure& failed = *frame.mutable_failure();
    failed.set_result_code(number_of(reason.code));
    failed.set_state(to_wire(state));
    failed.set_detail(reason.message);
    return frame;
}

} // namespace hornbeamweir
