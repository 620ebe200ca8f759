#pragma once

#include <hornbeamweir/core/error.hpp>
#include <hornbeamweir/http/header_list.hpp>
#include <hornbeamweir/transport/peer.hpp>

#include <optional>
#include <proxy.pb.h>
#include <string>
#include <vector>

namespace hornbeamweir
{

/// \brief Response of one call, as far as it was received.
/// \remarks Only the response to a request with a claim is kept for replay.
struct received_answer
{
    unsigned status = 0;
    header_list headers;
    bool has_head = false;
    /// Data from data_offset on; earlier data was sent and discarded.
    std::string data;
    std::uint64_t data_offset = 0;
    bool ended = false;
    std::optional<error> failed;
    execution_state failed_state = execution_state::may_have_run;

    /// \brief Number of bytes of data received so far.
    [[nodiscard]] std::uint64_t size() const noexcept
    {
        return data_offset + data.size();
    }
};

/// \brief Splits the answer to one attempt into numbered frames, within the
/// credit that the receiver has granted.
class answer_stream
{
public:
    /// \param credit Bytes of data that may be sent before add_credit().
    answer_stream(
        peer to,
        std::string request_id,
        std::uint32_t attempt,
        std::uint32_t credit);

    /// \brief Returns the frames that can be sent now, and considers them sent.
    [[nodiscard]] std::vector<wire::answer>
    take_ready_frames(received_answer const& from);

    void add_credit(std::uint32_t bytes) noexcept { credit_ += bytes; }

    [[nodiscard]] peer const& to() const noexcept { return to_; }
    [[nodiscard]] bool belongs_to(
        peer const& to, std::string const& id, std::uint32_t attempt) const;
    [[nodiscard]] bool finished() const noexcept { return finished_; }
    /// \brief Number of bytes of data sent so far.
    [[nodiscard]] std::uint64_t position() const noexcept { return position_; }
    [[nodiscard]] std::uint64_t credit() const noexcept { return credit_; }

private:
    [[nodiscard]] wire::answer next_frame();

    peer to_;
    std::string request_id_;
    std::uint32_t attempt_;
    std::uint64_t credit_;
    std::uint64_t sequence_ = 0;
    std::uint64_t position_ = 0;
    bool started_sent_ = false;
    bool head_sent_ = false;
    bool finished_ = false;
};

/// \brief Makes the frame that reports a rejected or failed attempt.
[[nodiscard]] wire::answer make_failure(
    std::string const& request_id,
    std::uint32_t attempt,
    std::uint64_t sequence,
    error const& reason,
    execution_state state);

} // namespace hornbeamweir
