#include <hornbeamweir/configuration/backend_capacity.hpp>
#include <hornbeamweir/configuration/object_json.hpp>
#include <hornbeamweir/configuration/release_note.hpp>

#include <boost/json/serialize.hpp>

namespace hornbeamweir
{

namespace
{

/// Applies a note to its base and collects all errors.
class note_application
{
public:
    note_application(release_note const& note, configuration_part const& base)
        : note_{note}
    {
        effect_.objects = base;
    }

    template <typename Map>
    void add(std::string_view kind, Map const& added, Map& objects)
    {
        for (auto it = added.begin(); it != added.end(); ++it)
        {
            if (!objects.insert(*it).second)
                fail(kind, it->first.str(), "exists already; use 'changed'");
            else
                record_change(change_kind::add, kind, it->first.str(), {});
        }
    }

    template <typename Map>
    void change(std::string_view kind, Map const& changed, Map& objects)
    {
        for (auto it = changed.begin(); it != changed.end(); ++it)
        {
            auto const old = objects.find(it->first);
            if (old == objects.end())
            {
                fail(kind, it->first.str(), "does not exist; use 'added'");
                continue;
            }
            merge(kind, it->second, old->second);
        }
    }

    template <typename Map>
    void withdraw(std::string_view kind, Map& objects)
    {
        auto const ids = note_.withdrawn.find(std::string{kind});
        if (ids == note_.withdrawn.end())
            return;
        for (std::string const& id : ids->second)
        {
            if (objects.erase(typename Map::key_type{id}) == 0)
                fail(kind, id, "does not exist");
            else
                record_change(change_kind::withdraw, kind, id, {});
        }
    }

    void check_references()
    {
        configuration_part const& all = effect_.objects;
        for (auto it = all.backend_servers.begin();
             it != all.backend_servers.end();
             ++it)
            check_server(it->second);
        for (auto it = all.placement_rules.begin();
             it != all.placement_rules.end();
             ++it)
            check_rule(it->second);
        for (auto it = all.model_groups.begin(); it != all.model_groups.end();
             ++it)
            check_group(it->second);
        for (auto it = all.data_centres.begin(); it != all.data_centres.end();
             ++it)
            check_data_centre(it->second);
    }

    [[nodiscard]] tl::expected<note_effect, std::vector<error>> take_result()
    {
        if (!errors_.empty())
            return tl::unexpected<std::vector<error>>{std::move(errors_)};
        return std::move(effect_);
    }

private:
    template <typename T>
    void merge(std::string_view kind, T const& patch, T& object)
    {
        std::string const name = std::string{kind} + "/" + object.id.str();
        boost::json::object const values = to_json(patch);
        boost::json::object merged = to_json(object);
        std::vector<std::string> fields;
        for (std::string const& key : note_.changed_fields.at(name))
        {
            if (merged[key] == values.at(key))
                continue;
            fields.push_back(
                key + ": " + boost::json::serialize(merged[key]) + " -> " +
                boost::json::serialize(values.at(key)));
            merged[key] = values.at(key);
        }
        T updated;
        if (!from_json(merged, updated))
            fail(kind, object.id.str(), "cannot be changed this way");
        object = std::move(updated);
        record_change(
            change_kind::change, kind, object.id.str(), std::move(fields));
    }

    void check_server(backend_server const& server)
    {
        std::string const& id = server.id.str();
        if (server.kind == backend_kind::service)
        {
            if (server.service.empty())
                fail("backend_servers", id, "names no service");
            return;
        }
        auto const group = effect_.objects.model_groups.find(server.group);
        if (group == effect_.objects.model_groups.end())
        {
            fail(
                "backend_servers",
                id,
                "names the model group \"" + server.group.str() + "\", " +
                    describe_missing("model_groups", server.group.str()));
        }
        else if (server.rank >= group->second.ranks)
        {
            fail(
                "backend_servers",
                id,
                "has rank " + std::to_string(server.rank) +
                    ", expected a rank below " +
                    std::to_string(group->second.ranks));
        }
    }

