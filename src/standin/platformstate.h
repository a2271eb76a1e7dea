#pragma once

#include "core/clock.h"
#include "services/tableservice.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kelptally::standin {

// A request as the stand-in understands it.
struct PlatformRequest
{
    std::string method;
    std::string target;
    std::string body;
    // As in the header, with quotes; empty: none.
    std::string ifMatch;
    bool ifNoneMatch = false;
};

struct PlatformResponse
{
    int status = 200;
    // Without quotes; empty: none.
    std::string etag;
    std::string body;
};

enum class PlatformService {
    Tables,
    Objects,
    Hosts,
    // Faults and counters themselves.
    Control,
};
constexpr std::size_t platformServiceCount = 4;

enum class Outage {
    None,
    // The connection is reset before the request has an effect.
    Reset,
    // 503 before the request has an effect.
    Refuse,
};

struct PlatformFaults
{
    Outage outage = Outage::None;
    // Wait before the effect.
    Duration delay {0};
    // So many of the next successful writes take effect and get no answer.
    int lostResponses = 0;
};

struct PlatformCounters
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
};

// What the stand-in of the platform holds and how it answers, without its network.
class PlatformState
{
public:
    static PlatformService serviceOf(std::string_view target);

    // Carries the request out and answers it.
    PlatformResponse handle(Instant now, const PlatformRequest &request);

    void count(PlatformService service, bool isWrite);
    PlatformFaults &faults(PlatformService service);

    // Of changes from now on.
    void setHostLag(Duration lag) { hostLag_ = lag; }
    void setHosts(Instant visibleFrom, std::vector<services::ListedHost> hosts);

private:
    struct Item
    {
        std::string value;
        std::string etag;
    };
    struct HostsVersion
    {
        Instant visibleFrom;
        std::vector<services::ListedHost> hosts;
    };
    using Items = std::map<std::string, Item>;

    PlatformResponse readRow(const std::string &table, const std::string &key) const;
    PlatformResponse listRows(const std::string &table, const std::string &prefix) const;
    PlatformResponse writeRows(const std::string &body);
    PlatformResponse getObject(const std::string &key) const;
    PlatformResponse putObject(const PlatformRequest &request, const std::string &key);
    PlatformResponse listHosts(Instant now);
    PlatformResponse putHosts(Instant now, const std::string &body);
    PlatformResponse setFaults(const std::string &body);
    PlatformResponse showCounters() const;
    std::string nextEtag();

    std::map<std::string, Items> tables_;
    Items objects_;
    std::vector<HostsVersion> hostVersions_;
    Duration hostLag_ {0};
    std::uint64_t lastEtag_ = 0;
    std::array<PlatformFaults, platformServiceCount> faults_;
    std::array<PlatformCounters, platformServiceCount> counters_;
};

} // namespace kelptally::standin
