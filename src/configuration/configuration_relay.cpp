#include <hornbeamweir/configuration/configuration_relay.hpp>

#include <iterator>

namespace hornbeamweir
{

namespace
{

constexpr duration request_retry_interval = std::chrono::milliseconds{300};

} // namespace

wire::configuration_head to_wire(configuration_head const& head)
{
    wire::configuration_head out;
    out.set_revision(head.revision);
    out.set_note_id(head.note_id);
    out.set_manifest(head.manifest);
    return out;
}

configuration_head from_wire(wire::configuration_head const& head)
{
    return {head.revision(), head.note_id(), head.manifest()};
}

configuration_relay::configuration_relay(
    bool uses_platform, configuration_follower::part_filter filter)
    : uses_platform_{uses_platform}
    , follower_{std::move(filter)}
{
}

configuration_relay_actions configuration_relay::on_peer_head(
    peer const& from, configuration_head const& head, time_point now)
{
    bool const is_newer = follower_.on_head(head);
    if (is_newer)
        sources_.clear();
    if (head == follower_.newest() && head.revision > 0)
        sources_.insert(from);
    return is_newer ? request_wanted(now) : configuration_relay_actions{};
}

configuration_relay_actions configuration_relay::on_platform_head(
    configuration_head const& head, time_point now)
{
    if (!follower_.on_head(head))
        return {};
    sources_.clear();
    return request_wanted(now);
}

configuration_relay_actions configuration_relay::request_wanted(time_point now)
{
    configuration_relay_actions out;
    requested_at_ = now;
    requested_ = follower_.wanted();
    for (std::string const& hash : requested_)
        request_blob(hash, out);
    return out;
}

// Sources rotate: first the peers, then the platform if uses_platform_ is set.
// next_source_ advances after a source lacks a blob, sends a corrupt one or
// does not respond, so that the retry goes to the next source.
void configuration_relay::request_blob(
    std::string const& hash, configuration_relay_actions& out)
{
    bool const ask_platform =
        uses_platform_ &&
        next_source_ % (sources_.size() + 1) == sources_.size();
    if (ask_platform || (uses_platform_ && sources_.empty()))
    {
        if (platform_reads_.insert(hash).second)
            out.emplace_back(read_configuration_part{hash});
        return;
    }
    if (sources_.empty())
        return;
    send_configuration_message request;
    request.to = *std::next(
        sources_.begin(),
        static_cast<std::ptrdiff_t>(next_source_ % sources_.size()));
    request.message.mutable_part_request()->set_hash(hash);
    out.emplace_back(std::move(request));
}

configuration_relay_actions configuration_relay::on_message(
    peer const& from,
    wire::configuration_message const& message,
    time_point now)
{
    switch (message.body_case())
    {
    case wire::configuration_message::kHead:
        return on_peer_head(from, from_wire(message.head()), now);
    case wire::configuration_message::kPartRequest:
        return {
            send_configuration_message{from, reply_to(message.part_request())}};
    case wire::configuration_message::kPartReply:
        if (message.part_reply().found())
        {
            return process_blob(
                from.id,
                message.part_reply().hash(),
                message.part_reply().content(),
                now);
        }
        ++next_source_;
        return {};
    case wire::configuration_message::kHeadRequest:
    {
        send_configuration_message reply;
        reply.to = from;
        *reply.message.mutable_head() = to_wire(follower_.current()->head());
        return {std::move(reply)};
    }
    case wire::configuration_message::BODY_NOT_SET:
        break;
    }
    return {};
}

wire::configuration_message
configuration_relay::reply_to(wire::part_request const& request) const
{
    wire::configuration_message message;
    wire::part_reply& reply = *message.mutable_part_reply();
    reply.set_hash(request.hash());
    std::string const* const content = follower_.content(request.hash());
    reply.set_found(content != nullptr);
    if (content != nullptr)
        reply.set_content(*content);
    return message;
}

configuration_relay_actions configuration_relay::process_blob(
    std::string const& source,
    std::string const& hash,
    std::string content,
    time_point now)
{
    std::uint64_t const revision = follower_.current()->revision();
    result<void> const accepted =
        follower_.on_content(hash, std::move(content));
    if (!accepted)
    {
        ++next_source_;
        return {configuration_content_rejected{source, accepted.error()}};
    }
    if (follower_.current()->revision() != revision)
        return {configuration_activated{follower_.current()}};
    // Further blobs can be wanted after a manifest or a part was decoded.
    configuration_relay_actions out;
    for (std::string const& wanted : follower_.wanted())
    {
        if (!requested_.insert(wanted).second)
            continue;
        requested_at_ = now;
        request_blob(wanted, out);
    }
    return out;
}

configuration_relay_actions configuration_relay::on_platform_part(
    std::string const& hash, std::optional<std::string> content, time_point now)
{
    platform_reads_.erase(hash);
    if (content)
        return process_blob("platform", hash, std::move(*content), now);
    ++next_source_;
    return {};
}

configuration_relay_actions configuration_relay::on_tick(time_point now)
{
    if (follower_.wanted().empty() ||
        now - requested_at_ < request_retry_interval)
        return {};
    ++next_source_;
    return request_wanted(now);
}

void configuration_relay::on_peer_lost(peer const& lost)
{
    sources_.erase(lost);
}

} // namespace hornbeamweir