    void check_rule(placement_rule const& rule)
    {
        for (std::string const& group : rule.groups)
        {
            if (!effect_.objects.model_groups.contains(model_group_id{group}))
            {
                fail(
                    "placement_rules",
                    rule.id.str(),
                    "names the model group \"" + group + "\", " +
                        describe_missing("model_groups", group));
            }
        }
        if (!rule.customer.empty() &&
            !effect_.objects.customers.contains(rule.customer))
        {
            fail(
                "placement_rules",
                rule.id.str(),
                "names the customer \"" + rule.customer.str() + "\", " +
                    describe_missing("customers", rule.customer.str()));
        }
    }

    /// Says why a referenced object is missing and, if this note withdraws it,
    /// how to correct the note.
    [[nodiscard]] std::string
    describe_missing(std::string const& kind, std::string const& id) const
    {
        auto const it = note_.withdrawn.find(kind);
        if (it != note_.withdrawn.end() && it->second.contains(id))
            return "which this note withdraws; withdraw or change this object "
                   "too";
        return "which does not exist";
    }

    void check_group(model_group const& group)
    {
        if (group.ranks * group.slots_per_rank < group.experts_per_layer)
        {
            fail(
                "model_groups", group.id.str(), "has fewer slots than experts");
        }
    }

    // Without this check a misspelt id would evacuate nothing. Only the note's
    // own objects are checked, so that the last backend servers of an evacuated
    // data centre can be withdrawn and replaced.
    void check_data_centre(data_centre const& object)
    {
        bool const of_note = note_.added.data_centres.contains(object.id) ||
                             note_.changed.data_centres.contains(object.id);
        if (!object.evacuated || !of_note)
            return;
        std::set<data_centre_id> const known =
            data_centres_of_servers(effect_.objects);
        if (!known.contains(object.id))
        {
            fail(
                "data_centres",
                object.id.str(),
                "is evacuated but named by no backend server, expected " +
                    describe(known));
        }
    }

    void fail(std::string_view kind, std::string const& id, std::string reason)
    {
        errors_.push_back(
            {result_code::invalid_note,
             std::string{kind} + " \"" + id + "\" " + std::move(reason)});
    }

    void record_change(
        change_kind change,
        std::string_view kind,
        std::string const& id,
        std::vector<std::string> fields)
    {
        effect_.changes.push_back(
            {change, std::string{kind}, id, std::move(fields)});
    }

    release_note const& note_;
    note_effect effect_;
    std::vector<error> errors_;

public:
    [[nodiscard]] configuration_part& objects() noexcept
    {
        return effect_.objects;
    }
};

} // namespace

tl::expected<note_effect, std::vector<error>>
apply_note(release_note const& note, configuration_part const& base)
{
    note_application application{note, base};
    configuration_part& objects = application.objects();
    application.withdraw("placement_rules", objects.placement_rules);
    application.withdraw("data_centres", objects.data_centres);
    application.withdraw("backend_servers", objects.backend_servers);
    application.withdraw("customers", objects.customers);
    application.withdraw("model_groups", objects.model_groups);
    application.add(
        "model_groups", note.added.model_groups, objects.model_groups);
    application.add("customers", note.added.customers, objects.customers);
    application.add(
        "backend_servers", note.added.backend_servers, objects.backend_servers);
    application.add(
        "placement_rules", note.added.placement_rules, objects.placement_rules);
    application.add(
        "data_centres", note.added.data_centres, objects.data_centres);
    application.change(
        "model_groups", note.changed.model_groups, objects.model_groups);
    application.change("customers", note.changed.customers, objects.customers);
    application.change(
        "backend_servers",
        note.changed.backend_servers,
        objects.backend_servers);
    application.change(
        "placement_rules",
        note.changed.placement_rules,
        objects.placement_rules);
    application.change(
        "data_centres", note.changed.data_centres, objects.data_centres);
    application.check_references();
    return application.take_result();
}

} // namespace hornbeamweir
