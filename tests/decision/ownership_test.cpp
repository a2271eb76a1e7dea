#include "actions.h"

#include "decision/ownership.h"

using namespace kelptally;
using namespace kelptally::decision;

namespace {

const ProcessId a1 {"10.0.0.1:7000", 100};
const ProcessId a2 {"10.0.0.1:7000", 200};
const ProcessId b1 {"10.0.0.2:7000", 110};
const ProcessId b2 {"10.0.0.2:7000", 210};
const ProcessId c1 {"10.0.0.3:7000", 120};
const ProcessId d1 {"10.0.0.4:7000", 130};

const Instant start {std::chrono::hours(1)};

TaggedRow rowOf(OwnerEpoch epoch, ProcessId owner, std::vector<ProcessId> successors)
{
    TaggedRow row;
    row.row.epoch = epoch;
    row.row.owner = std::move(owner);
    row.row.successors = std::move(successors);
    row.row.changeId = "change-" + std::to_string(epoch);
    row.etag = "etag-" + std::to_string(epoch);
    return row;
}

// An owner of epoch 5 with b1 and c1 as successors, by a claim sent at the start.
struct OwnerFixture
{
    Ownership owner {"offers", a1, 1};
    Instant now = start;

    OwnerFixture()
    {
        owner.setSuccessorCandidates({b1, c1, d1});
        owner.setPreferredOwner(true);
        owner.onTick(now);
        TaggedRow row = rowOf(4, a2, {});
        row.row.owner.incarnation = 1;
        const OwnershipActions actions = owner.onRow(now, row);
        const WriteRow write = requireAction<WriteRow>(actions);
        REQUIRE(write.row.successors == std::vector<ProcessId> {b1, c1});
        const OwnershipActions done =
            owner.onWriteOutcome(now, write.row.changeId, WriteOutcome::Done, "etag-5");
        REQUIRE(requireAction<StartServing>(done).epoch == 5);
        lastRequests = findAll<SendLeaseRequest>(done);
    }

    void answer(const ProcessId &from)
    {
        for (const SendLeaseRequest &request : lastRequests) {
            if (request.to.address == from.address)
                owner.onLeaseAnswer(now,
                                    {from, request.request.epoch, request.request.sequence, true,
                                     request.request.epoch});
        }
    }

    // Moves on tick by tick; those named answer at once. Returns the writes of the row.
    std::vector<WriteRow> run(Duration time, const std::vector<ProcessId> &answering)
    {
        std::vector<WriteRow> writes;
        const Instant end = now + time;
        while (now < end) {
            now += Ownership::tickPeriod;
            const OwnershipActions actions = owner.onTick(now);
            const auto requests = findAll<SendLeaseRequest>(actions);
            if (!requests.empty())
                lastRequests = requests;
            for (const ProcessId &process : answering) {
                if (!requests.empty())
                    answer(process);
            }
            for (const WriteRow &write : findAll<WriteRow>(actions))
                writes.push_back(write);
        }
        return writes;
    }

    std::vector<SendLeaseRequest> lastRequests;
};

} // namespace

// An owner stood still, or was cut off from the table service. A successor claimed the group and
// handed it back, and the row of the claim was never read here. The row of the hand-over names this
// process, so it went on under the epoch that it had: its lease asked for promises under one epoch,
// its failover ran under another. A server that the owner between had prepared shows a term of a
// higher epoch, which means that this process is superseded, and no write is taken any more.
TEST_CASE("An owner that gets its group back before it knows that it had lost it begins anew")
{
    OwnerFixture f;
    f.answer(b1);
    f.answer(c1);
    const OwnershipActions actions = f.owner.onRow(f.now, rowOf(7, a1, {b1}));
    REQUIRE(findAll<StopServing>(actions).size() == 1);
    REQUIRE(requireAction<StartServing>(actions).epoch == 7);
    // Promises for the old epoch count no more.
    REQUIRE_FALSE(f.owner.holdsLease(f.now));
    REQUIRE(f.owner.role() == OwnershipRole::Owner);
}

