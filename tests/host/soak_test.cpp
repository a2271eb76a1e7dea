#include "soak.h"

#include <catch2/catch.hpp>

using namespace kelptally;

namespace {

struct RegressionSeed
{
    std::uint64_t seed;
    const char *cause;
};

// Schedules that once broke a promise, or did not recover.
constexpr RegressionSeed faultRegressions[] = {
    {7, "news of an owner without its run hid the row that made it one"},
    {15, "replicas stopped by a late command stayed stopped"},
    {21, "a change was cancelled whose call was under way"},
    {34, "a planned change whose candidate fell behind never ended"},
    {50, "replicas stopped by a late command stayed stopped"},
    {92, "a woken owner read at the old primary of its own planned change"},
    {285, "a candidate that had failed was left out of the comparison"},
    {446, "a candidate that had failed was left out of the comparison"},
    {1020, "an owner that got its group back read at the primary it had known"},
    {2227, "an owner that got its group back read at the primary it had known"},
    {5250, "an owner that got its group back read at the primary it had known"},
    {6059, "an owner that got its group back read at the primary it had known"},
    {102316, "a replaced primary's acknowledgement was believed in a planned change"},
    {201299, "an owner led with its first candidate while the call for its second was under way"},
    {303767, "a new owner led with a server that was not the candidate recorded last"},
    {21000498, "a new owner led with a server that was not the candidate recorded last"},
    {41000216, "a new owner led with a server that was not the candidate recorded last"},
    {41002864, "a replaced primary's acknowledgement was believed in a planned change"},
    {14000048, "a listed primary that said it was none was waited for without end"},
    {14000455, "a candidate that had never led was left out of the comparison"},
    {23001993, "the old primary led on while a candidate that had led could not be heard"},
    {23006321, "an acknowledgement came after its server was given up as the primary"},
    {82000644, "what an earlier owner had acknowledged did not count for the second change"},
    {94000983,
     "a replaced primary led again, as the second candidate was idle and the first unheard"},
    {95000437, "a primary that may not lead any more was waited for without end"},
    {95000540, "a primary that may not lead any more was waited for without end"},
    {700705, "a write was sent again after its owner had forgotten that it had run"},
};

} // namespace

TEST_CASE("Schedules that failed once pass")
{
    for (const RegressionSeed &regression : faultRegressions) {
        const model::SoakResult result = model::runSoak(regression.seed);
        INFO("seed " << regression.seed << ": " << regression.cause);
        CHECK(result.violations == std::vector<std::string>());
        CHECK(result.recovered);
    }
}

// Long runs are soak_checker's; these seeds are the same at every run.
TEST_CASE("Random faults break no promise, and service is back after them")
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
    // The schedules reach what they are for.
    CHECK(promotions > 50);
    CHECK(acknowledged > 10'000);
}

TEST_CASE("Schedules with connection faults that failed once pass")
{
    constexpr RegressionSeed regressions[] = {
        {16, "owners that did not reach a primary passed a group to each other without end"},
        {100744, "the end of a lost transaction was sent again and ended the session's next one"},
    };
    for (const RegressionSeed &regression : regressions) {
        const model::SoakResult result =
            model::runSoak(regression.seed, model::SoakKind::Connections);
        INFO("seed " << regression.seed << ": " << regression.cause);
        CHECK(result.violations == std::vector<std::string>());
        CHECK(result.recovered);
    }
}

TEST_CASE("Connections that go silent or are reset among other faults break no promise")
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

TEST_CASE("Schedules with changes of the servers that failed once pass")
{
    constexpr RegressionSeed regressions[] = {
        {8,
         "the one server that may stay unheard was a replica, as the last primary had left the "
         "list"},
        {12, "the row named no primary after a change, so that a server might stay unheard"},
        {24, "an empty server counted for the replica in whose place it came"},
        {58, "a replica that had left the list was not waited for"},
        {61, "an owner promoted a server that lacked what it had acknowledged itself"},
        {146, "a primary was replaced by a server that lacked what the owner had acknowledged"},
        {184, "the row named no primary after a change, so that a server might stay unheard"},
        {202, "an owner promoted a server that lacked what it had acknowledged itself"},
        {211, "an owner that had heard of one server only promoted it"},
        {253, "an owner promoted a server that lacked what it had acknowledged itself"},
        {234, "an empty server counted for the replica in whose place it came"},
        {460, "an empty server counted for one of which the next owner knew nothing"},
        {653, "the word of a server that had left the list counted for another one"},
        {1157,
         "a primary that acknowledged nothing was replaced by a server that lacked what the owner "
         "had acknowledged"},
        {1932, "the model asked a primary that had been replaced while it was down"},
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

TEST_CASE("Random changes of the servers among other faults lose no acknowledged commit")
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
    // The schedules reach what they are for.
    CHECK(promotions > 20);
    CHECK(acknowledged > 20'000);
}
