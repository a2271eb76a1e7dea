#include "settings/inventory.h"

#include "settings/sectionreader.h"

#include <algorithm>
#include <map>
#include <set>

namespace kelptally::settings {

namespace {

using namespace std::chrono_literals;

// The smallest group that keeps a majority after the loss of one server.
constexpr std::size_t minServers = 3;

constexpr NumberRange slotRange {1, 10'000};
// For a statement, for the owner's control connection, and for that of the previous owner during a
// hand-over.
constexpr int minConnections = 3;
constexpr NumberRange connectionRange {1, 100'000};
constexpr NumberRange percentRange {0, 100};
constexpr NumberRange shareRange {1, 100};
constexpr NumberRange queueRange {1, 1'000'000};
constexpr DurationRange statedAgeRange {1ms, 24h};
constexpr DurationRange deadlineRange {1ms, 10min};
constexpr DurationRange idleRange {100ms, 10min};
constexpr DurationRange retentionRange {1min, 30 * 24h};
constexpr DurationRange transitRange {0ms, 1s};

const std::vector<std::string> administrativeStateWords = {"active", "leaving"};
const std::vector<std::string> accessWords = {"read", "write"};
const std::vector<std::string> booleanWords = {"no", "yes"};
// In the order of RequestClass.
const std::vector<std::string> classWords = {"critical", "write", "fresh-read", "browse"};

template <typename T>
const T *findByName(const std::vector<T> &items, const std::string &name)
{
    const auto found =
        std::find_if(items.begin(), items.end(), [&](const T &item) { return item.name == name; });
    return found == items.end() ? nullptr : &*found;
}

AdministrativeState administrativeState(SectionReader &reader)
{
    return reader.choice("state", administrativeStateWords, 0) == 0 ? AdministrativeState::Active
                                                                    : AdministrativeState::Leaving;
}

RequestClass defaultClass(const Kind &kind)
{
    if (kind.readOnly)
        return kind.statedAge ? RequestClass::Browse : RequestClass::FreshRead;
    return kind.repeatable ? RequestClass::Write : RequestClass::Critical;
}

// Reads a document: first each section by itself, then the references between sections.
class InventoryReader
{
public:
    InventoryReader(const std::string &file, Findings &findings) : file_(file), findings_(findings)
    { }

    Inventory read(const std::string &text)
    {
        parseIni(file_, text, findings_,
                 [this](const IniSection &section) { readSection(section); });
        checkReferences();
        for (const auto &group : inventory_.groups)
            checkServers(group);
        checkNotEmpty();
        return std::move(inventory_);
    }

private:
    // A reference to a name that another section must declare.
    struct Reference
    {
        int line = 0;
        std::string key;
        std::string type;
        std::string name;
    };

    using ReadFunction = void (InventoryReader::*)(const IniSection &, SectionReader &);

    void readSection(const IniSection &section)
    {
        static const std::map<std::string, ReadFunction> readers = {
            {"zone", &InventoryReader::readZone},     {"host", &InventoryReader::readHost},
            {"group", &InventoryReader::readGroup},   {"server", &InventoryReader::readServer},
            {"kind", &InventoryReader::readKind},     {"team", &InventoryReader::readTeam},
            {"limits", &InventoryReader::readLimits},
        };
        // The section is invalid and was reported by the parser.
        if (section.type.empty())
            return;
        const auto found = readers.find(section.type);
        if (found == readers.end()) {
            findings_.add(file_, section.line, section.title(),
                          "unknown section; allowed are zone, host, group, server, kind, team and"
                          " limits");
            return;
        }
        checkName(section);
        SectionReader reader(file_, section, findings_);
        (this->*found->second)(section, reader);
        reader.finish();
    }

    void checkName(const IniSection &section)
    {
        if (section.type == "limits") {
            if (!section.name.empty())
                findings_.add(file_, section.line, section.title(), "[limits] takes no name");
            return;
        }
        const std::string problem = nameProblem(section.name);
        if (!problem.empty())
            findings_.add(file_, section.line, section.title(), problem);
        else
            declaredNames_[section.type].insert(section.name);
    }

    void readZone(const IniSection &section, SectionReader &reader)
    {
        inventory_.zones.push_back({section.name, reader.name("region")});
    }

    void readHost(const IniSection &section, SectionReader &reader)
    {
        Host host;
        host.name = section.name;
        host.zone = reference(reader, "zone", "zone");
        host.ownerAddress = uniqueAddress(section, reader, "owner").toText();
        host.entryAddress = uniqueAddress(section, reader, "entry").toText();
        host.administrativeState = administrativeState(reader);
        inventory_.hosts.push_back(std::move(host));
    }

    void readGroup(const IniSection &section, SectionReader &reader)
    {
        Group group;
        group.name = section.name;
        group.team = reference(reader, "team", "team");
        group.database = reader.text("database");
        group.user = reader.text("user");
        group.password = reader.text("password", "");
        GroupStatements &statements = group.statements;
        statements.status = reader.text("status-statement", statements.status);
        statements.history = reader.text("history-statement", statements.history);
        statements.prepare = reader.text("prepare-statement", statements.prepare);
        statements.promote = reader.text("promote-statement", statements.promote);
        statements.follow = reader.text("follow-statement", statements.follow);
        statements.raiseFence = reader.text("raise-fence-statement", statements.raiseFence);
        statements.checkFence = reader.text("check-fence-statement", statements.checkFence);
        statements.writeOffset = reader.text("write-offset-statement", statements.writeOffset);
        groupLines_.emplace(section.name, section.line);
        inventory_.groups.push_back(std::move(group));
    }

    void readServer(const IniSection &section, SectionReader &reader)
    {
        Server server;
        server.name = section.name;
        server.group = reference(reader, "group", "group");
        server.zone = reference(reader, "zone", "zone");
        const Endpoint endpoint = uniqueAddress(section, reader, "address");
        server.address = endpoint.address;
        server.port = endpoint.port;
        server.slots = reader.number("slots", slotRange);
        server.connections = reader.number("connections", connectionRange);
        server.administrativeState = administrativeState(reader);
        if (server.connections < server.slots)
            reader.add("connections", "fewer connections than slots; each slot needs one");
        else if (server.connections < minConnections)
            reader.add("connections", "fewer than 3: one for statements and two to change owners");
        servers_[server.group].push_back(std::move(server));
    }

    void readKind(const IniSection &section, SectionReader &reader)
    {
        Kind kind;
        kind.name = section.name;
        kind.readOnly = reader.choice("access", accessWords) == 0;
        kind.repeatable = kind.readOnly ? reader.choice("repeatable", booleanWords, 1) == 1
                                        : reader.choice("repeatable", booleanWords) == 1;
        kind.statedAge = reader.optionalDuration("stated-age", statedAgeRange);
        kind.deadline = reader.duration("deadline", deadlineRange, kind.deadline);
        kind.requestClass = static_cast<RequestClass>(
            reader.choice("class", classWords, static_cast<std::size_t>(defaultClass(kind))));
        kind.teams = references(reader, "teams", "team");
        checkKind(kind, reader);
        inventory_.kinds.push_back(std::move(kind));
    }

    void checkKind(const Kind &kind, SectionReader &reader)
    {
        const bool readClass = kind.requestClass == RequestClass::FreshRead
            || kind.requestClass == RequestClass::Browse;
        if (kind.readOnly && !kind.repeatable)
            reader.add("repeatable",
                       "a read is always repeatable; allowed with access = read: yes");
        if (!kind.readOnly && kind.statedAge)
            reader.add("stated-age", "a write has no stated age; allowed with access = read only");
        if (kind.readOnly != readClass)
            reader.add("class",
                       kind.readOnly ? "allowed with access = read: fresh-read, browse"
                                     : "allowed with access = write: critical, write");
    }

    void readTeam(const IniSection &section, SectionReader &reader)
    {
        Team team;
        team.name = section.name;
        team.keyHashes = uniqueHashes(section, reader, "key-hash");
        team.operatorKeyHashes = uniqueHashes(section, reader, "operator-key-hash");
        team.sharePercent = reader.number("share", shareRange, team.sharePercent);
        inventory_.teams.push_back(std::move(team));
    }

    void readLimits(const IniSection &, SectionReader &reader)
    {
        Limits &limits = inventory_.limits;
        limits.queueLength = reader.number("queue-length", queueRange, limits.queueLength);
        limits.transactionIdle =
            reader.duration("transaction-idle", idleRange, limits.transactionIdle);
        limits.keyRetention = reader.duration("key-retention", retentionRange, limits.keyRetention);
        limits.retryBudgetPercent =
            reader.number("retry-budget-percent", percentRange, limits.retryBudgetPercent);
        limits.primaryReadPercent =
            reader.number("primary-read-percent", percentRange, limits.primaryReadPercent);
        limits.callerTransit =
            reader.duration("caller-transit", transitRange, limits.callerTransit);
    }

    std::string reference(SectionReader &reader, const std::string &key, const std::string &type)
    {
        const std::string name = reader.name(key);
        if (!name.empty())
            references_.push_back({reader.lineOf(key), reader.title() + "/" + key, type, name});
        return name;
    }

    std::vector<std::string> references(SectionReader &reader, const std::string &key,
                                        const std::string &type)
    {
        const auto names = reader.names(key);
        for (const auto &name : names)
            references_.push_back({reader.lineOf(key), reader.title() + "/" + key, type, name});
        return names;
    }

    Endpoint uniqueAddress(const IniSection &section, SectionReader &reader, const std::string &key)
    {
        const Endpoint endpoint = reader.endpoint(key);
        if (endpoint.port == 0)
            return endpoint;
        const auto [other, isNew] =
            addressUsers_.emplace(endpoint.toText(), section.title() + "/" + key);
        if (!isNew)
            reader.add(key, "the address is already that of " + other->second);
        return endpoint;
    }

    // A key must identify a single team.
    std::vector<std::string> uniqueHashes(const IniSection &section, SectionReader &reader,
                                          const std::string &key)
    {
        const auto hashes = reader.hashes(key);
        for (const auto &hash : hashes) {
            const auto [other, isNew] = hashUsers_.emplace(hash, section.title() + "/" + key);
            if (!isNew)
                reader.add(key, "the hash is used in " + other->second + " already");
        }
        return hashes;
    }

    void checkReferences()
    {
        for (const Reference &reference : references_)
            if (declaredNames_[reference.type].count(reference.name) == 0)
                findings_.add(file_, reference.line, reference.key,
                              "there is no [" + reference.type + " " + reference.name + "]");
        for (auto &group : inventory_.groups)
            group.servers = std::move(servers_[group.name]);
    }

    void checkServers(const Group &group)
    {
        const std::size_t count = group.servers.size();
        if (count < minServers || count % 2 == 0)
            findings_.add(file_, groupLines_[group.name], "group " + group.name,
                          "the group has " + std::to_string(count)
                              + " servers; allowed is an odd number from 3 on");
    }

    void checkNotEmpty()
    {
        for (const char *type : {"group", "host", "kind"})
            if (declaredNames_[type].empty())
                findings_.add(file_, 0, type,
                              std::string("there is no [") + type
                                  + " NAME]; at least one is required");
    }

    const std::string &file_;
    Findings &findings_;
    Inventory inventory_;
    // By section type.
    std::map<std::string, std::set<std::string>> declaredNames_;
    std::vector<Reference> references_;
    std::map<GroupName, int> groupLines_;
    std::map<GroupName, std::vector<Server>> servers_;
    // Section and key of the first use of an address or hash.
    std::map<std::string, std::string> addressUsers_;
    std::map<std::string, std::string> hashUsers_;
};

} // namespace

const Group *Inventory::findGroup(const GroupName &name) const
{
    const auto indexed = groupIndex_.find(name);
    if (indexed != groupIndex_.end() && indexed->second < groups.size()
        && groups[indexed->second].name == name)
        return &groups[indexed->second];
    return findByName(groups, name);
}

void Inventory::indexGroups()
{
    groupIndex_.clear();
    for (std::size_t i = 0; i < groups.size(); ++i)
        groupIndex_.emplace(groups[i].name, i);
}

const Kind *Inventory::findKind(const KindName &name) const
{
    return findByName(kinds, name);
}

const Team *Inventory::findTeam(const TeamName &name) const
{
    return findByName(teams, name);
}

const Host *Inventory::findHost(const HostName &name) const
{
    return findByName(hosts, name);
}

Inventory parseInventory(const std::string &file, const std::string &text, Findings &findings)
{
    Inventory inventory = InventoryReader(file, findings).read(text);
    inventory.indexGroups();
    findings.sort();
    return inventory;
}

} // namespace kelptally::settings
