#include "inner/linkrefusal.h"

#include <prometheus/counter.h>

namespace kelptally::inner {

namespace {

constexpr std::uint16_t closeMalformed = 4000;
constexpr std::uint16_t closeKey = 4001;
constexpr std::uint16_t closeVersion = 4002;
constexpr std::uint16_t closeAddress = 4003;

} // namespace

std::uint16_t closeCodeOf(const absl::Status &reason)
{
    switch (reason.code()) {
    case absl::StatusCode::kUnauthenticated:
        return closeKey;
    case absl::StatusCode::kFailedPrecondition:
        return closeVersion;
    case absl::StatusCode::kNotFound:
        return closeAddress;
    default:
        return closeMalformed;
    }
}

bool isRefusal(std::uint16_t closeCode)
{
    return closeCode >= closeMalformed && closeCode <= closeAddress;
}

bool isPersistent(const absl::Status &reason)
{
    return !reason.ok() && !absl::IsDeadlineExceeded(reason);
}

const char *refusalCause(std::uint16_t closeCode)
{
    switch (closeCode) {
    case closeKey:
        return "key";
    case closeVersion:
        return "version";
    case closeAddress:
        return "address";
    default:
        return "malformed";
    }
}

RefusalCounters::RefusalCounters(Metrics *metrics) : metrics_(metrics)
{
    if (metrics == nullptr)
        return;
    for (const char *cause : {"key", "version", "address", "malformed", timeoutCause, silenceCause})
        counters_[cause] = &metrics->counter("kelptally_peer_links_refused_total",
                                             "Peer links closed by this end", {{"cause", cause}});
}

void RefusalCounters::count(const char *cause)
{
    if (metrics_ == nullptr)
        return;
    counters_.at(cause)->Increment();
    metrics_->countRefusal(Reason::PeerRefused);
}

} // namespace kelptally::inner
