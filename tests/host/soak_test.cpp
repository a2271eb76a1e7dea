#include "soak.h"

#include <catch2/catch.hpp>

using namespace kelptally;

namespace {

struct RegressionSeed
{
    std::uint64_t seed;
    const char *cause;
};

// Schedules that once violated a guarantee or did not recover.
constexpr RegressionSeed faultRegressions[] = {
    {7, "an owner reported by a peer without its incarnation hid the row of its claim"},
    {15, "replicas stopped by a late command stayed stopped"},
    {21, "a change was cancelled while its promotion call was in flight"},
    {34, "a planned change with a lagging candidate never ended"},
    {50, "replicas stopped by a late command stayed stopped"},
    {92, "a resumed owner read from the old primary of its own planned change"},
    {285, "a candidate that had failed was left out of the comparison"},
    {446, "a candidate that had failed was left out of the comparison"},
    {1020, "an owner that regained its group read from the primary it had known before"},
    {2227, "an owner that regained its group read from the primary it had known before"},
    {5250, "an owner that regained its group read from the primary it had known before"},
    {6059, "an owner that regained its group read from the primary it had known before"},
    {102316, "a replaced primary's acknowledgement was accepted in a planned change"},
    {201299, "an owner used its first candidate while the call for its second was in flight"},
    {303767, "a new owner used a server that was not the last recorded candidate as primary"},
    {21000498, "a new owner used a server that was not the last recorded candidate as primary"},
    {41000216, "a new owner used a server that was not the last recorded candidate as primary"},
    {41002864, "a replaced primary's acknowledgement was accepted in a planned change"},
    {14000048, "a listed primary that reported to be a replica was waited for without end"},
    {14000455, "a candidate that had never led was left out of the comparison"},
    {23001993, "the old primary continued to lead while a candidate that had led was unreachable"},
    {23006321, "an acknowledgement arrived after its server was no longer used as primary"},
    {82000644, "commits of an earlier owner were ignored in the second change"},
    {94000983,
     "a replaced primary led again, as the second candidate was idle and the first unreachable"},
    {95000437, "a primary that must not lead any more was waited for without end"},
    {95000540, "a primary that must not lead any more was waited for without end"},
    {700705, "a write was repeated after its owner had forgotten its result"},
};

} // namespace

TEST_CASE("Schedules with known regressions pass")
{
    for (const RegressionSeed &regression : faultRegressions) {
        const model::SoakResult result = model::runSoak(regression.seed);
        INFO("seed " << regression.seed << ": " << regression.cause);
        CHECK(result.violations == std::vector<std::string>());
        CHECK(result.recovered);
    }
}

// Uses fixed seeds. soak_checker runs arbitrary ones.
TEST_CASE("Random faults violate no guarantee, and service recovers after them")
{
    int promotions = 0;
    int acknowledged = 0;
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        const model::SoakResult result = model::runSoak(seed);
        INFO("seed " << seed);
        CHECK(result.violations == std::vector<std::string>());
        CHECK(result.recovered);
        promotions += result.promotions;
        acknowledged += result.acknowledged;
    }
    // Guards against schedules that exercise nothing.
    CHECK(promotions > 50);
    CHECK(acknowledged > 10'000);
}

TEST_CASE("Schedules of connection faults with known regressions pass")
{
    constexpr RegressionSeed regressions[] = {
        {16, "owners that could not reach a primary handed a group to each other without end"},
        {100744, "a repeated end of a lost transaction ended the session's next one"},
    };
    for (const RegressionSeed &regression : regressions) {
        const model::SoakResult result =
            model::runSoak(regression.seed, model::SoakKind::Connections);
        INFO("seed " << regression.seed << ": " << regression.cause);
        CHECK(result.violations == std::vector<std::string>());
        CHECK(result.recovered);
    }
}

TEST_CASE("Silent and reset connections among other faults violate no guarantee")
{
    int acknowledged = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        const model::SoakResult result = model::runSoak(seed, model::SoakKind::Connections);
        INFO("seed " << seed);
        CHECK(result.violations == std::vector<std::string>());
        CHECK(result.recovered);
        acknowledged += result.acknowledged;
    }
    CHECK(acknowledged > 4'000);
}

TEST_CASE("Schedules of membership changes with known regressions pass")
{
    constexpr RegressionSeed regressions[] = {
        {8,
         "the one server that need not answer was a replica, as the last primary had left the "
         "list"},
        {12,
         "the row named no primary after a change, so that one server was not required to answer"},
        {24, "an empty server was counted for the replica that it replaced"},
        {58, "a replica that had left the list was not waited for"},
        {61, "an owner promoted a server that lacked commits acknowledged by the owner"},
        {146, "a primary was replaced by a server that lacked commits acknowledged by the owner"},
        {184,
         "the row named no primary after a change, so that one server was not required to answer"},
        {202, "an owner promoted a server that lacked commits acknowledged by the owner"},
        {211, "an owner that knew only one server promoted it"},
        {253, "an owner promoted a server that lacked commits acknowledged by the owner"},
        {234, "an empty server was counted for the replica that it replaced"},
        {460, "an empty server was counted for one that the next owner did not know"},
        {653, "the answer of a server that had left the list was counted for another one"},
        {1157,
         "a primary that acknowledged nothing was replaced by a server that lacked commits "
         "acknowledged by the owner"},
        {1932, "the model used the log of a primary that had been replaced while it was down"},
    };
    for (const RegressionSeed &regression : regressions) {
        const model::SoakResult result =
            model::runSoak(regression.seed, model::SoakKind::Membership);
        INFO("seed " << regression.seed << ": " << regression.cause);
        INFO("first: " << (result.violations.empty() ? "none" : result.violations.front()));
        CHECK(result.violations.size() == 0);
        CHECK(result.recovered);
    }
}

TEST_CASE("Random membership changes among other faults lose no acknowledged commit")
{
    int promotions = 0;
    int acknowledged = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const model::SoakResult result = model::runSoak(seed, model::SoakKind::Membership);
        INFO("seed " << seed);
        INFO("first: " << (result.violations.empty() ? "none" : result.violations.front()));
        CHECK(result.violations.size() == 0);
        CHECK(result.recovered);
        promotions += result.promotions;
        acknowledged += result.acknowledged;
    }
    // Guards against schedules that exercise nothing.
    CHECK(promotions > 20);
    CHECK(acknowledged > 20'000);
}
