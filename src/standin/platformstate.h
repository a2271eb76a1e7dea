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

// The parts of an HTTP request that the stand-in uses.
struct PlatformRequest
{
    std::string method;
    std::string target;
    std::string body;
    // Value of If-Match with its quotes; empty if absent.
    std::string ifMatch;
    bool ifNoneMatch = false;
};

struct PlatformResponse
{
    int status = 200;
    // ETag without quotes; empty if there is none.
    std::string etag;
    std::string body;
};

enum class PlatformService {
    Tables,
    Objects,
    Hosts,
    // Fault injection and request counters.
    Control,
};
constexpr std::size_t platformServiceCount = 4;

enum class Outage {
    None,
    // Reset the connection before executing the request.
    Reset,
    // Respond with 503 without executing the request.
    Refuse,
};

struct PlatformFaults
{
    Outage outage = Outage::None;
    // Delay before executing a request.
    Duration delay {0};
    // Number of successful writes to execute next without sending a response.
    int lostResponses = 0;
};

struct PlatformCounters
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
};

// Data and request handling of the platform stand-in, independent of the network.
class PlatformState
{
public:
    static PlatformService serviceOf(std::string_view target);

    // Executes the request and returns its response.
    PlatformResponse handle(Instant now, const PlatformRequest &request);

    void countRequest(PlatformService service, bool isWrite);
    PlatformFaults &faults(PlatformService service);

    // Sets the lag of subsequent changes of the host list.
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
