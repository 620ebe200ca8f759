#include <hornbeamweir/configuration/release_note.hpp>

#include <catch2/catch.hpp>

using namespace hornbeamweir;

namespace
{

std::string const key(40, 'k');
std::string const hash(64, 'a');

release_note read(std::string const& text)
{
    tl::expected<release_note, diagnostics> const note =
        read_release_note(text, "n.yaml");
    if (!note)
        FAIL(to_string(note.error()));
    return *note;
}

std::string const first_note =
    "note: first\nbase_revision: 0\nadded:\n"
    "  model_groups:\n"
    "    - {id: g, model: m, ranks: 2, experts_per_layer: 4, slots_per_rank: "
    "2}\n"
    "  customers:\n"
    "    - {id: c, token_hash: " +
    hash +
    "}\n"
    "  backend_servers:\n"
    "    - {id: b, kind: rank, group: g, rank: 1, vm: v, data_centre: d, "
    "agent_address: '127.0.0.1:1', agent_key: '" +
    key + "'}\n  data_centres: [{id: d}]\n";

configuration_part base()
{
    return apply_note(read(first_note), {}).value().objects;
}

std::string changes_of(note_effect const& effect)
{
    std::string text;
    for (object_change const& it : effect.changes)
    {
        text += std::string{name_of(it.change)} + " " + it.kind + " " + it.id;
        for (std::string const& field : it.fields)
            text += " (" + field + ")";
        text += ";";
    }
    return text;
}

} // namespace

TEST_CASE("a note adds, changes and withdraws objects")
{
    struct row
    {
        std::string body;
        std::string changes;
    };
    std::vector<row> const rows{
        {"changed: {customers: [{id: c, burst: 7}]}",
         "change customers c (burst: 100 -> 7);"},
        {"changed: {backend_servers: [{id: b, draining: true}]}",
         "change backend_servers b (draining: false -> true);"},
        {"changed: {customers: [{id: c, burst: 100}]}", "change customers c;"},
        {"withdrawn: {customers: [c]}", "withdraw customers c;"},
        {"added: {data_centres: [{id: e}]}", "add data_centres e;"},
        {"changed: {data_centres: [{id: d, evacuated: true}]}",
         "change data_centres d (evacuated: false -> true);"},
        {"changed: {data_centres: [{id: d, evacuated: false}]}",
         "change data_centres d;"},
        {"withdrawn: {data_centres: [d]}", "withdraw data_centres d;"},
        {"withdrawn: {backend_servers: [b], model_groups: [g]}",
         "withdraw backend_servers b;withdraw model_groups g;"},
    };
    for (row const& it : rows)
    {
        tl::expected<note_effect, std::vector<error>> const effect = apply_note(
            read("note: second\nbase_revision: 1\n" + it.body), base());
        REQUIRE(effect);
        CHECK(changes_of(*effect) == it.changes);
    }
}

TEST_CASE("a note that cannot be applied to its base gives the reason")
{
    struct row
    {
        std::string body;
        std::string reason;
    };
    std::vector<row> const rows{
        {"withdrawn: {model_groups: [g]}",
         "backend_servers \"b\" names the model group \"g\", which this note "
         "withdraws; withdraw or change this object too"},
        {"withdrawn: {customers: [x]}", "customers \"x\" does not exist"},
        {"changed: {customers: [{id: x, burst: 7}]}",
         "customers \"x\" does not exist; use 'added'"},
        {"added: {customers: [{id: c, token_hash: " + hash + "}]}",
         "customers \"c\" exists already; use 'changed'"},
        {"changed: {backend_servers: [{id: b, rank: 2}]}",
         "backend_servers \"b\" has rank 2, expected a rank below 2"},
        {"changed: {model_groups: [{id: g, slots_per_rank: 1}]}",
         "model_groups \"g\" has fewer slots than experts"},
        {"added: {data_centres: [{id: e, evacuated: true}]}",
         "data_centres \"e\" is evacuated but named by no backend server, "
         "expected one of d"},
        {"withdrawn: {backend_servers: [b]}\nchanged: {data_centres: [{id: d, "
         "evacuated: true}]}",
         "data_centres \"d\" is evacuated but named by no backend server, "
         "expected a data centre of a backend server, but there are none"},
        {"changed: {data_centres: [{id: e, evacuated: true}]}",
         "data_centres \"e\" does not exist; use 'added'"},
        {"added: {placement_rules: [{id: r, groups: [h]}]}",
         "placement_rules \"r\" names the model group \"h\", which does not "
         "exist"},
    };
    for (row const& it : rows)
    {
        tl::expected<note_effect, std::vector<error>> const effect = apply_note(
            read("note: second\nbase_revision: 1\n" + it.body), base());
        REQUIRE(!effect);
        CHECK(effect.error().front().message == it.reason);
    }
}

TEST_CASE("errors in a note give their position")
{
    struct row
    {
        std::string text;
        std::string expected;
    };
    std::vector<row> const rows{
        {"note: n\nbase_revision: -1\n",
         "n.yaml:2:16: base_revision: found \"-1\", expected a whole number"},
        {"note: n\nbase_revision: 0\nremoved: {}\n",
         "n.yaml:3:1: removed: found an unknown key"},
        {"note: n\nbase_revision: 0\nadded: {customers: [{id: c}]}\n",
         "added.customers[0].token_hash: found nothing, expected a string"},
        {"note: n\nbase_revision: 0\nadded:\n  customers:\n"
         "    - {id: c, token_hash: " +
             hash + "}\n    - {id: c, token_hash: " + hash + "}\n",
         "n.yaml:6:12: added.customers[1].id: found a repeated id"},
        {"note: n\nbase_revision: 0\nadded: {data_centres: [{id: d, evacuated: "
         "1}]}\n",
         "n.yaml:3:43: added.data_centres[0].evacuated: found \"1\", expected "
         "true or false"},
        {"base_revision: 0\n", "n.yaml:1:1: note: found nothing"},
    };
    for (row const& it : rows)
    {
        tl::expected<release_note, diagnostics> const note =
            read_release_note(it.text, "n.yaml");
        REQUIRE(!note);
        INFO(to_string(note.error()));
        CHECK(to_string(note.error()).find(it.expected) != std::string::npos);
    }
}

// Guards against an upgrade that can't read the parts of the version before,
// and against an object that is lost on the way to the entries.
TEST_CASE("parts contain data centres, and older parts are read without them")
{
    configuration_part part;
    part.data_centres[data_centre_id{"d"}] = {data_centre_id{"d"}, true};
    CHECK(decode_part(encode_part(part)) == part);
    std::string const older =
        R"({"model_groups":[],"customers":[],"backend_servers":[],)"
        R"("placement_rules":[]})";
    CHECK(decode_part(older) == configuration_part{});
    CHECK(!decode_part(R"({"data_centres":[]})"));
}
