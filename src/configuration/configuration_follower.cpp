#include <hornbeamweir/configuration/configuration_follower.hpp>
#include <hornbeamweir/core/content_hash.hpp>

namespace hornbeamweir
{

configuration_follower::configuration_follower(part_filter filter)
    : filter_{std::move(filter)}
    , current_{std::make_shared<configuration const>()}
{
}

bool configuration_follower::on_head(configuration_head const& head)
{
    if (head.revision <= newest_.revision)
        return false;
    newest_ = head;
    pending_.reset();
    wanted_ = {head.manifest};
    advance();
    return true;
}

result<void>
configuration_follower::on_content(std::string const& hash, std::string bytes)
{
    if (!wanted_.contains(hash))
        return {};
    if (content_hash(bytes) != hash)
        return failure(
            result_code::part_corrupt,
            "content does not match its hash " + hash);
    contents_.insert_or_assign(hash, std::move(bytes));
    wanted_.erase(hash);
    result<void> decoded = decode(hash);
    advance();
    return decoded;
}

result<void> configuration_follower::decode(std::string const& hash)
{
    if (hash == newest_.manifest)
    {
        result<manifest> list = decode_manifest(contents_.at(hash));
        if (!list)
            return tl::unexpected<error>{list.error()};
        if (list->revision != newest_.revision)
            return failure(
                result_code::part_corrupt,
                "the revisions of manifest and head differ");
        pending_ = std::move(*list);
        return {};
    }
    result<configuration_part> part = decode_part(contents_.at(hash));
    if (!part)
        return tl::unexpected<error>{part.error()};
    decoded_[hash] =
        std::make_shared<configuration_part const>(std::move(*part));
    return {};
}

std::set<std::string>
configuration_follower::missing_parts(configuration const& held) const
{
    std::set<std::string> missing;
    for (std::uint32_t n = 0; n < pending_->parts.size(); ++n)
    {
        if (filter_ && !filter_(n, held))
            continue;
        if (!decoded_.contains(pending_->parts[n]))
            missing.insert(pending_->parts[n]);
    }
    return missing;
}

std::shared_ptr<configuration const> configuration_follower::assemble() const
{
    std::vector<std::shared_ptr<configuration_part const>> parts;
    for (std::string const& hash : pending_->parts)
    {
        auto const it = decoded_.find(hash);
        parts.push_back(it == decoded_.end() ? nullptr : it->second);
    }
    return std::make_shared<configuration const>(newest_, std::move(parts));
}

// The filter can select a part by the contents of another: an agent needs the
// part of its group, whose id is in the agent's own part. The missing parts are
// therefore computed again after each round of fetches.
void configuration_follower::advance()
{
    if (!pending_ || !wanted_.empty())
        return;
    std::shared_ptr<configuration const> const held = assemble();
    wanted_ = missing_parts(*held);
    if (!wanted_.empty())
        return;
    current_ = held;
    evict_unused();
    pending_.reset();
}

void configuration_follower::evict_unused()
{
    std::set<std::string> used{pending_->parts.begin(), pending_->parts.end()};
    std::erase_if(
        decoded_, [&](auto const& it) { return !used.contains(it.first); });
    used.insert(newest_.manifest);
    std::erase_if(
        contents_, [&](auto const& it) { return !used.contains(it.first); });
}

std::string const*
configuration_follower::content(std::string const& hash) const
{
    content_map::const_iterator const it = contents_.find(hash);
    return it == contents_.end() ? nullptr : &it->second;
}

} // namespace hornbeamweir
