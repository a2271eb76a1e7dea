#include "configurationsoak.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <unistd.h>

using namespace kelptally;
using namespace kelptally::platform;
using namespace std::chrono_literals;

namespace {

// Runs the plan in a folder of the build tree, which is kept after a failure.
void checkSoak(ConfigurationSoakPlan plan)
{
    plan.folder = std::string(BUILD_DIRECTORY) + "/late_configuration_" + std::to_string(::getpid())
        + "_" + std::to_string(plan.seed);
    std::filesystem::create_directories(plan.folder);
    const ConfigurationSoakResult result = runConfigurationSoak(plan);
    INFO("seed " << plan.seed << ", logs in " << plan.folder << ": " << describe(result));
    CHECK(result.versions > 0);
    CHECK(result.disturbances > 0);
    CHECK(result.late.empty());
    if (result.late.empty())
        std::filesystem::remove_all(plan.folder);
}

} // namespace

TEST_CASE("A host whose relay loses the store has a configuration in time on silent connections")
{
    ConfigurationSoakPlan plan;
    plan.hosts = 8;
    plan.zones = 2;
    plan.largeHosts = 2;
    plan.length = 22s;
    plan.cutsOwners = true;
    checkSoak(plan);
}

TEST_CASE("A host without relays has a configuration in time when the store discards its history")
{
    ConfigurationSoakPlan plan;
    plan.hosts = 12;
    plan.largeHosts = 3;
    plan.length = 22s;
    plan.cutsOwners = true;
    plan.discardsHistory = true;
    checkSoak(plan);
}

TEST_CASE("Configurations are in force in time while connections to the store go silent")
{
    ConfigurationSoakPlan plan;
    plan.linkRate = 1'250'000;
    plan.routes = 1400;
    plan.length = 30s;
    plan.cuts = true;
    plan.freezes = true;
    plan.restarts = true;
    checkSoak(plan);
}
