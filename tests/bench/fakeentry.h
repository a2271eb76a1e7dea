#pragma once

#include "caller/httpserver.h"
#include "core/json.h"

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace kelptally::bench {

// Fault of a fake entry.
enum class EntryFault {
    None,
    // Acknowledges every tenth write without storing it.
    LosesWrites,
    // Stores every tenth write twice.
    DuplicatesWrites,
    // Stores every tenth write, but answers that it was not executed and can't be retried.
    StoresRefusedWrites,
    // Reads don't see any write.
    ReadsMissWrites,
};

// An entry that stores writes of {id} in memory and recognises the few statements that the tests
// send. The first request with each idempotency key is refused as not executed, to cause a retry.
class FakeEntry : public caller::HttpHandler
{
public:
    explicit FakeEntry(EntryFault fault) : fault_(fault)
    {
        (void)server_.listen("127.0.0.1", 0);
        thread_.start();
    }
    ~FakeEntry() override { thread_.stop(); }

    std::string address() const { return "127.0.0.1:" + std::to_string(server_.port()); }
    // Delays the first answer by this time.
    void delayFirstAnswer(Duration time) { firstAnswerDelay_ = time; }

    void onRequest(caller::HttpRequest request, caller::HttpReplyPtr reply) override
    {
        const auto document = parseJson(request.body);
        const std::string sql = document->textOf("sql");
        caller::HttpResponse response = sql.substr(0, 6) == "INSERT"
            ? write(request.idempotencyKey, *document)
            : read(sql, *document);
        response.headers.push_back({"Kelptally-Session", "token"});
        const Duration delay = firstAnswerDelay_;
        firstAnswerDelay_ = Duration(0);
        thread_.timers().subscribeAfter(delay, [reply, response] { reply->send(response); });
    }
    void onCallerDisconnected(caller::ConnectionId) override { }

private:
    static caller::HttpResponse refusal(const std::string &reason, bool retryable)
    {
        caller::HttpResponse response;
        response.status = 503;
        response.body = "{\"reason\":\"" + reason + "\",\"executed\":\"no\",\"retryable\":"
            + (retryable ? "true" : "false") + ",\"retryAfterMs\":1}";
        return response;
    }

    static caller::HttpResponse rows(const std::string &text)
    {
        caller::HttpResponse response;
        response.body = "{\"columns\":[],\"rows\":[" + text + "],\"fromReplica\":true}";
        return response;
    }

    caller::HttpResponse write(const std::string &key, const JsonValue &document)
    {
        if (keys_.insert(key).second)
            return refusal("queue_full", true);
        const std::string id = document.find("parameters")->items.at(0).text;
        const bool isTenth = ++writes_ % 10 == 0;
        copies_[id] = isTenth && fault_ == EntryFault::DuplicatesWrites ? 2 : 1;
        if (isTenth && fault_ == EntryFault::LosesWrites)
            copies_.erase(id);
        return isTenth && fault_ == EntryFault::StoresRefusedWrites ? refusal("forbidden", false)
                                                                    : rows("");
    }

    caller::HttpResponse read(const std::string &sql, const JsonValue &document)
    {
        const auto &parameters = document.find("parameters")->items;
        std::string found;
        if (sql.find("count(*)") != std::string::npos) {
            for (auto it = copies_.upper_bound(parameters.at(1).text); it != copies_.end(); ++it)
                found += (found.empty() ? "[\"" : ",[\"") + it->first + "\",\""
                    + std::to_string(it->second) + "\"]";
        } else if (fault_ != EntryFault::ReadsMissWrites) {
            found = "[\"1000000\"]";
        } else if (sql.find("value") != std::string::npos) {
            found = "[\"0\"]";
        }
        return rows(found);
    }

    const EntryFault fault_;
    std::atomic<Duration> firstAnswerDelay_ {Duration(0)};
    std::set<std::string> keys_;
    std::map<std::string, int> copies_;
    int writes_ = 0;
    DutyThread thread_ {"fake-entry"};
    caller::HttpServer server_ {thread_, *this, {}, [](Reason) {}};
};

} // namespace kelptally::bench
