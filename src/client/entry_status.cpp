#include <hornbeamweir/client/entry_status.hpp>
#include <hornbeamweir/core/socket_address.hpp>
#include <hornbeamweir/http/backend_call.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <set>

namespace hornbeamweir
{

namespace
{

constexpr duration fetch_timeout = std::chrono::seconds{2};
constexpr std::size_t max_document_bytes = 64U * 1024U * 1024U;

std::uint64_t number_in(boost::json::object const& object, std::string_view key)
{
    boost::json::value const* const it = object.if_contains(key);
    boost::system::error_code ec;
    return it == nullptr ? 0 : it->to_number<std::uint64_t>(ec);
}

bool flag_in(boost::json::object const& object, std::string_view key)
{
    boost::json::value const* const it = object.if_contains(key);
    return it != nullptr && it->is_bool() && it->get_bool();
}

std::string text_in(boost::json::object const& object, std::string_view key)
{
    boost::json::value const* const it = object.if_contains(key);
    return it != nullptr && it->is_string() ? std::string{it->get_string()}
                                            : std::string{};
}

std::vector<std::string>
texts_in(boost::json::object const& object, std::string_view key)
{
    std::vector<std::string> texts;
    boost::json::value const* const list = object.if_contains(key);
    if (list == nullptr || !list->is_array())
        return texts;
    for (boost::json::value const& it : list->get_array())
    {
        if (it.is_string())
            texts.emplace_back(it.get_string());
    }
    return texts;
}

entry_report::agent read_agent(boost::json::object const& object)
{
    entry_report::agent agent;
    agent.backend_server = text_in(object, "backend_server");
    agent.revision = number_in(object, "revision");
    agent.usable = flag_in(object, "usable");
    agent.suspect = flag_in(object, "suspect");
    agent.draining = flag_in(object, "draining");
    agent.in_flight = number_in(object, "in_flight");
    return agent;
}

} // namespace

result<boost::json::value> fetch_json(
    boost::asio::io_context& context,
    std::string const& address,
    std::string const& target)
{
    std::optional<boost::asio::ip::tcp::endpoint> const endpoint =
        tcp_endpoint(address);
    if (!endpoint)
        return failure(result_code::peer_unreachable, "address is not IP:port");
    std::string text;
    std::optional<result<void>> outcome;
    backend_call_handlers handlers;
    handlers.head = [](unsigned, header_list const&) {};
    handlers.data = [&](std::string const& bytes) { text += bytes; };
    handlers.ended = [&] { outcome = result<void>{}; };
    handlers.failed = [&](error const& reason, bool)
    { outcome = failure(result_code::peer_unreachable, reason.message); };
    backend_call call{
        context,
        *endpoint,
        {"GET", target, {}, ""},
        fetch_timeout,
        std::move(handlers)};
    call.grant_credit(max_document_bytes);
    context.restart();
    while (!outcome && context.run_one() > 0)
    {
    }
    if (!outcome || !*outcome)
    {
        return failure(
            result_code::peer_unreachable,
            outcome ? outcome->error().message : "no response");
    }
    boost::system::error_code ec;
    boost::json::value document = boost::json::parse(text, ec);
    if (ec)
        return failure(result_code::peer_unreachable, "response is not JSON");
    return document;
}

entry_report
fetch_report(boost::asio::io_context& context, std::string const& address)
{
    entry_report report;
    report.address = address;
    result<boost::json::value> const document =
        fetch_json(context, address, "/status");
    if (!document || !document->is_object())
    {
        report.problem = document ? "response to /status is not a JSON object"
                                  : document.error().message;
        return report;
    }
    boost::json::object const& object = document->get_object();
    report.process = text_in(object, "process");
    report.revision = number_in(object, "revision");
    report.ready = flag_in(object, "ready");
    report.evacuated = texts_in(object, "evacuated");
    boost::json::value const* const agents = object.if_contains("agents");
    if (agents == nullptr || !agents->is_array())
        return report;
    for (boost::json::value const& it : agents->get_array())
    {
        if (it.is_object())
            report.agents.push_back(read_agent(it.get_object()));
    }
    return report;
}

std::vector<std::string> lagging_processes(
    std::vector<entry_report> const& reports, std::uint64_t revision)
{
    // A set, because several entries report the same agent.
    std::set<std::string> names;
    for (entry_report const& report : reports)
    {
        if (report.process.empty())
            names.insert(report.address + " (unreachable)");
        else if (report.revision < revision)
            names.insert(report.process);
        for (entry_report::agent const& agent : report.agents)
        {
            if (!agent.suspect && agent.revision < revision)
                names.insert("agent of " + agent.backend_server);
        }
    }
    return {names.begin(), names.end()};
}

} // namespace hornbeamweir
