#include "decision/configapply.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <deque>
#include <map>

using namespace kelptally;
using namespace kelptally::decision;
using namespace std::chrono_literals;

namespace {

const Instant begin {1h};

template <typename T>
bool is(const std::optional<ApplyAction> &action)
{
    return action && std::holds_alternative<T>(*action);
}

// Returns an apply of version 4 that has read the newest row and is about to write.
ConfigApply readyToWrite()
{
    ConfigApply apply(3, "mine", 10s, 1);
    REQUIRE(is<ReadNewestRow>(apply.start(begin)));
    const auto action = apply.onNewestVersion(begin, 3, "tag");
    REQUIRE(is<WriteVersionRow>(action));
    CHECK(std::get<WriteVersionRow>(*action).version == 4);
    CHECK(std::get<WriteVersionRow>(*action).newestEtag == "tag");
    return apply;
}

// Store with the version rows and the newest row, whose writes may take effect late or never.
class FakeStore
{
public:
    struct Write
    {
        WriteVersionRow action;
        std::string changeId;
    };

    ConfigVersion newest = 0;
    std::map<ConfigVersion, std::string> versions;

    std::optional<std::string> tag() const
    {
        return newest == 0 ? std::nullopt : std::optional("t" + std::to_string(newest));
    }

    bool write(const Write &write)
    {
        if (write.action.newestEtag != tag() || versions.count(write.action.version) != 0)
            return false;
        versions[write.action.version] = write.changeId;
        newest = write.action.version;
        return true;
    }

    // Writes that were sent and have not taken effect yet; their outcome was reported as unknown.
    std::deque<Write> delayedWrites;
};

// Outcome of one call to the store.
enum class CallOutcome {
    Succeeds,
    Fails,
    LosesResponse,
    AppliesLater,
};

// Runs one operator's apply against the store.
struct Operator
{
    Operator(const std::string &id, std::uint64_t seed) : changeId(id), apply(0, id, 3s, seed) { }

    void step(Instant now, FakeStore &store, CallOutcome outcome)
    {
        if (apply.ended())
            return;
        if (!pending)
            pending = started ? apply.onTick(now) : apply.start(now);
        started = true;
        if (!pending)
            return;
        const ApplyAction action = *pending;
        if (const auto *write = std::get_if<WriteVersionRow>(&action))
            pending = apply.onWriteOutcome(now, execute(store, *write, outcome));
        else if (outcome != CallOutcome::Succeeds)
            pending = apply.onReadFailed(now);
        else if (const auto *read = std::get_if<ReadVersionRow>(&action))
            pending = apply.onVersionRow(now, changeIdOf(store, read->version));
        else
            pending = apply.onNewestVersion(now, store.newest, store.tag());
    }

    WriteOutcome execute(FakeStore &store, const WriteVersionRow &write, CallOutcome outcome) const
    {
        const FakeStore::Write sent {write, changeId};
        switch (outcome) {
        case CallOutcome::Succeeds:
            return store.write(sent) ? WriteOutcome::Done : WriteOutcome::Conflict;
        case CallOutcome::Fails:
            return WriteOutcome::NotSent;
        case CallOutcome::LosesResponse:
            store.write(sent);
            return WriteOutcome::Unknown;
        case CallOutcome::AppliesLater:
            store.delayedWrites.push_back(sent);
            return WriteOutcome::Unknown;
        }
        return WriteOutcome::Unknown;
    }

    static std::optional<std::string> changeIdOf(const FakeStore &store, ConfigVersion version)
    {
        const auto found = store.versions.find(version);
        return found == store.versions.end() ? std::nullopt : std::optional(found->second);
    }

    std::string changeId;
    ConfigApply apply;
    std::optional<ApplyAction> pending;
    bool started = false;
};

} // namespace

TEST_CASE("an apply whose write succeeds is accepted")
{
    ConfigApply apply = readyToWrite();
    CHECK_FALSE(apply.onWriteOutcome(begin, WriteOutcome::Done));
    CHECK(apply.state() == ApplyState::Accepted);
    CHECK(apply.version() == 4);
    CHECK(apply.newest() == 4);
}

TEST_CASE("the first version is written on condition that there is no newest row")
{
    ConfigApply apply(0, "mine", 10s, 1);
    apply.start(begin);
    const auto action = apply.onNewestVersion(begin, 0, std::nullopt);
    REQUIRE(is<WriteVersionRow>(action));
    CHECK_FALSE(std::get<WriteVersionRow>(*action).newestEtag);
}

