#pragma once

#include "inner/peerlink.h"
#include "services/tableservice.h"

namespace kelptally::owner {

// Links that send nothing.
struct NoLinks : public inner::PeerLinks
{
    void connect(const std::string &) override { }
    void drop(const std::string &) override { }
    void renew(const std::string &) override { }
    void cancelRenewal(const std::string &) override { }
    inner::LinkId linkTo(const std::string &) override { return 0; }
    absl::Status sendTo(const std::string &, inner::Message) override { return {}; }
    absl::Status sendOn(inner::LinkId, inner::Message) override { return {}; }
};

// Table service that never answers.
struct NoTable : public services::TableService
{
    void read(const std::string &, const std::string &, services::RowCallback) override { }
    void list(const std::string &, const std::string &, services::RowsCallback) override { }
    void write(std::vector<services::ConditionalWrite>, services::WriteCallback) override { }
};

} // namespace kelptally::owner
