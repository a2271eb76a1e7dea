#pragma once

#include "admin/ctl.h"
#include "admin/processframe.h"
#include "core/digest.h"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>

namespace kelptally::admin {

// An in-memory store with injected outages and lost answers.
class FakeConfigStore : public ConfigStore
{
public:
    // Faults injected into later calls; set on the test's thread.
    struct Faults
    {
        std::atomic<bool> down {false};
        // The next apply takes effect, but its answer is lost.
        std::atomic<bool> loseAnswer {false};
    };

    explicit FakeConfigStore(Faults &faults) : faults_(faults) { }

    void readNewestVersion(ConfigVersionCallback callback) override
    {
        if (faults_.down)
            return callback(absl::UnavailableError("store is down"));
        callback(static_cast<ConfigVersion>(records_.size()));
    }

    void readNewest(ConfigRecordCallback callback) override
    {
        readVersion(records_.size(), std::move(callback));
    }

    void readVersion(ConfigVersion version, ConfigRecordCallback callback) override
    {
        if (faults_.down)
            return callback(absl::UnavailableError("store is down"));
        if (version == 0 || version > records_.size())
            return callback(std::optional<ConfigRecord>());
        callback(std::optional<ConfigRecord>(records_[version - 1]));
    }

    void updateSnapshot(ConfigVersion) override { }

    void readSnapshot(ConfigRecordCallback callback) override
    {
        callback(absl::UnavailableError("store is down"));
    }

    void readHistory(std::size_t limit, ConfigHistoryCallback callback) override
    {
        std::vector<ConfigRecord> newest(records_.rbegin(), records_.rend());
        newest.resize(std::min(limit, newest.size()));
        callback(std::move(newest));
    }

    void apply(ConfigVersion expected, ConfigRecord record, ConfigApplyCallback callback) override
    {
        if (faults_.down)
            return callback(absl::UnavailableError("store is down"));
        if (expected < records_.size() && records_[expected].changeId == record.changeId)
            return callback(ConfigApplied {true, expected + 1});
        if (expected != records_.size())
            return callback(ConfigApplied {false, records_.size()});
        records_.push_back(std::move(record));
        if (faults_.loseAnswer.exchange(false))
            return callback(absl::UnknownError("the answer was lost"));
        callback(ConfigApplied {true, records_.size()});
    }

private:
    Faults &faults_;
    std::deque<ConfigRecord> records_;
};

// A program that owns the groups offers and ledger and records the requests it gets.
class FakeProgram : public FrameProgram
{
public:
    void install(settings::ConfigurationPtr configuration) override
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        version_ = configuration->version;
        changed_.notify_all();
    }

    bool ready() const override { return true; }
    void drain() override { drained_ = true; }
    bool drained() const override { return drained_; }

    void operate(const inner::OperatorRequest &request, OperatorReply reply) override
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        requests_.push_back(request);
        inner::OperatorAnswer answer;
        answer.configVersion = version_;
        for (const char *name : {"offers", "ledger"}) {
            inner::GroupStatus group;
            group.group = name;
            group.epoch = 3;
            group.owner.address = "127.0.0.1:1";
            group.servers.emplace_back().server = std::string(name) + "-s1";
            answer.groups.push_back(group);
        }
        reply(answer);
    }

    bool waitForVersion(ConfigVersion version)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        return changed_.wait_for(lock, std::chrono::seconds(60),
                                 [&] { return version_ >= version; });
    }

    std::vector<inner::OperatorRequest> takeRequests(inner::OperatorCommand command)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::vector<inner::OperatorRequest> taken;
        for (const inner::OperatorRequest &request : requests_)
            if (request.command == command)
                taken.push_back(request);
        requests_.clear();
        return taken;
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    ConfigVersion version_ = 0;
    std::vector<inner::OperatorRequest> requests_;
    std::atomic<bool> drained_ {false};
};

// Links to one simulated peer, the entry at 127.0.0.1:2.
class FakeLinks : public inner::PeerLinks
{
public:
    static constexpr const char *peer = "127.0.0.1:2";
    static constexpr inner::LinkId link = 7;

    explicit FakeLinks(AdminPeers &peers) : peers_(peers) { }

    // Brings up the link to the peer, which reports and serves this version.
    void connectPeer(ConfigVersion version, const std::string &document)
    {
        version_ = version;
        document_ = document;
        inner::Hello hello;
        hello.process.address = peer;
        hello.configVersion = version;
        peers_.onPeerUp(link, hello);
    }

    void connect(const std::string &) override { }
    void drop(const std::string &) override { }
    void renew(const std::string &) override { }
    void cancelRenewal(const std::string &) override { }
    inner::LinkId linkTo(const std::string &address) override { return address == peer ? link : 0; }

