#include "hornbeamgate/gateway/route_table.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;

namespace {

RouteRule route(const std::string& name, const std::string& authority, const std::string& prefix)
{
    RouteRule result;
    result.name = name;
    result.authority = authority;
    result.pathPrefix = prefix;
    result.services = { { ServiceId("s"), 1 } };
    return result;
}

} // namespace

TEST_CASE("the longest path prefix within the authority selects the route [routes]")
{
    FleetConfig config;
    config.routes = { route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/") };
    const RouteTable table(std::move(config));
    CHECK(table.findRoute("a.example", "/x/1")->name == "short");
    CHECK(table.findRoute("a.example", "/x/y/1")->name == "long");
    CHECK(table.findRoute("b.example", "/x/y/1")->name == "other");
    CHECK_FALSE(table.findRoute("a.example", "/z/"));
    CHECK_FALSE(table.findRoute("c.example", "/x/"));
}

TEST_CASE("a key belongs to the workspace that lists it [routes]")
{
    FleetConfig config;
    WorkspaceRule first;
    first.id = WorkspaceId("one");
    first.keys = { "k1", "k2" };
    WorkspaceRule second;
    second.id = WorkspaceId("two");
    second.keys = { "k3" };
    config.workspaces = { first, second };
    const RouteTable table(std::move(config));
    CHECK(table.findWorkspace("k2")->id == WorkspaceId("one"));
    CHECK(table.findWorkspace("k3")->id == WorkspaceId("two"));
    CHECK_FALSE(table.findWorkspace("k"));
    CHECK_FALSE(table.findWorkspace(""));
}

TEST_CASE("requests are distributed over services by weight, deterministically per request [routes]")
{
    auto split = route("split", "a.example", "/");
    split.services = { { ServiceId("most"), 90 }, { ServiceId("some"), 10 }, { ServiceId("none"), 0 } };
    int some = 0;
    for (std::uint64_t hash = 0; hash < 1000; ++hash) {
        const auto& service = RouteTable::chooseService(split, hash);
        REQUIRE(service != ServiceId("none"));
        CHECK(service == RouteTable::chooseService(split, hash));
        some += service == ServiceId("some") ? 1 : 0;
    }
    CHECK(some == 100);
}