TEST_CASE("The first wanted process creates the row and serves at once", "[ownership]")
{
    Ownership process("offers", a1, 1);
    process.setPreferredOwner(true);
    REQUIRE(find<ReadRow>(process.onTick(start)));
    // It waits a little: better placed processes may not have been heard yet.
    CHECK(process.onRow(start, std::nullopt).empty());
    CHECK(process.onTick(start + milliseconds(450)).empty());
    REQUIRE(find<ReadRow>(process.onTick(start + milliseconds(500))));
    const WriteRow write =
        requireAction<WriteRow>(process.onRow(start + milliseconds(500), std::nullopt));
    CHECK_FALSE(write.expectedEtag);
    CHECK(write.row.epoch == 1);
    CHECK_FALSE(process.holdsLease(start));
    const OwnershipActions done =
        process.onWriteOutcome(start, write.row.changeId, WriteOutcome::Done, "e1");
    CHECK(requireAction<StartServing>(done).epoch == 1);
    // Nobody else may claim: the lease has no end.
    CHECK(process.holdsLease(start + std::chrono::hours(1000)));
}

TEST_CASE("A process that is no longer wanted leaves an unowned group to another", "[ownership]")
{
    Ownership process("offers", a1, 1);
    process.setPreferredOwner(true);
    process.onTick(start);
    process.onRow(start, std::nullopt);
    process.setPreferredOwner(false);
    process.onTick(start + milliseconds(300));
    process.setPreferredOwner(true);
    CHECK(findAll<WriteRow>(process.onTick(start + milliseconds(600))).empty());
    CHECK(process.onRow(start + milliseconds(600), std::nullopt).empty());
}

TEST_CASE("A process that is not wanted leaves an unowned group alone", "[ownership]")
{
    Ownership process("offers", a1, 1);
    CHECK(process.onTick(start).empty());
    CHECK(process.onRow(start, std::nullopt).empty());
}

TEST_CASE("The lease counts from the claim and from the send time of answered requests",
          "[ownership]")
{
    OwnerFixture f;
    const Duration length = Lease::promiseDuration - Lease::driftMargin;
    CHECK(f.owner.leaseEnd() == start + length);
    // Answers to the first requests, late: they count from the send time.
    f.now += milliseconds(400);
    f.answer(b1);
    f.answer(c1);
    CHECK(f.owner.leaseEnd() == start + length);
    CHECK(f.owner.holdsLease(start + length - milliseconds(1)));
    CHECK_FALSE(f.owner.holdsLease(start + length));
}

TEST_CASE("The lease is the earliest of all listed successors' promises", "[ownership]")
{
    OwnerFixture f;
    f.run(milliseconds(300), {b1, c1});
    const Instant both = f.owner.leaseEnd();
    f.run(milliseconds(300), {b1});
    CHECK(f.owner.leaseEnd() == both);
}

TEST_CASE("Only the listed incarnation's promise counts", "[ownership]")
{
    OwnerFixture f;
    f.run(milliseconds(300), {b1, c1});
    const Instant before = f.owner.leaseEnd();
    f.run(milliseconds(300), {{b1.address, b1.incarnation - 1}, c1});
    CHECK(f.owner.leaseEnd() == before);
}

TEST_CASE("A restarted successor proves that the old one never claims, if the lease still held",
          "[ownership]")
{
    OwnerFixture f;
    SECTION("heard in time")
    {
        f.owner.onIncarnation(f.now + seconds(1), b2);
        f.owner.onIncarnation(f.now + seconds(1), {c1.address, c1.incarnation + 1});
        CHECK(f.owner.holdsLease(f.now + std::chrono::hours(5)));
    }
    SECTION("heard too late")
    {
        f.owner.onIncarnation(f.now + Lease::promiseDuration, b2);
        CHECK_FALSE(f.owner.holdsLease(f.now + Lease::promiseDuration));
    }
}

