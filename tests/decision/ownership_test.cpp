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

// An owner at epoch 5 with the successors b1 and c1, whose claim was sent at the start.
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

    // Advances tick by tick, with the named processes answering at once. Returns the row writes.
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

// An owner that misses the epoch of another owner in between must not continue under its old epoch:
// its failover would consider itself superseded and accept no more writes.
TEST_CASE("An owner that lost and regained its group unnoticed restarts under the new epoch")
{
    OwnerFixture f;
    f.answer(b1);
    f.answer(c1);
    const OwnershipActions actions = f.owner.onRow(f.now, rowOf(7, a1, {b1}));
    REQUIRE(findAll<StopServing>(actions).size() == 1);
    REQUIRE(requireAction<StartServing>(actions).epoch == 7);
    // Promises for the old epoch are void.
    REQUIRE_FALSE(f.owner.holdsLease(f.now));
    REQUIRE(f.owner.role() == OwnershipRole::Owner);
}

TEST_CASE("The preferred owner creates the row and serves at once", "[ownership]")
{
    Ownership process("offers", a1, 1);
    process.setPreferredOwner(true);
    REQUIRE(find<ReadRow>(process.onTick(start)));
    // It waits first, as better placed processes may not be known yet.
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
    // No other process can claim the group, so the lease does not end.
    CHECK(process.holdsLease(start + std::chrono::hours(1000)));
}

TEST_CASE("A process that is no longer the preferred owner does not claim an unowned group",
          "[ownership]")
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

TEST_CASE("A process that is not the preferred owner does not claim an unowned group",
          "[ownership]")
{
    Ownership process("offers", a1, 1);
    CHECK(process.onTick(start).empty());
    CHECK(process.onRow(start, std::nullopt).empty());
}

TEST_CASE("The lease counts from the send time of the claim and of answered requests",
          "[ownership]")
{
    OwnerFixture f;
    const Duration length = Lease::promiseDuration - Lease::driftMargin;
    CHECK(f.owner.leaseEnd() == start + length);
    // Late answers to the first requests count from the send time.
    f.now += milliseconds(400);
    f.answer(b1);
    f.answer(c1);
    CHECK(f.owner.leaseEnd() == start + length);
    CHECK(f.owner.holdsLease(start + length - milliseconds(1)));
    CHECK_FALSE(f.owner.holdsLease(start + length));
}

TEST_CASE("The lease ends with the earliest promise of all listed successors", "[ownership]")
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

TEST_CASE("A successor that restarts while its promise holds does not limit the lease",
          "[ownership]")
{
    OwnerFixture f;
    SECTION("seen before the promise expires")
    {
        f.owner.onIncarnation(f.now + seconds(1), b2);
        f.owner.onIncarnation(f.now + seconds(1), {c1.address, c1.incarnation + 1});
        CHECK(f.owner.holdsLease(f.now + std::chrono::hours(5)));
    }
    SECTION("seen after the promise has expired")
    {
        f.owner.onIncarnation(f.now + Lease::promiseDuration, b2);
        CHECK_FALSE(f.owner.holdsLease(f.now + Lease::promiseDuration));
    }
}

TEST_CASE("A silent successor is replaced before the lease expires", "[ownership]")
{
    OwnerFixture f;
    const std::vector<WriteRow> writes = f.run(milliseconds(1000), {b1});
    REQUIRE(writes.size() == 1);
    CHECK(writes[0].row.successors == std::vector<ProcessId> {b1});
    CHECK(writes[0].row.epoch == 5);
    CHECK(f.owner.holdsLease(f.now));

    // 1. The old successors count until the outcome of the write is known.
    const Instant oldEnd = start + Lease::promiseDuration - Lease::driftMargin;
    CHECK(f.owner.leaseEnd() == oldEnd);
    f.owner.onWriteOutcome(f.now, writes[0].row.changeId, WriteOutcome::Unknown, "");
    CHECK(f.owner.leaseEnd() == oldEnd);

    // 2. Reading the row back shows that the write succeeded.
    f.owner.onRow(f.now, TaggedRow {writes[0].row, "etag-5b"});
    CHECK(f.owner.leaseEnd() > oldEnd);

    // 3. Another process takes the free place once it has given its promise.
    const std::vector<WriteRow> topUp = f.run(milliseconds(1000), {b1, d1});
    REQUIRE(topUp.size() == 1);
    CHECK(topUp[0].row.successors == std::vector<ProcessId> {b1, d1});
    CHECK(topUp[0].expectedEtag == "etag-5b");
}

