#include <hornbeamweir/configuration/release_note.hpp>
#include <hornbeamweir/platform/etcd_json.hpp>
#include <hornbeamweir/settings/process_settings.hpp>

#include "test/support/core_fixture.hpp"
#include "test/support/mutation.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <catch2/catch.hpp>
#include <google/protobuf/stubs/logging.h>

/// \file
/// \brief Feeds seeded mutations of valid inputs to every parser of external
/// input. The tests fail on a crash or a sanitizer report; CI runs them under
/// the sanitizers. HORNBEAMWEIR_FUZZ_SEED sets the seed and
/// HORNBEAMWEIR_FUZZ_ROUNDS the number of inputs for each test.

using namespace hornbeamweir;
using test::fuzz;

namespace
{

std::string const settings_text =
    "identity: {name: e1, data_centre: a, vm: v}\ncallers:\n"
    "  address: 127.0.0.1:8080\n  max_body_bytes: 4096\n"
    "admin_address: '[::1]:9080'\nmessages:\n  address: 127.0.0.1:7000\n"
    "  public_key: '0123456789012345678901234567890123456789'\n"
    "  secret_key: '0123456789012345678901234567890123456789'\n"
    "  allowed_keys: []\nplatform:\n  addresses: ['127.0.0.1:2379']\n";

std::string const note_text =
    "note: n\nbase_revision: 3\nadded:\n  customers:\n"
    "    - {id: c, requests_per_second: 1.5, token_hash: x}\n"
    "changed:\n  backend_servers:\n    - {id: b, draining: true}\n"
    "withdrawn:\n  model_groups: [g, h]\n";

/// Serialized messages of every kind.
std::vector<std::string> envelopes()
{
    std::vector<wire::envelope> messages(8);
    messages[0].mutable_execute()->set_request_id("r");
    messages[0].mutable_execute()->set_agent_incarnation(5);
    messages[0].mutable_execute()->set_start_before_us(1'000'000'000);
    messages[0].mutable_execute()->set_claim("claim");
    messages[1].mutable_answer()->set_request_id("r");
    messages[1].mutable_answer()->mutable_head()->set_status(200);
    messages[2].mutable_credit()->set_bytes(100);
    messages[3].mutable_cancel()->set_request_id("r");
    messages[4].mutable_membership()->mutable_ping()->set_sequence(1);
    messages[4]
        .mutable_membership()
        ->mutable_ping()
        ->mutable_head()
        ->set_revision(9);
    messages[5].mutable_membership()->mutable_pong()->set_clock_us(1);
    messages[6].mutable_configuration()->mutable_part_request()->set_hash("h");
    messages[7]
        .mutable_admission()
        ->mutable_report()
        ->add_demands()
        ->set_customer("c");
    std::vector<std::string> corpus;
    for (wire::envelope& it : messages)
    {
        it.set_sender("entry-b");
        corpus.push_back(it.SerializeAsString());
    }
    return corpus;
}

} // namespace

TEST_CASE("mutated settings are parsed or rejected")
{
    fuzz(
        {settings_text},
        [](std::string const& text)
        {
            static_cast<void>(read_entry_settings(text, "f"));
            static_cast<void>(read_agent_settings(text, "f"));
        });
}

TEST_CASE("mutated release notes are parsed or rejected")
{
    fuzz(
        {note_text},
        [](std::string const& text)
        {
            tl::expected<release_note, diagnostics> const note =
                read_release_note(text, "f");
            if (note)
                static_cast<void>(apply_note(*note, {}));
        });
}

TEST_CASE("mutated configuration contents are decoded or rejected")
{
    encoded_configuration const config = test::make_configuration(1);
    std::vector<std::string> corpus{encode_head(config.head)};
    for (auto it = config.contents.begin(); it != config.contents.end(); ++it)
        corpus.push_back(it->second);
    fuzz(
        corpus,
        [](std::string const& text)
        {
            static_cast<void>(decode_head(text));
            static_cast<void>(decode_manifest(text));
            static_cast<void>(decode_part(text));
        });
}

TEST_CASE("mutated platform responses are decoded or rejected")
{
    fuzz(
        {R"({"header":{"revision":"7"},"kvs":[{"key":"YQ==","value":"Yg=="}]})",
         R"({"header":{},"succeeded":true,"responses":[{"response_range":{}}]})",
         R"({"result":{"events":[{"type":"DELETE","kv":{"key":"YQ=="}}]}})"},
        [](std::string const& text)
        {
            boost::system::error_code ec;
            boost::json::value const value = boost::json::parse(text, ec);
            if (ec || !value.is_object())
                return;
            static_cast<void>(etcd::decode_range(value.get_object()));
            static_cast<void>(etcd::decode_transaction(value.get_object()));
            static_cast<void>(etcd::decode_watch(value.get_object()));
        });
}

TEST_CASE("mutated messages crash neither entry nor agent")
{
    google::protobuf::SetLogHandler(nullptr);
    test::entry_fixture entry;
    entry.activate(test::make_configuration(1));
    null_event_log log;
    metrics_registry metrics;
    agent_core agent{test::make_agent_settings(), 5, log, metrics};
    agent.on_probe("{}");
    time_point now = entry.now;
    fuzz(
        envelopes(),
        [&](std::string const& bytes)
        {
            wire::envelope message;
            if (!message.ParseFromString(bytes))
                return;
            now += std::chrono::milliseconds{7};
            entry.core.on_message(
                {peer_side::accepted, "entry-b#1"}, message, now);
            entry.core.on_message(
                {peer_side::dialled, "agent/rank-0"}, message, now);
            entry.core.on_tick(now);
            agent.on_message({peer_side::accepted, "entry-b#1"}, message, now);
            agent.on_tick(now);
            static_cast<void>(entry.core.take_actions());
            static_cast<void>(agent.take_actions());
        });
}
