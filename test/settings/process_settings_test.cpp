#include <hornbeamweir/settings/process_settings.hpp>
#include <hornbeamweir/settings/relay_settings.hpp>

#include <catch2/catch.hpp>

using namespace hornbeamweir;

namespace
{

std::string const valid_entry = R"(identity: {name: e1, data_centre: a, vm: v}
callers:
  address: 127.0.0.1:8080
admin_address: 127.0.0.1:9080
messages:
  address: 127.0.0.1:7000
  public_key: '0123456789012345678901234567890123456789'
  secret_key: '0123456789012345678901234567890123456789'
  allowed_keys: []
platform:
  addresses: ['127.0.0.1:2379']
)";

std::string replaced(
    std::string const& from,
    std::string const& to,
    std::string text = valid_entry)
{
    std::size_t const at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

TEST_CASE("valid settings are read")
{
    settings_result<entry_settings> const settings =
        read_entry_settings(valid_entry, "e.yaml");
    REQUIRE(settings);
    CHECK(settings->identity.name.str() == "e1");
    CHECK(settings->callers.address == "127.0.0.1:8080");
    CHECK(settings->callers.max_body_bytes == 4U * 1024 * 1024);
}

TEST_CASE("each kind of error gives its position, what was found and what was "
          "expected")
{
    struct row
    {
        std::string text;
        std::string expected;
    };
    std::vector<row> const rows{
        {replaced("vm: v}", "vm: v, color: red}"),
         "e.yaml:1:45: identity.color: found an unknown key, expected one of "
         "data_centre name vm"},
        {replaced("  address: 127.0.0.1:8080", "  max_connections: 5"),
         "e.yaml:3:3: callers.address: found nothing, expected an IP address "
         "and port, such as 10.0.0.1:80"},
        {replaced("127.0.0.1:8080", "example.org:8080"),
         "e.yaml:3:12: callers.address: found \"example.org:8080\", expected "
         "an IP address and port, such as 10.0.0.1:80"},
        {replaced("  allowed_keys: []", "  allowed_keys: none"),
         "e.yaml:9:17: messages.allowed_keys: found \"none\", expected a "
         "sequence of strings"},
        {replaced("8080\n", "8080\n  max_body_bytes: 12\n"),
         "e.yaml:4:19: callers.max_body_bytes: found \"12\", expected a whole "
         "number from 1024 to 67108864"},
        {replaced("8080\n", "8080\n  address: 127.0.0.1:1\n"),
         "e.yaml:4:3: callers.address: found a repeated key, expected each key "
         "once"},
        {replaced("name: e1", "name: 'a b'"),
         "e.yaml:1:18: identity.name: found \"a b\", expected a name of up to "
         "128 letters, digits, '-', '_' or '.'"},
        {replaced("public_key: '0", "public_key: '"),
         "e.yaml:7:15: messages.public_key: found 39 characters, expected a "
         "Z85 key of 40 characters"},
        {valid_entry + "log: {level: loud}\n",
         "e.yaml:12:14: log.level: found \"loud\", expected one of debug info "
         "warning error"},
        {"[1, 2]", "e.yaml:1:1: found a sequence, expected a mapping"},
    };
    for (row const& it : rows)
    {
        settings_result<entry_settings> const settings =
            read_entry_settings(it.text, "e.yaml");
        REQUIRE(!settings);
        INFO(to_string(settings.error()));
        CHECK(
            to_string(settings.error()).find(it.expected) != std::string::npos);
    }
}

TEST_CASE("all errors are reported at once, sorted by position")
{
    settings_result<entry_settings> const settings = read_entry_settings(
        replaced("127.0.0.1:9080", "x", replaced("name: e1", "name: ''")),
        "e.yaml");
    REQUIRE(!settings);
    CHECK(settings.error().size() == 2);
    std::string const text = to_string(settings.error());
    CHECK(text.find("identity.name") < text.find("admin_address"));
}

TEST_CASE("text that is not YAML gives an error that names the file")
{
    for (std::string const text : {"a: [", "a: b: c", "\"", "{", "- a\nb"})
    {
        settings_result<agent_settings> const settings =
            read_agent_settings(text, "a.yaml");
        REQUIRE(!settings);
        CHECK(settings.error().front().file == "a.yaml");
    }
}

TEST_CASE("bounds of a relaying entry may have fractions")
{
    std::string const text = R"(name: e1
data_centre: a
callers_address: 127.0.0.1:1
readiness_address: 127.0.0.1:2
peers_address: 127.0.0.1:3
metrics_address: 127.0.0.1:4
platform_address: 127.0.0.1:5
key_withdrawal_ms: 4999.5
grace_s: 7.25
repeats: {ratio: 0.2, allowance: 38.82352941176471, window_s: 9.5}
)";
    settings_result<relay_entry_settings> const settings =
        read_relay_entry_settings(text, "e.yaml");
    REQUIRE(settings);
    CHECK(settings->key_withdrawal_ms == Approx(4999.5));
    CHECK(settings->grace_s == Approx(7.25));
    CHECK(settings->retry_allowance == Approx(38.8235));
    CHECK(settings->retry_window_s == Approx(9.5));
}

// An agent that is not told so must not rely on engines that check fences.
TEST_CASE("engines check fencing tokens only if the settings say so")
{
    std::string const text = R"(name: a1
data_centre: a
service: lm
rank_address: 127.0.0.1:1
peers_address: 127.0.0.1:2
metrics_address: 127.0.0.1:3
platform_address: 127.0.0.1:4
)";
    settings_result<rank_agent_settings> const without =
        read_rank_agent_settings(text, "a.yaml");
    REQUIRE(without);
    CHECK_FALSE(without->fences_checked);
    settings_result<rank_agent_settings> const with =
        read_rank_agent_settings(text + "fences_checked: true\n", "a.yaml");
    REQUIRE(with);
    CHECK(with->fences_checked);
}

// Without the section, processes assume a small machine.
TEST_CASE("the limits of the machine may have fractions and be left out")
{
    settings_result<entry_settings> const without =
        read_entry_settings(valid_entry, "e.yaml");
    REQUIRE(without);
    CHECK(without->limits == machine_limits{});
    settings_result<entry_settings> const with = read_entry_settings(
        valid_entry + "limits: {memory_mb: 112.5, descriptors: 2870}\n",
        "e.yaml");
    REQUIRE(with);
    CHECK(with->limits.memory_mb == Approx(112.5));
    CHECK(with->limits.descriptors == Approx(2870));
}