TEST_CASE("A silent successor is replaced before the lease runs out", "[ownership]")
{
    OwnerFixture f;
    const std::vector<WriteRow> writes = f.run(milliseconds(1000), {b1});
    REQUIRE(writes.size() == 1);
    CHECK(writes[0].row.successors == std::vector<ProcessId> {b1});
    CHECK(writes[0].row.epoch == 5);
    CHECK(f.owner.holdsLease(f.now));

    // 1. The old set counts until the outcome is known.
    const Instant oldEnd = start + Lease::promiseDuration - Lease::driftMargin;
    CHECK(f.owner.leaseEnd() == oldEnd);
    f.owner.onWriteOutcome(f.now, writes[0].row.changeId, WriteOutcome::Unknown, "");
    CHECK(f.owner.leaseEnd() == oldEnd);

    // 2. Read back: it was done.
    f.owner.onRow(f.now, TaggedRow {writes[0].row, "etag-5b"});
    CHECK(f.owner.leaseEnd() > oldEnd);

    // 3. Another process takes the free place, once it has promised.
    const std::vector<WriteRow> topUp = f.run(milliseconds(1000), {b1, d1});
    REQUIRE(topUp.size() == 1);
    CHECK(topUp[0].row.successors == std::vector<ProcessId> {b1, d1});
    CHECK(topUp[0].expectedEtag == "etag-5b");
}

TEST_CASE("A write whose fate is open is repeated as it was until the row tells", "[ownership]")
{
    OwnerFixture f;
    const std::vector<WriteRow> writes = f.run(milliseconds(800), {b1});
    REQUIRE(writes.size() == 1);
    f.owner.onWriteOutcome(f.now, writes[0].row.changeId, WriteOutcome::Unknown, "");
    // The row has not changed: the write may still land late, so both sets go on to count.
    TaggedRow old = rowOf(5, a1, {b1, c1});
    old.etag = "etag-5";
    f.now += seconds(1);
    const WriteRow again = requireAction<WriteRow>(f.owner.onRow(f.now, old));
    CHECK(again.row.changeId == writes[0].row.changeId);
    CHECK(again.expectedEtag == writes[0].expectedEtag);
    CHECK_FALSE(f.owner.holdsLease(f.now));
}

TEST_CASE("A write that was never sent leaves only the old set", "[ownership]")
{
    OwnerFixture f;
    const std::vector<WriteRow> writes = f.run(milliseconds(800), {b1});
    REQUIRE(writes.size() == 1);
    f.owner.onWriteOutcome(f.now, writes[0].row.changeId, WriteOutcome::NotSent, "");
    f.run(milliseconds(250), {b1, c1});
    CHECK(f.owner.leaseEnd() > start + Lease::promiseDuration);
}

TEST_CASE("A successor promises from receipt and claims only after that", "[ownership]")
{
    Ownership successor("offers", b1, 2);
    successor.setSuccessorCandidates({c1, d1});
    OwnershipActions actions;
    const auto answer = successor.onLeaseRequest(start, {5, a1, 1}, actions);
    REQUIRE(answer);
    CHECK(answer->promised);
    REQUIRE(find<ReadRow>(actions));
    CHECK(successor.onRow(start, rowOf(5, a1, {b1, c1})).empty());
    CHECK(successor.role() == OwnershipRole::Successor);

    // 1. A later promise moves the end.
    const Instant second = start + seconds(1);
    successor.onLeaseRequest(second, {5, a1, 2}, actions);
    CHECK(successor.onTick(second + Lease::promiseDuration - milliseconds(1)).empty());

    // 2. Then it reads the row and claims on that condition.
    const Instant due = second + Lease::promiseDuration;
    REQUIRE(find<ReadRow>(successor.onTick(due)));
    const WriteRow claim = requireAction<WriteRow>(successor.onRow(due, rowOf(5, a1, {b1, c1})));
    CHECK(claim.row.epoch == 6);
    CHECK(claim.row.owner == b1);
    CHECK(claim.row.successors == std::vector<ProcessId> {c1, d1});
    CHECK(claim.expectedEtag == "etag-5");

    // 3. While the outcome is open it answers nothing, even after a read that shows the old row.
    CHECK_FALSE(successor.onLeaseRequest(due, {5, a1, 3}, actions));
    successor.onWriteOutcome(due, claim.row.changeId, WriteOutcome::Unknown, "");
    successor.onRow(due, rowOf(5, a1, {b1, c1}));
    CHECK_FALSE(successor.onLeaseRequest(due, {5, a1, 4}, actions));

    // 4. The lost answer is found by reading back.
    const OwnershipActions done = successor.onRow(due, TaggedRow {claim.row, "etag-6"});
    CHECK(requireAction<StartServing>(done).epoch == 6);
    CHECK(successor.holdsLease(due));
}

