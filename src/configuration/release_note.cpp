#include <hornbeamweir/configuration/object_fields.hpp>
#include <hornbeamweir/configuration/release_note.hpp>
#include <hornbeamweir/core/content_hash.hpp>

namespace hornbeamweir
{

namespace
{

constexpr std::uint64_t max_revision = 1ULL << 53U;
constexpr std::size_t token_hash_size = 64;
constexpr std::size_t agent_key_size = 40;

/// Forwards to a yaml_object. In a change, all fields except the id are
/// optional.
class note_fields
{
public:
    note_fields(yaml_object& in, bool is_change) noexcept
        : in_{in}
        , is_change_{is_change}
    {
    }

    template <typename Tag>
    void id(std::string_view key, identifier<Tag>& out, presence need)
    {
        in_.id(key, out, key == "id" ? need : adjusted(need));
    }
    void string(std::string_view key, std::string& out, presence need)
    {
        in_.string(key, out, adjusted(need));
    }
    void address(std::string_view key, std::string& out, presence need)
    {
        in_.address(key, out, adjusted(need));
    }
    void flag(std::string_view key, bool& out, presence need)
    {
        in_.flag(key, out, adjusted(need));
    }
    void number(
        std::string_view key,
        std::uint32_t& out,
        bounds<std::uint64_t> range,
        presence need)
    {
        in_.number(key, out, range, adjusted(need));
    }
    void
    real(std::string_view key, double& out, bounds<double> range, presence need)
    {
        in_.real(key, out, range, adjusted(need));
    }
    template <typename Enum>
    void choice(std::string_view key, Enum& out, presence need)
    {
        in_.choice(key, out, adjusted(need));
    }
    void
    strings(std::string_view key, std::vector<std::string>& out, presence need)
    {
        in_.strings(key, out, adjusted(need));
    }

private:
    [[nodiscard]] presence adjusted(presence need) const noexcept
    {
        return is_change_ ? presence::optional : need;
    }

    yaml_object& in_;
    bool is_change_;
};

void check_value(yaml_object&, model_group const&) {}
void check_value(yaml_object&, placement_rule const&) {}
void check_value(yaml_object&, data_centre const&) {}

void check_value(yaml_object& in, customer const& object)
{
    if (!object.token_hash.empty() &&
        object.token_hash.size() != token_hash_size)
    {
        in.report(
            "token_hash",
            std::to_string(object.token_hash.size()) + " characters",
            "a SHA-256 of 64 hexadecimal digits");
    }
}

void check_value(yaml_object& in, backend_server const& object)
{
    if (!object.agent_key.empty() && object.agent_key.size() != agent_key_size)
    {
        in.report(
            "agent_key",
            std::to_string(object.agent_key.size()) + " characters",
            "a Z85 key of 40 characters");
    }
}

template <typename Map>
void read_objects(
    yaml_object& section,
    std::string_view kind,
    bool is_change,
    Map& out,
    std::map<std::string, std::set<std::string>>& present)
{
    section.objects(
        kind,
        [&](yaml_object& item)
        {
            typename Map::mapped_type object;
            note_fields fields{item, is_change};
            visit_fields(fields, object);
            check_value(item, object);
            if (object.id.empty())
                return;
            if (out.contains(object.id))
                item.report("id", "a repeated id", "each object once");
            std::string const name = std::string{kind} + "/" + object.id.str();
            present[name] = item.present_keys();
            typename Map::key_type const id = object.id;
            out.insert_or_assign(id, std::move(object));
        },
        presence::optional);
}

void read_sections(yaml_object& document, release_note& note)
{
    std::map<std::string, std::set<std::string>> ignored;
    document.object(
        "added",
        [&](yaml_object& section)
        {
            for_each_kind(
                note.added,
                [&](std::string_view kind, auto& objects)
                { read_objects(section, kind, false, objects, ignored); });
        },
        presence::optional);
    document.object(
        "changed",
        [&](yaml_object& section)
        {
            for_each_kind(
                note.changed,
                [&](std::string_view kind, auto& objects) {
                    read_objects(
                        section, kind, true, objects, note.changed_fields);
                });
        },
        presence::optional);
    document.object(
        "withdrawn",
        [&](yaml_object& section)
        {
            for_each_kind(
                configuration_part{},
                [&](std::string_view kind, auto const&)
                {
                    std::vector<std::string> ids;
                    section.strings(kind, ids, presence::optional);
                    if (!ids.empty())
                        note.withdrawn[std::string{kind}] = {
                            ids.begin(), ids.end()};
                });
        },
        presence::optional);
}

} // namespace

tl::expected<release_note, diagnostics>
read_release_note(std::string const& text, std::string const& file)
{
    diagnostics faults;
    release_note note;
    note.hash = content_hash(text);
    YAML::Node const node = parse_yaml(text, file, faults);
    if (faults.empty())
    {
        yaml_object document{node, file, "", faults};
        identifier<struct note_tag> id;
        document.id("note", id, presence::required);
        note.id = id.str();
        document.number(
            "base_revision",
            note.base_revision,
            {0, max_revision},
            presence::required);
        read_sections(document, note);
        document.finish();
    }
    if (!faults.empty())
        return tl::unexpected<diagnostics>{std::move(faults)};
    return note;
}

} // namespace hornbeamweir