    absl::Status sendTo(const std::string &address, inner::Message message) override
    {
        if (address != peer)
            return absl::UnavailableError("no link");
        return sendOn(link, std::move(message));
    }

    absl::Status sendOn(inner::LinkId, inner::Message message) override
    {
        if (const auto *request = std::get_if<inner::ConfigRequest>(&message)) {
            answer(inner::ConfigAnswer {request->requestId, version_, document_});
        } else if (const auto *operatorRequest = std::get_if<inner::OperatorRequest>(&message)) {
            inner::OperatorAnswer reply;
            reply.requestId = operatorRequest->requestId;
            reply.configVersion = version_;
            drained_ = drained_ || operatorRequest->command == inner::OperatorCommand::Drain;
            reply.draining = drained_;
            answer(reply);
        } else if (const auto *notice = std::get_if<inner::ConfigNotice>(&message)) {
            version_ = std::max(version_, notice->version);
        }
        return absl::OkStatus();
    }

private:
    void answer(inner::Message message) { peers_.onPeerMessage(link, message); }

    AdminPeers &peers_;
    ConfigVersion version_ = 0;
    std::string document_;
    bool drained_ = false;
};

// A process frame on a free port with a fake store, program and peer.
struct FrameFixture
{
    explicit FrameFixture(const caller::HttpTls &tls = {})
        : frame("test", settingsWith(tls), metrics, program,
                [this](DutyThread &, const settings::ProcessSettings &) {
                    return std::make_unique<FakeConfigStore>(faults);
                }),
          links(frame.peers())
    {
        frame.peers().setLinks(&links);
        REQUIRE(frame.start().ok());
        setKey("root");
    }

    ~FrameFixture() { frame.stop(); }

    static settings::ProcessSettings settingsWith(const caller::HttpTls &tls)
    {
        settings::ProcessSettings settings;
        settings.address = "127.0.0.1";
        settings.peerPort = 1;
        settings.operatorKeyHash = digestToHex(sha256("root"));
        settings.tlsCertificate = tls.certificate;
        settings.tlsKey = tls.key;
        return settings;
    }

    static void setKey(const std::string &key) { setenv("KELPTALLY_OPERATOR_KEY", key.c_str(), 1); }

    std::string proxy() const { return "127.0.0.1:" + std::to_string(frame.adminPort()); }

    // Runs kelptallyctl and stores its output in out and err.
    CtlExit ctl(std::vector<std::string> arguments)
    {
        std::ostringstream outStream;
        std::ostringstream errStream;
        arguments.insert(arguments.end(), {"--proxy", proxy()});
        const CtlExit exit = runCtl(arguments, outStream, errStream);
        out = outStream.str();
        err = errStream.str();
        return exit;
    }

    Metrics metrics;
    FakeConfigStore::Faults faults;
    FakeProgram program;
    ProcessFrame frame;
    FakeLinks links;
    std::string out;
    std::string err;
};

// Returns a configuration of one host with an owner at 127.0.0.1:1 and an entry at 127.0.0.1:2, and
// the groups offers (team brokers, operators' key "broker") and ledger (team books).
inline std::string smallConfiguration(const std::string &extra = {})
{
    std::string text = "[zone a]\nregion = r\n"
                       "[host h1]\nzone = a\nowner = 127.0.0.1:1\nentry = 127.0.0.1:2\n"
                       "[team brokers]\nkey-hash = "
        + digestToHex(sha256("caller")) + "\noperator-key-hash = " + digestToHex(sha256("broker"))
        + "\n[team books]\nkey-hash = " + digestToHex(sha256("caller2")) + "\n";
    int port = 100;
    for (const auto &[group, team] :
         {std::pair("offers", "brokers"), std::pair("ledger", "books")}) {
        text += std::string("[group ") + group + "]\nteam = " + team
            + "\ndatabase = d\nuser = u\npassword = secret\n";
        for (int i = 1; i <= 3; ++i)
            text += std::string("[server ") + group + "-s" + std::to_string(i) + "]\ngroup = "
                + group + "\nzone = a\naddress = 127.0.0.1:" + std::to_string(++port)
                + "\nslots = 3\nconnections = 25\n";
    }
    return text + "[kind browse]\naccess = read\nstated-age = 2s\n" + extra;
}

// Creates a file in the working directory and removes it on destruction.
class TemporaryFile
{
public:
    TemporaryFile(std::string path, const std::string &text) : path_(std::move(path))
    {
        std::ofstream(path_) << text;
    }
    ~TemporaryFile() { std::remove(path_.c_str()); }
    const std::string &path() const { return path_; }

private:
    const std::string path_;
};

} // namespace kelptally::admin
