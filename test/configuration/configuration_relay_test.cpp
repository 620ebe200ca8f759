#include <hornbeamweir/configuration/configuration_relay.hpp>
#include <hornbeamweir/core/content_hash.hpp>
#include <hornbeamweir/core/random_source.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace hornbeamweir;

namespace
{

configuration_part make_objects(std::uint64_t seed)
{
    random_source random{seed};
    configuration_part part;
    for (std::uint64_t n = 0; n < 1 + random.below(40); ++n)
    {
        customer it;
        it.id = customer_id{"customer-" + std::to_string(n)};
        it.token_hash = content_hash(std::to_string(random.next()));
        part.customers.emplace(it.id, it);
    }
    return part;
}

encoded_configuration revision(std::uint64_t n)
{
    return encode_configuration(
        make_objects(n), n, "note-" + std::to_string(n));
}

peer const source{peer_side::dialled, "entry/a"};

/// A relay whose requests are answered by a peer that holds some of the blobs.
struct relay_fixture
{
    configuration_relay relay{false};
    content_map held;
    time_point now{};
    std::vector<std::uint64_t> activated;

    void perform(configuration_relay_actions const& actions)
    {
        for (configuration_relay_action const& action : actions)
        {
            if (send_configuration_message const* const it =
                    std::get_if<send_configuration_message>(&action))
                reply(it->message.part_request().hash());
            if (configuration_activated const* const it =
                    std::get_if<configuration_activated>(&action))
                activated.push_back(it->current->revision());
        }
    }

    void reply(std::string const& hash)
    {
        wire::configuration_message message;
        wire::part_reply& part = *message.mutable_part_reply();
        part.set_hash(hash);
        auto const it = held.find(hash);
        part.set_found(it != held.end());
        if (it != held.end())
            part.set_content(it->second);
        perform(relay.on_message(source, message, now));
    }

    void announce(encoded_configuration const& it)
    {
        perform(relay.on_peer_head(source, it.head, now));
    }

    void store(encoded_configuration const& it)
    {
        held.insert(it.contents.begin(), it.contents.end());
    }

    void advance_and_tick()
    {
        now += std::chrono::seconds{1};
        perform(relay.on_tick(now));
    }
};

} // namespace

TEST_CASE("a revision becomes active once all its blobs have been received")
{
    relay_fixture it;
    encoded_configuration const next = revision(3);
    it.store(next);
    it.announce(next);
    CHECK(it.activated == std::vector<std::uint64_t>{3});
    CHECK(it.relay.current()->objects() == make_objects(3));
}

TEST_CASE("an older head never replaces a newer one")
{
    relay_fixture it;
    it.store(revision(5));
    it.store(revision(4));
    it.announce(revision(5));
    it.announce(revision(4));
    CHECK(it.activated == std::vector<std::uint64_t>{5});
    CHECK(it.relay.current()->revision() == 5);
}

TEST_CASE("a blob whose hash does not match is rejected")
{
    relay_fixture it;
    encoded_configuration forged = revision(2);
    for (auto part = forged.contents.begin(); part != forged.contents.end();
         ++part)
        part->second += ' ';
    it.store(forged);
    it.announce(forged);
    CHECK(it.activated.empty());
    CHECK(it.relay.current()->revision() == 0);
}

TEST_CASE("missing blobs are requested again after the retry interval")
{
    relay_fixture it;
    encoded_configuration const next = revision(2);
    it.announce(next);
    CHECK(it.activated.empty());
    it.store(next);
    it.advance_and_tick();
    CHECK(it.activated == std::vector<std::uint64_t>{2});
}

TEST_CASE("an agent fetches only the parts that it needs")
{
    configuration_part all;
    for (int n = 0; n < 200; ++n)
    {
        backend_server server;
        server.id = backend_server_id{"b" + std::to_string(n)};
        server.group = model_group_id{"g"};
        all.backend_servers.emplace(server.id, server);
    }
    model_group group;
    group.id = model_group_id{"g"};
    all.model_groups.emplace(group.id, group);
    backend_server_id const self{"b7"};
    relay_fixture it;
    it.relay = configuration_relay{
        false,
        [&](std::uint32_t part, configuration const& held)
        {
            return part == part_of(self.str()) ||
                   (held.find(self) != nullptr && part == part_of("g"));
        }};
    encoded_configuration const next = encode_configuration(all, 1, "n");
    it.store(next);
    it.announce(next);
    CHECK(it.activated == std::vector<std::uint64_t>{1});
    CHECK(it.relay.current()->find(self) != nullptr);
    CHECK(it.relay.current()->find(group.id) != nullptr);
    CHECK(it.relay.current()->objects().backend_servers.size() < 20);
}

TEST_CASE("the active revision is complete in any order of heads and blobs")
{
    rc::prop(
        "the active revision is complete and never decreases",
        [](std::vector<std::uint8_t> const& steps)
        {
            relay_fixture it;
            std::uint64_t last = 0;
            for (std::uint8_t step : steps)
            {
                std::uint64_t const n = 1 + step % 7;
                if (step % 3 == 0)
                    it.store(revision(n));
                else if (step % 3 == 1)
                    it.announce(revision(n));
                else
                    it.advance_and_tick();
                std::uint64_t const current = it.relay.current()->revision();
                RC_ASSERT(current >= last);
                if (current > 0)
                    RC_ASSERT(
                        it.relay.current()->objects() == make_objects(current));
                last = current;
            }
        });
}