TEST_CASE("A write with unknown outcome is repeated unchanged until the row shows the outcome",
          "[ownership]")
{
    OwnerFixture f;
    const std::vector<WriteRow> writes = f.run(milliseconds(800), {b1});
    REQUIRE(writes.size() == 1);
    f.owner.onWriteOutcome(f.now, writes[0].row.changeId, WriteOutcome::Unknown, "");
    // The row is unchanged. The write may still take effect, so both lists of successors count.
    TaggedRow old = rowOf(5, a1, {b1, c1});
    old.etag = "etag-5";
    f.now += seconds(1);
    const WriteRow again = requireAction<WriteRow>(f.owner.onRow(f.now, old));
    CHECK(again.row.changeId == writes[0].row.changeId);
    CHECK(again.expectedEtag == writes[0].expectedEtag);
    CHECK_FALSE(f.owner.holdsLease(f.now));
}

TEST_CASE("A write that was not sent leaves only the old successors in effect", "[ownership]")
{
    OwnerFixture f;
    const std::vector<WriteRow> writes = f.run(milliseconds(800), {b1});
    REQUIRE(writes.size() == 1);
    f.owner.onWriteOutcome(f.now, writes[0].row.changeId, WriteOutcome::NotSent, "");
    f.run(milliseconds(250), {b1, c1});
    CHECK(f.owner.leaseEnd() > start + Lease::promiseDuration);
}

TEST_CASE("A successor's promise counts from receipt and it claims only after its expiry",
          "[ownership]")
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

    // 1. A later promise extends the wait.
    const Instant second = start + seconds(1);
    successor.onLeaseRequest(second, {5, a1, 2}, actions);
    CHECK(successor.onTick(second + Lease::promiseDuration - milliseconds(1)).empty());

    // 2. After expiry it reads the row and claims conditionally on it.
    const Instant due = second + Lease::promiseDuration;
    REQUIRE(find<ReadRow>(successor.onTick(due)));
    const WriteRow claim = requireAction<WriteRow>(successor.onRow(due, rowOf(5, a1, {b1, c1})));
    CHECK(claim.row.epoch == 6);
    CHECK(claim.row.owner == b1);
    CHECK(claim.row.successors == std::vector<ProcessId> {c1, d1});
    CHECK(claim.expectedEtag == "etag-5");

    // 3. While the outcome is unknown it sends no answer, even if a read shows the old row.
    CHECK_FALSE(successor.onLeaseRequest(due, {5, a1, 3}, actions));
    successor.onWriteOutcome(due, claim.row.changeId, WriteOutcome::Unknown, "");
    successor.onRow(due, rowOf(5, a1, {b1, c1}));
    CHECK_FALSE(successor.onLeaseRequest(due, {5, a1, 4}, actions));

    // 4. Reading the row back shows that the claim succeeded.
    const OwnershipActions done = successor.onRow(due, TaggedRow {claim.row, "etag-6"});
    CHECK(requireAction<StartServing>(done).epoch == 6);
    CHECK(successor.holdsLease(due));
}

TEST_CASE("A process listed within an epoch reads that from the row when its promise has expired",
          "[ownership]")
{
    Ownership late("offers", d1, 3);
    OwnershipActions actions;
    late.onLeaseRequest(start, {5, a1, 1}, actions);
    late.onRow(start, rowOf(5, a1, {b1, c1}));
    late.onLeaseRequest(start + milliseconds(300), {5, a1, 2}, actions);
    // The owner lists the process and dies.
    const Instant due = start + milliseconds(300) + Lease::promiseDuration;
    REQUIRE(find<ReadRow>(late.onTick(due)));
    TaggedRow row = rowOf(5, a1, {b1, d1});
    row.etag = "etag-5b";
    CHECK(requireAction<WriteRow>(late.onRow(due, row)).expectedEtag == "etag-5b");
}