TEST_CASE("A process listed within an epoch finds that out when its promise has ended",
          "[ownership]")
{
    Ownership late("offers", d1, 3);
    OwnershipActions actions;
    late.onLeaseRequest(start, {5, a1, 1}, actions);
    late.onRow(start, rowOf(5, a1, {b1, c1}));
    late.onLeaseRequest(start + milliseconds(300), {5, a1, 2}, actions);
    // Listed now; the owner dies.
    const Instant due = start + milliseconds(300) + Lease::promiseDuration;
    REQUIRE(find<ReadRow>(late.onTick(due)));
    TaggedRow row = rowOf(5, a1, {b1, d1});
    row.etag = "etag-5b";
    CHECK(requireAction<WriteRow>(late.onRow(due, row)).expectedEtag == "etag-5b");
}

TEST_CASE("A read that a hand-over asked for is made again when it fails", "[ownership]")
{
    Ownership next("offers", d1, 3);
    REQUIRE(find<ReadRow>(next.onHandOver(start, 6)));
    next.onRowReadFailed(start + seconds(1));
    CHECK(find<ReadRow>(next.onTick(start + seconds(2))));
}

TEST_CASE("A successor's claim that lost the race makes it a successor of the winner",
          "[ownership]")
{
    Ownership successor("offers", b1, 2);
    OwnershipActions actions;
    successor.onLeaseRequest(start, {5, a1, 1}, actions);
    successor.onRow(start, rowOf(5, a1, {b1, c1}));
    const Instant due = start + Lease::promiseDuration;
    successor.onTick(due);
    const WriteRow claim = requireAction<WriteRow>(successor.onRow(due, rowOf(5, a1, {b1, c1})));
    const OwnershipActions lost =
        successor.onWriteOutcome(due, claim.row.changeId, WriteOutcome::Conflict, "");
    REQUIRE(find<ReadRow>(lost));
    CHECK(successor.onRow(due, rowOf(6, c1, {b1})).empty());
    CHECK(successor.role() == OwnershipRole::Successor);
    // It does not claim epoch 6 before a whole period has passed.
    CHECK(successor.onTick(due + Lease::promiseDuration - milliseconds(1)).empty());
    CHECK(find<ReadRow>(successor.onTick(due + Lease::promiseDuration)));
}

TEST_CASE("A proven death of the owner ends every promise to it", "[ownership]")
{
    Ownership successor("offers", b1, 2);
    OwnershipActions actions;
    successor.onLeaseRequest(start, {5, a1, 1}, actions);
    successor.onRow(start, rowOf(5, a1, {b1, c1}));
    REQUIRE(find<ReadRow>(successor.onIncarnation(start + milliseconds(10), a2)));
    const OwnershipActions claim =
        successor.onRow(start + milliseconds(12), rowOf(5, a1, {b1, c1}));
    CHECK(requireAction<WriteRow>(claim).row.epoch == 6);
}

TEST_CASE("An unlisted process claims only on proof, after fit successors", "[ownership]")
{
    Ownership process("offers", d1, 3);
    process.setSuccessorCandidates({b1, c1});
    process.setPreferredOwner(true);
    process.onTick(start);
    CHECK(process.onRow(start, rowOf(5, a1, {b1, c1})).empty());
    const Instant later = start + seconds(3600);
    REQUIRE(find<ReadRow>(process.onTick(later)));
    CHECK(process.onRow(later, rowOf(5, a1, {b1, c1})).empty());
    process.onProcessGone(later, a1);
    CHECK(process.onTick(later + milliseconds(300)).empty());
    REQUIRE(find<ReadRow>(process.onTick(later + milliseconds(700))));
    const OwnershipActions claim = process.onRow(later + milliseconds(700), rowOf(5, a1, {b1, c1}));
    CHECK(requireAction<WriteRow>(claim).row.owner == d1);
}