TEST_CASE("an unknown write outcome is resolved by reading back")
{
    ConfigApply apply = readyToWrite();
    CHECK(is<ReadVersionRow>(apply.onWriteOutcome(begin, WriteOutcome::Unknown)));
    SECTION("the write took effect")
    {
        apply.onVersionRow(begin, "mine");
        CHECK(apply.state() == ApplyState::Accepted);
    }
    SECTION("another operator wrote the version")
    {
        apply.onVersionRow(begin, "theirs");
        CHECK(apply.state() == ApplyState::Conflict);
    }
    SECTION("the write takes effect late and is found when it is retried")
    {
        CHECK_FALSE(apply.onVersionRow(begin, std::nullopt));
        CHECK_FALSE(apply.onTick(begin + 1ms));
        CHECK(is<ReadNewestRow>(apply.onTick(begin + 200ms)));
        CHECK(is<WriteVersionRow>(apply.onNewestVersion(begin + 200ms, 3, "tag")));
        CHECK(is<ReadVersionRow>(apply.onWriteOutcome(begin + 200ms, WriteOutcome::Conflict)));
        apply.onVersionRow(begin + 200ms, "mine");
        CHECK(apply.state() == ApplyState::Accepted);
    }
    SECTION("the store stays unreachable: the outcome is reported as unknown")
    {
        Instant now = begin;
        CHECK_FALSE(apply.onReadFailed(now));
        while (!apply.ended()) {
            now += 50ms;
            if (apply.onTick(now))
                apply.onReadFailed(now);
            REQUIRE(now < begin + 20s);
        }
        CHECK(apply.state() == ApplyState::Unknown);
    }
}

TEST_CASE("an apply whose expected version is not the newest is a conflict")
{
    ConfigApply apply(3, "mine", 10s, 1);
    apply.start(begin);
    SECTION("the newest is higher")
    {
        CHECK(is<ReadVersionRow>(apply.onNewestVersion(begin, 5, "tag")));
        apply.onVersionRow(begin, "theirs");
        CHECK(apply.newest() == 5);
    }
    SECTION("the newest is lower")
    {
        CHECK_FALSE(apply.onNewestVersion(begin, 2, "tag"));
        CHECK(apply.newest() == 2);
    }
    CHECK(apply.state() == ApplyState::Conflict);
}

TEST_CASE("a repeated apply finds its own version by the change id")
{
    ConfigApply apply(3, "mine", 10s, 1);
    apply.start(begin);
    CHECK(is<ReadVersionRow>(apply.onNewestVersion(begin, 7, "tag")));
    apply.onVersionRow(begin, "mine");
    CHECK(apply.state() == ApplyState::Accepted);
    CHECK(apply.newest() == 7);
}

TEST_CASE("an apply fails without a write if the store is unreachable from the start")
{
    ConfigApply apply(3, "mine", 2s, 1);
    apply.start(begin);
    Instant now = begin;
    apply.onReadFailed(now);
    int tries = 1;
    while (!apply.ended()) {
        now += 50ms;
        if (apply.onTick(now)) {
            ++tries;
            apply.onReadFailed(now);
        }
        REQUIRE(now < begin + 10s);
    }
    CHECK(apply.state() == ApplyState::Failed);
    CHECK(tries > 2);
    CHECK(tries < 20);
}

TEST_CASE(
    "at most one of several concurrent applies is accepted, and each reports its true outcome")
{
    const bool holds = rc::check([] {
        FakeStore store;
        std::vector<Operator> operators;
        operators.emplace_back("a", 1);
        operators.emplace_back("b", 2);
        operators.emplace_back("c", 3);
        const auto steps = *rc::gen::container<std::vector<std::tuple<int, CallOutcome, bool>>>(
            rc::gen::tuple(rc::gen::inRange(0, 3),
                           rc::gen::weightedElement<CallOutcome>({{4, CallOutcome::Succeeds},
                                                                  {2, CallOutcome::Fails},
                                                                  {2, CallOutcome::LosesResponse},
                                                                  {2, CallOutcome::AppliesLater}}),
                           rc::gen::arbitrary<bool>()));
        Instant now = begin;
        for (const auto &[index, outcome, applyDelayed] : steps) {
            now += 70ms;
            operators[static_cast<std::size_t>(index)].step(now, store, outcome);
            if (applyDelayed && !store.delayedWrites.empty()) {
                store.write(store.delayedWrites.front());
                store.delayedWrites.pop_front();
            }
        }
        // The store answers from now on; writes still delayed are applied at the end.
        for (int i = 0; i < 400; ++i) {
            now += 70ms;
            for (Operator &one : operators)
                one.step(now, store, CallOutcome::Succeeds);
        }
        for (const FakeStore::Write &write : store.delayedWrites)
            store.write(write);

        int accepted = 0;
        for (const Operator &one : operators) {
            RC_ASSERT(one.apply.ended());
            const bool inStore = Operator::changeIdOf(store, 1) == one.changeId;
            accepted += one.apply.state() == ApplyState::Accepted ? 1 : 0;
            if (one.apply.state() == ApplyState::Accepted)
                RC_ASSERT(inStore);
            if (one.apply.state() == ApplyState::Conflict
                || one.apply.state() == ApplyState::Failed)
                RC_ASSERT(!inStore);
        }
        RC_ASSERT(accepted <= 1);
    });
    CHECK(holds);
}
