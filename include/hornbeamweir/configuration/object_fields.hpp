#pragma once

#include <hornbeamweir/configuration/objects.hpp>
#include <hornbeamweir/settings/yaml_object.hpp>

/// \file
/// \brief Lists the fields of each object once, for all readers and writers.
/// \remarks A visitor has the functions id, string, flag, number, real, choice,
/// address and strings, with the parameters that they have in yaml_object.

namespace hornbeamweir
{

template <typename Visitor>
void visit_fields(Visitor& visitor, model_group& object)
{
    visitor.id("id", object.id, presence::required);
    visitor.string("model", object.model, presence::required);
    visitor.number("ranks", object.ranks, {1, 1024}, presence::required);
    visitor.number("layers", object.layers, {1, 1024}, presence::optional);
    visitor.number(
        "experts_per_layer",
        object.experts_per_layer,
        {1, 4096},
        presence::required);
    visitor.number(
        "slots_per_rank", object.slots_per_rank, {1, 4096}, presence::required);
    visitor.choice("profile", object.profile, presence::optional);
}

template <typename Visitor>
void visit_fields(Visitor& visitor, customer& object)
{
    visitor.id("id", object.id, presence::required);
    visitor.string("token_hash", object.token_hash, presence::required);
    visitor.real(
        "requests_per_second",
        object.requests_per_second,
        {0.001, 1e6},
        presence::optional);
    visitor.number("burst", object.burst, {1, 1'000'000}, presence::optional);
    visitor.number(
        "concurrency", object.concurrency, {1, 1'000'000}, presence::optional);
    visitor.number("weight", object.weight, {1, 1000}, presence::optional);
    visitor.number("priority", object.priority, {0, 9}, presence::optional);
}

template <typename Visitor>
void visit_fields(Visitor& visitor, backend_server& object)
{
    visitor.id("id", object.id, presence::required);
    visitor.choice("kind", object.kind, presence::required);
    visitor.id("group", object.group, presence::optional);
    visitor.number("rank", object.rank, {0, 1023}, presence::optional);
    visitor.string("service", object.service, presence::optional);
    visitor.id("vm", object.vm, presence::required);
    visitor.id("data_centre", object.data_centre, presence::required);
    visitor.address("agent_address", object.agent_address, presence::required);
    visitor.string("agent_key", object.agent_key, presence::required);
    visitor.flag("draining", object.draining, presence::optional);
    visitor.flag("checks_fence", object.checks_fence, presence::optional);
}

template <typename Visitor>
void visit_fields(Visitor& visitor, placement_rule& object)
{
    visitor.id("id", object.id, presence::required);
    visitor.id("customer", object.customer, presence::optional);
    visitor.string("model", object.model, presence::optional);
    visitor.string("service", object.service, presence::optional);
    visitor.strings("groups", object.groups, presence::optional);
    visitor.strings("data_centres", object.data_centres, presence::optional);
}

template <typename Visitor>
void visit_fields(Visitor& visitor, data_centre& object)
{
    visitor.id("id", object.id, presence::required);
    visitor.flag("evacuated", object.evacuated, presence::optional);
}

} // namespace hornbeamweir
