#include "standins/engine/lock_step_group.hpp"

#include "standins/support/json_body.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace standin
{

namespace
{

std::string token_text(std::uint32_t n)
{
    return "t" + std::to_string(n) + " ";
}

std::string token_event(generation const& item)
{
    boost::json::object delta;
    delta["content"] = token_text(item.next_token);
    boost::json::object choice;
    choice["index"] = 0;
    choice["delta"] = std::move(delta);
    boost::json::array choices;
    choices.emplace_back(std::move(choice));
    boost::json::object chunk;
    chunk["object"] = "chat.completion.chunk";
    chunk["model"] = item.model;
    chunk["choices"] = std::move(choices);
    return "data: " + boost::json::serialize(chunk) + "\n\n";
}

boost::json::object complete_response(generation const& item)
{
    std::string text;
    for (std::uint32_t n = 0; n < item.max_tokens; ++n)
        text += token_text(n);
    boost::json::object message;
    message["role"] = "assistant";
    message["content"] = text;
    boost::json::object choice;
    choice["index"] = 0;
    choice["message"] = std::move(message);
    choice["finish_reason"] = "stop";
    boost::json::array choices;
    choices.emplace_back(std::move(choice));
    boost::json::object response;
    response["object"] = "chat.completion";
    response["model"] = item.model;
    response["choices"] = std::move(choices);
    return response;
}

} // namespace

lock_step_group::lock_step_group(std::uint32_t ranks)
    : ranks_(ranks)
{
}

void lock_step_group::add(std::uint32_t rank, std::shared_ptr<generation> item)
{
    ranks_.at(rank).push_back(std::move(item));
}

void lock_step_group::step()
{
    ++steps_;
    for (std::list<std::shared_ptr<generation>>& rank : ranks_)
    {
        for (std::shared_ptr<generation> const& item : rank)
            advance(*item);
        rank.remove_if(
            [](std::shared_ptr<generation> const& item)
            { return item->closed || item->next_token >= item->max_tokens; });
    }
}

void lock_step_group::advance(generation& item)
{
    if (item.closed)
        return;
    if (item.streamed && item.next_token < item.max_tokens)
        item.exchange->send_data(token_event(item));
    ++item.next_token;
    if (item.next_token < item.max_tokens)
        return;
    if (item.streamed)
    {
        item.exchange->send_data("data: [DONE]\n\n");
        item.exchange->finish();
        return;
    }
    send_json(*item.exchange, complete_response(item));
}

std::size_t lock_step_group::in_flight(std::uint32_t rank) const
{
    return ranks_.at(rank).size();
}

std::size_t lock_step_group::in_flight() const
{
    std::size_t n = 0;
    for (std::list<std::shared_ptr<generation>> const& rank : ranks_)
        n += rank.size();
    return n;
}

} // namespace standin