TEST_CASE("A failed read of the row after a hand-over is retried", "[ownership]")
{
    Ownership next("offers", d1, 3);
    REQUIRE(find<ReadRow>(next.onHandOver(start, 6)));
    next.onRowReadFailed(start + seconds(1));
    CHECK(find<ReadRow>(next.onTick(start + seconds(2))));
}

TEST_CASE("A successor whose claim fails becomes a successor of the new owner", "[ownership]")
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
    // It does not claim from the owner of epoch 6 before a full promise duration has passed.
    CHECK(successor.onTick(due + Lease::promiseDuration - milliseconds(1)).empty());
    CHECK(find<ReadRow>(successor.onTick(due + Lease::promiseDuration)));
}

TEST_CASE("Proof of the owner's death voids every promise to it", "[ownership]")
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

TEST_CASE("An unlisted process claims only after proof of death and after eligible successors",
          "[ownership]")
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

TEST_CASE("A restarted process does not count as the owner or successor named in the row",
          "[ownership]")
{
    Ownership restarted("offers", b2, 4);
    OwnershipActions actions;
    SECTION("as successor")
    {
        restarted.onLeaseRequest(start, {5, a1, 1}, actions);
        restarted.onRow(start, rowOf(5, a1, {b1, c1}));
        CHECK(restarted.role() == OwnershipRole::Unlisted);
        // It reads the row once, as it may have been listed meanwhile, and does not claim.
        const Instant later = start + seconds(10);
        CHECK(findAll<WriteRow>(restarted.onTick(later)).empty());
        CHECK(restarted.onRow(later, rowOf(5, a1, {b1, c1})).empty());
        CHECK(restarted.onTick(later + seconds(10)).empty());
    }
    SECTION("as owner: it claims its old group at once")
    {
        restarted.setPreferredOwner(true);
        restarted.onTick(start);
        const OwnershipActions claim = restarted.onRow(start, rowOf(5, b1, {c1}));
        CHECK_FALSE(restarted.holdsLease(start));
        CHECK(requireAction<WriteRow>(claim).row.epoch == 6);
    }
}

TEST_CASE("An owner that learns of a higher epoch stops serving", "[ownership]")
{
    OwnerFixture f;
    const OwnershipActions actions = f.owner.onLeaseAnswer(f.now, {b1, 5, 1, false, 6});
    REQUIRE(find<ReadRow>(actions));
    REQUIRE(find<StopServing>(f.owner.onRow(f.now, rowOf(6, b1, {c1}))));
    CHECK_FALSE(f.owner.holdsLease(f.now));
    CHECK(f.owner.role() == OwnershipRole::Unlisted);
}

TEST_CASE(
    "A hand-over stops service before the write and the new owner need not wait for the lease",
    "[ownership]")
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

        // The new owner serves once its successors have given their promise.
        Ownership next("offers", b1, 9);
        REQUIRE(find<ReadRow>(next.onHandOver(f.now, 6)));
        const OwnershipActions began = next.onRow(f.now, TaggedRow {write.row, "etag-6"});
        CHECK(requireAction<StartServing>(began).epoch == 6);
        CHECK_FALSE(next.holdsLease(f.now));
        for (const SendLeaseRequest &request : findAll<SendLeaseRequest>(began))
            next.onLeaseAnswer(f.now, {request.to, 6, request.request.sequence, true, 6});
        CHECK(next.holdsLease(f.now));
    }
    SECTION("not sent: it continues as owner")
    {
        f.owner.onWriteOutcome(f.now, write.row.changeId, WriteOutcome::NotSent, "");
        CHECK(f.owner.holdsLease(f.now));
    }
    SECTION("unknown: no service until the outcome is known")
    {
        f.owner.onWriteOutcome(f.now, write.row.changeId, WriteOutcome::Unknown, "");
        CHECK_FALSE(f.owner.holdsLease(f.now));
        f.owner.onRow(f.now, TaggedRow {write.row, "etag-6"});
        CHECK(f.owner.role() == OwnershipRole::Unlisted);
    }
}

TEST_CASE("In the steady state the row is not written", "[ownership]")
{
    OwnerFixture f;
    CHECK(f.run(seconds(60), {b1, c1}).empty());
    CHECK(f.owner.holdsLease(f.now));
}
