#include "bench/commands.h"
#include "bench/measure.h"
#include "decision/admission.h"
#include "decision/failover.h"
#include "decision/freshness.h"
#include "decision/membership.h"
#include "decision/ownership.h"
#include "decision/routing.h"
#include "decision/sessiontoken.h"
#include "inner/codec.h"
#include "settings/inventory.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <tclap/CmdLine.h>

#include <memory>

// Measures, in this process, the costs on which docs/CAPACITY.md is based.
namespace kelptally::bench {

using namespace decision;
using namespace std::chrono_literals;

namespace {

const Instant start {1h};

double microseconds(Duration duration)
{
    return std::chrono::duration<double, std::micro>(duration).count();
}

void printTitle(const char *text)
{
    absl::PrintF("\n%s\n", text);
}

ProcessId processOf(int number)
{
    return {absl::StrCat("10.0.", number / 250, ".", number % 250, ":7100"),
            static_cast<Incarnation>(1700000000000000) + static_cast<Incarnation>(number)};
}

GroupName groupOf(int number)
{
    return absl::StrFormat("group-%04d", number);
}

// ---- Messages ----

void measureMessage(const std::string &name, const inner::Message &message)
{
    const std::string bytes = *inner::encode(message);
    const Duration encoding = meanCallTime(20000, [&] { (void)inner::encode(message); });
    const Duration decoding = meanCallTime(20000, [&] { (void)inner::decode(bytes); });
    absl::PrintF("  %-34s %6d bytes  encode %6.2f us  decode %6.2f us\n", name, bytes.size(),
                 microseconds(encoding), microseconds(decoding));
}

inner::Heartbeat heartbeatOf(int groups)
{
    inner::Heartbeat heartbeat;
    heartbeat.from = processOf(1);
    heartbeat.configVersion = 100000;
    for (int i = 0; i < groups; ++i)
        heartbeat.groups.push_back({groupOf(i), 1000, 1000000, makeTerm(1000, 1), "server-0001-a"});
    return heartbeat;
}

inner::HeartbeatAnswer heartbeatAnswerOf(int groups)
{
    inner::HeartbeatAnswer answer;
    answer.from = processOf(2);
    answer.configVersion = 100000;
    for (int i = 0; i < groups; ++i)
        answer.groups.push_back({groupOf(i), 1000, 1000000, true, 1000});
    return answer;
}

void measureMessages()
{
    printTitle("messages between processes (CBOR only, without frame and transport)");
    for (const int groups : {1, 2, 4, 16}) {
        measureMessage(absl::StrCat("heartbeat, groups ", groups), heartbeatOf(groups));
        measureMessage(absl::StrCat("heartbeat answer, groups ", groups),
                       heartbeatAnswerOf(groups));
    }
    inner::Execute execute;
    execute.requestId = 1000000;
    execute.group = groupOf(1);
    execute.team = "web";
    execute.kind = "browse";
    execute.sql = "SELECT id, boat, price FROM listing WHERE id = $1";
    execute.parameters = {std::string("12345")};
    execute.readOnly = true;
    execute.statedAge = 1s;
    execute.timeLeft = 1s;
    execute.sessionPosition = Position {makeTerm(1000, 1), 1000000};
    measureMessage("execute", execute);
    inner::ExecuteResult result;
    result.requestId = 1000000;
    result.executed = Executed::Yes;
    result.rows.columns = {"id", "boat", "price"};
    result.rows.values = {{std::string("12345"), std::string("Alizé"), std::string("125000")}};
    result.rowCount = 1;
    result.byteLength = result.rows.byteLength();
    result.server = "server-0001-b";
    measureMessage("execute result, one row", result);
}

// ---- Ownership and failover of one group ----

std::unique_ptr<Ownership> makeOwner(int group)
{
    auto ownership = std::make_unique<Ownership>(groupOf(group), processOf(0), 1);
    OwnershipRow row;
    row.epoch = 1;
    row.owner = processOf(0);
    row.successors = {processOf(1), processOf(2)};
    ownership->setSuccessorCandidates(row.successors);
    ownership->onRow(start, TaggedRow {row, "1"});
    return ownership;
}

void answerLeases(Ownership &owner, Instant now, const OwnershipActions &actions)
{
    for (const OwnershipAction &action : actions) {
        const auto *sent = std::get_if<SendLeaseRequest>(&action);
        if (sent != nullptr)
            owner.onLeaseAnswer(
                now,
                {sent->to, sent->request.epoch, sent->request.sequence, true, sent->request.epoch});
    }
}

std::unique_ptr<Failover> makeFailover(int group)
{
    const std::vector<ServerName> servers = {"server-a", "server-b", "server-c"};
    return std::make_unique<Failover>(groupOf(group), 1, servers);
}

void answerProbes(Failover &failover, Instant now, FailoverActions actions)
{
    for (const FailoverAction &action : actions) {
        if (const auto *probe = std::get_if<SendProbe>(&action)) {
            ServerReport report;
            report.term = 1;
            report.isPrimary = probe->server == "server-a";
            report.received = report.applied = {1, 100};
            answerProbes(failover, now,
                         failover.onReport(now, probe->server, probe->sequence, report));
        } else if (const auto *fence = std::get_if<SendRaiseFence>(&action)) {
            answerProbes(failover, now, failover.onFenceRaised(now, fence->server, fence->epoch));
        } else if (const auto *read = std::get_if<SendReadHistory>(&action)) {
            answerProbes(failover, now, failover.onHistory(now, read->server, {{1, 1}}));
        }
    }
}

// Returns the CPU time of one second of ticks with immediate answers.
Duration timeOwnershipTicks(Ownership &owner, Instant &now)
{
    const Duration before = threadProcessorTime();
    for (Duration at = 0s; at < 1s; at += Ownership::tickPeriod) {
        now += Ownership::tickPeriod;
        answerLeases(owner, now, owner.onTick(now));
    }
    return threadProcessorTime() - before;
}

Duration timeFailoverTicks(Failover &failover, Instant &now, int &probes)
{
    const Duration before = threadProcessorTime();
    for (Duration at = 0s; at < 1s; at += Failover::tickPeriod) {
        now += Failover::tickPeriod;
        const FailoverActions actions = failover.onTick(now);
        probes += static_cast<int>(actions.size());
        answerProbes(failover, now, actions);
    }
    return threadProcessorTime() - before;
}

void measureGroups()
{
    printTitle("one group in steady state, for one second");
    constexpr int groups = 1000;
    std::vector<std::unique_ptr<Ownership>> owners;
    std::size_t before = allocatedBytes();
    for (int i = 0; i < groups; ++i)
        owners.push_back(makeOwner(i));
    const std::size_t ownerBytes = (allocatedBytes() - before) / groups;
    Duration ownerTime {0};
    for (const auto &owner : owners) {
        Instant now = start;
        ownerTime += timeOwnershipTicks(*owner, now);
    }
    absl::PrintF("  ownership, owner: %d bytes, %.1f us\n", ownerBytes,
                 microseconds(ownerTime / groups));

    before = allocatedBytes();
    std::vector<std::unique_ptr<Failover>> failovers;
    for (int i = 0; i < groups; ++i) {
        failovers.push_back(makeFailover(i));
        answerProbes(*failovers.back(), start, failovers.back()->start(start, 1, "server-a"));
    }
    const std::size_t failoverBytes = (allocatedBytes() - before) / groups;
    Duration failoverTime {0};
    int probes = 0;
    for (const auto &failover : failovers) {
        Instant now = start;
        failoverTime += timeFailoverTicks(*failover, now, probes);
    }
    absl::PrintF("  failover: %d bytes, %.1f us, %.1f probes (primary %s)\n", failoverBytes,
                 microseconds(failoverTime / groups), static_cast<double>(probes) / groups,
                 failovers.front()->primary().value_or("none"));
}

// ---- Membership ----

std::vector<settings::Host> hostsOf(int count)
{
    std::vector<settings::Host> hosts;
    for (int i = 0; i < count; ++i) {
        const std::string address = processOf(i).address;
        hosts.push_back({absl::StrCat("host-", i), absl::StrCat("zone-", i % 6), address, address,
                         settings::AdministrativeState::Active});
    }
    return hosts;
}

void measureMembership()
{
    printTitle("membership");
    for (const int nodes : {8, 130, 1300}) {
        const std::size_t before = allocatedBytes();
        Membership membership;
        membership.setHosts(hostsOf(nodes));
        for (int i = 0; i < nodes; ++i)
            membership.onPeerUp(start, processOf(i));
        const std::size_t bytes = allocatedBytes() - before;
        int group = 0;
        const Duration preferredOwnerTime =
            meanCallTime(200, [&] { (void)membership.preferredOwner(groupOf(++group), "zone-1"); });
        const Duration successorsTime = meanCallTime(
            200, [&] { (void)membership.successorCandidates(groupOf(++group), processOf(0)); });
        absl::PrintF("  %5d nodes: %7d bytes, preferred owner of a group %7.1f us, "
                     "its successors %7.1f us\n",
                     nodes, bytes, microseconds(preferredOwnerTime), microseconds(successorsTime));
    }
}

// ---- Configuration ----

std::string documentOf(int hosts, int groups)
{
    std::string text =
        "[team web]\nshare = 100\n\n[kind browse]\naccess = read\nstated-age = 1s\n\n";
    for (int i = 0; i < 6; ++i)
        absl::StrAppend(&text, "[zone zone-", i, "]\nregion = region-", i / 2, "\n\n");
    for (const settings::Host &host : hostsOf(hosts)) {
        const std::string ip = host.ownerAddress.substr(0, host.ownerAddress.find(':'));
        absl::StrAppend(&text, "[host ", host.name, "]\nzone = ", host.zone, "\nowner = ", ip,
                        ":7100\nentry = ", ip, ":7101\n\n");
    }
    for (int i = 0; i < groups; ++i) {
        absl::StrAppend(&text, "[group ", groupOf(i),
                        "]\nteam = web\ndatabase = app\nuser = app\n\n");
        for (int s = 0; s < 3; ++s)
            absl::StrAppend(&text, "[server ", groupOf(i), "-", s, "]\ngroup = ", groupOf(i),
                            "\nzone = zone-", (i + s) % 6, "\naddress = 10.", 100 + s, ".", i / 250,
                            ".", i % 250, ":5432\nslots = 3\nconnections = 25\n\n");
    }
    return text;
}

void measureConfiguration()
{
    printTitle("configuration: one document, parsed and stored");
    for (const auto &[hosts, groups] :
         {std::pair(8, 3), std::pair(130, 210), std::pair(1300, 2100)}) {
        const std::string document = documentOf(hosts, groups);
        settings::Findings findings;
        const std::size_t before = allocatedBytes();
        auto inventory = std::make_unique<settings::Inventory>(
            settings::parseInventory("capacity.ini", document, findings));
        const std::size_t bytes = allocatedBytes() - before;
        const Duration time = meanCallTime(
            3, [&] { (void)settings::parseInventory("capacity.ini", document, findings); });
        if (!findings.empty())
            absl::PrintF("%s", findings.toText());
        absl::PrintF("  %4d hosts, %4d groups: document %8d bytes, kept %9d bytes, parsed in "
                     "%7.1f ms, findings %d\n",
                     hosts, groups, document.size(), bytes, microseconds(time) / 1000,
                     findings.all().size());
    }
}

// ---- Requests ----

void measureTokens()
{
    printTitle("session tokens");
    const std::string key = "a key of thirty-two bytes length";
    for (const int groups : {1, 3, 16, 64}) {
        SessionToken token;
        for (int i = 0; i < groups; ++i)
            token.advance(groupOf(i), {makeTerm(1000, 1), 1000000});
        const std::string text = token.seal(key);
        const Duration sealing = meanCallTime(20000, [&] { (void)token.seal(key); });
        const Duration opening = meanCallTime(20000, [&] { (void)SessionToken::open(text, key); });
        absl::PrintF("  %2d groups: %4d bytes, seal %6.2f us, open %6.2f us\n", groups, text.size(),
                     microseconds(sealing), microseconds(opening));
    }
}

void measureRouting()
{
    std::vector<ServerView> servers(3);
    for (std::size_t i = 0; i < servers.size(); ++i) {
        servers[i].name = absl::StrCat("server-", i);
        servers[i].primary = i == 0;
        servers[i].reachable = true;
        servers[i].slots = 3;
        servers[i].age = 20ms;
        servers[i].applied = Position {1, 100};
    }
    ReadRequirements requirements;
    requirements.statedAge = 1s;
    requirements.timeLeft = 1s;
    Routing routing(50);
    Instant now = start;
    const Duration route = meanCallTime(100000, [&] {
        now += 10us;
        (void)routing.routeRead(requirements, servers, now);
    });
    absl::PrintF("  route a read: %.2f us\n", microseconds(route));
}

void measureAdmission(int waiting)
{
    Admission admission(3, 1000000);
    WorkId id = 0;
    const auto offer = [&] {
        Work work {++id, "web", settings::RequestClass::Browse, start + 10h};
        (void)admission.offer(start, work);
    };
    for (int i = 0; i < waiting; ++i)
        offer();
    const Duration time = meanCallTime(100000, [&] {
        offer();
        if (const auto work = admission.next(start))
            admission.finished(*work, 2ms);
        (void)admission.expire(start);
    });
    absl::PrintF("  admit, start and end one request, %4d waiting: %.2f us\n", waiting,
                 microseconds(time));
}

void measureFreshness()
{
    Freshness freshness;
    LogOffset offset = 0;
    Instant now = start;
    const Duration time = meanCallTime(100000, [&] {
        now += 1ms;
        freshness.onPrimarySample(now, {1, ++offset});
        freshness.onReplicaReport("b", {1, offset});
    });
    absl::PrintF("  one sample and one report: %.2f us\n", microseconds(time));
}

} // namespace

int runSlopes(int argc, char **argv)
{
    TCLAP::CmdLine line("Measures, in this process, the costs on which docs/CAPACITY.md is based: "
                        "bytes and processor time by groups, nodes, size of the configuration "
                        "and requests.");
    line.parse(argc, argv);
    measureMessages();
    measureGroups();
    measureMembership();
    measureConfiguration();
    measureTokens();
    printTitle("decisions on one request");
    measureRouting();
    measureAdmission(0);
    measureAdmission(250);
    measureFreshness();
    return 0;
}

} // namespace kelptally::bench