TEST_CASE("A restarted process is not the owner or successor that the row names", "[ownership]")
{
    Ownership restarted("offers", b2, 4);
    OwnershipActions actions;
    SECTION("as successor")
    {
        restarted.onLeaseRequest(start, {5, a1, 1}, actions);
        restarted.onRow(start, rowOf(5, a1, {b1, c1}));
        CHECK(restarted.role() == OwnershipRole::Unlisted);
        // It looks once whether it was listed meanwhile, and claims nothing.
        const Instant later = start + seconds(10);
        CHECK(findAll<WriteRow>(restarted.onTick(later)).empty());
        CHECK(restarted.onRow(later, rowOf(5, a1, {b1, c1})).empty());
        CHECK(restarted.onTick(later + seconds(10)).empty());
    }
    SECTION("as owner it claims its old group at once")
    {
        restarted.setPreferredOwner(true);
        restarted.onTick(start);
        const OwnershipActions claim = restarted.onRow(start, rowOf(5, b1, {c1}));
        CHECK_FALSE(restarted.holdsLease(start));
        CHECK(requireAction<WriteRow>(claim).row.epoch == 6);
    }
}

TEST_CASE("An owner that finds a higher epoch stops", "[ownership]")
{
    OwnerFixture f;
    const OwnershipActions actions = f.owner.onLeaseAnswer(f.now, {b1, 5, 1, false, 6});
    REQUIRE(find<ReadRow>(actions));
    REQUIRE(find<StopServing>(f.owner.onRow(f.now, rowOf(6, b1, {c1}))));
    CHECK_FALSE(f.owner.holdsLease(f.now));
    CHECK(f.owner.role() == OwnershipRole::Unlisted);
}

TEST_CASE("A hand-over stops service before the write and needs no lease wait", "[ownership]")
{
    OwnerFixture f;
    f.run(milliseconds(300), {b1, c1});
    const WriteRow write = requireAction<WriteRow>(f.owner.beginHandOver(f.now));
    CHECK(write.row.owner == b1);
    CHECK(write.row.epoch == 6);
    CHECK(write.row.successors == std::vector<ProcessId> {c1, d1});
    CHECK_FALSE(f.owner.holdsLease(f.now));

    SECTION("done")
    {
        const OwnershipActions done =
            f.owner.onWriteOutcome(f.now, write.row.changeId, WriteOutcome::Done, "etag-6");
        CHECK(requireAction<SendHandOver>(done).to == b1);
        CHECK(find<StopServing>(done));

        // The new owner serves once its successors have promised.
        Ownership next("offers", b1, 9);
        REQUIRE(find<ReadRow>(next.onHandOver(f.now, 6)));
        const OwnershipActions began = next.onRow(f.now, TaggedRow {write.row, "etag-6"});
        CHECK(requireAction<StartServing>(began).epoch == 6);
        CHECK_FALSE(next.holdsLease(f.now));
        for (const SendLeaseRequest &request : findAll<SendLeaseRequest>(began))
            next.onLeaseAnswer(f.now, {request.to, 6, request.request.sequence, true, 6});
        CHECK(next.holdsLease(f.now));
    }
    SECTION("not sent: it goes on as owner")
    {
        f.owner.onWriteOutcome(f.now, write.row.changeId, WriteOutcome::NotSent, "");
        CHECK(f.owner.holdsLease(f.now));
    }
    SECTION("unknown: no service until it is known")
    {
        f.owner.onWriteOutcome(f.now, write.row.changeId, WriteOutcome::Unknown, "");
        CHECK_FALSE(f.owner.holdsLease(f.now));
        f.owner.onRow(f.now, TaggedRow {write.row, "etag-6"});
        CHECK(f.owner.role() == OwnershipRole::Unlisted);
    }
}

TEST_CASE("Steady state writes nothing to the store and does not read it", "[ownership]")
{
    OwnerFixture f;
    CHECK(f.run(seconds(60), {b1, c1}).empty());
    CHECK(f.owner.holdsLease(f.now));
}
