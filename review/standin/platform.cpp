#include "platform.h"

#include <algorithm>

namespace review {

// Processes that were started and have not been waited for.
static std::mutex processesMutex;
static std::set<pid_t> processes;

[[noreturn]] void cannotRun(const std::string &why)
{
    record.line("the case can't run: " + why);
    {
        const std::lock_guard<std::mutex> lock(processesMutex);
        for (const pid_t process : processes)
            ::kill(process, SIGKILL);
    }
    std::fprintf(stderr, "the case can't run: %s\n", why.c_str());
    std::_Exit(2);
}

// HTTP

std::string percentDecoded(const std::string &text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

std::optional<HttpCall> readCall(Reader &reader)
{
    const auto first = reader.line();
    if (!first)
        return std::nullopt;
    HttpCall call;
    std::istringstream words(*first);
    std::string target;
    words >> call.method >> target;
    const std::size_t mark = target.find('?');
    call.path = target.substr(0, mark);
    if (mark != std::string::npos) {
        std::istringstream query(target.substr(mark + 1));
        for (std::string pair; std::getline(query, pair, '&');) {
            const std::size_t equals = pair.find('=');
            call.query[pair.substr(0, equals)] =
                equals == std::string::npos ? "" : percentDecoded(pair.substr(equals + 1));
        }
    }
    for (;;) {
        const auto line = reader.line();
        if (!line)
            return std::nullopt;
        if (line->empty())
            break;
        const std::size_t colon = line->find(':');
        std::string name = line->substr(0, colon);
        for (char &c : name)
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        std::string value = colon == std::string::npos ? "" : line->substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        call.headers[name] = value;
    }
    const auto length = call.headers.find("content-length");
    if (length != call.headers.end()) {
        const auto body = reader.bytes(std::strtoul(length->second.c_str(), nullptr, 10));
        if (!body)
            return std::nullopt;
        call.body = *body;
    }
    return call;
}

static bool sendAnswer(int handle, const HttpAnswer &answer)
{
    return sendAll(handle,
                   "HTTP/1.1 " + std::to_string(answer.status)
                       + " X\r\nContent-Type: application/json\r\nContent-Length: "
                       + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body);
}

int getStatus(const std::string &ip, int port, const std::string &path)
{
    const int handle = connectTo(ip, port);
    if (handle < 0)
        return 0;
    const timeval limit {1, 0};
    ::setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    sendAll(handle, "GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    Reader reader(handle);
    const auto line = reader.line();
    ::close(handle);
    return line && line->size() >= 12 ? std::atoi(line->substr(9, 3).c_str()) : 0;
}

// Store

static std::string base64(const std::string &text)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group =
                group << 8 | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0u);
        for (std::size_t j = 0; j < 4; ++j)
            encoded += i + j <= text.size() ? digits[group >> (18 - 6 * j) & 63] : '=';
    }
    return encoded;
}

static std::string unbase64(const std::string &text)
{
    std::string decoded;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char c : text) {
        const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        const char *at = c == 0 ? nullptr : std::strchr(digits, c);
        if (at == nullptr)
            break;
        group = group << 6 | static_cast<std::uint32_t>(at - digits);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            decoded += static_cast<char>(group >> bits & 255);
        }
    }
    return decoded;
}

void Store::put(const std::string &table, const std::string &key, const std::string &value)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    tables_[table][key] = {base64(value), ++version_, false};
    changed_.notify_all();
}

void Store::remove(const std::string &table, const std::string &key)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    tables_[table][key] = {"", ++version_, true};
    changed_.notify_all();
}

std::optional<std::string> Store::value(const std::string &table, const std::string &key)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto row = tables_[table].find(key);
    if (row == tables_[table].end() || row->second.deleted)
        return std::nullopt;
    return unbase64(row->second.value);
}

void Store::serve(int handle)
{
    Reader reader(handle);
    while (const auto call = readCall(reader)) {
        const HttpAnswer reply = answer(*call);
        sleepMs(4);
        if (!sendAnswer(handle, reply))
            return;
    }
}

HttpAnswer Store::answer(const HttpCall &call)
{
    if (call.path == "/kelptally/rows-get")
        return rowsGet(call);
    if (call.path == "/kelptally/rows-feed")
        return rowsFeed(call);
    if (call.path == "/kelptally/rows-tx")
        return rowsTx(call);
    return {404, "{}"};
}

Json Store::rowOf(const std::string &table, const std::string &key, const Row &row) const
{
    Json json = {{"table", table}, {"part", ""}, {"key", key}, {"ver", row.version}};
    if (row.deleted)
        json["deleted"] = true;
    else
        json["value"] = row.value;
    return json;
}

static std::string query(const HttpCall &call, const std::string &name)
{
    const auto found = call.query.find(name);
    return found == call.query.end() ? "" : found->second;
}

HttpAnswer Store::rowsGet(const HttpCall &call)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::string table = query(call, "table");
    const std::string to = query(call, "to");
    Json rows = Json::array();
    for (const auto &[key, row] : tables_[table])
        if (!row.deleted && key >= query(call, "from") && (to.empty() || key < to))
            rows.push_back(rowOf(table, key, row));
    return {200,
            Json {{"rows", rows},
                  {"truncated", false},
                  {"ver", version_},
                  {"nowMs", static_cast<std::int64_t>(nowMs()) + 1'000'000}}
                .dump()};
}

HttpAnswer Store::rowsFeed(const HttpCall &call)
{
    std::unique_lock<std::mutex> lock(mutex_);
    const std::string table = query(call, "table");
    const auto after = std::strtoull(query(call, "after").c_str(), nullptr, 10);
    const auto until = Clock::now() + Milliseconds(std::atoi(query(call, "waitMs").c_str()));
    for (;;) {
        std::map<std::uint64_t, Json> rows;
        for (const auto &[key, row] : tables_[table])
            if (row.version > after)
                rows[row.version * 1000 + rows.size()] = rowOf(table, key, row);
        if (!rows.empty() || Clock::now() >= until) {
            Json list = Json::array();
            for (const auto &[version, row] : rows)
                list.push_back(row);
            return {200,
                    Json {{"rows", list},
                          {"ver", version_},
                          {"nowMs", static_cast<std::int64_t>(nowMs()) + 1'000'000}}
                        .dump()};
        }
        changed_.wait_until(lock, until);
    }
}

HttpAnswer Store::rowsTx(const HttpCall &call)
{
    const Json body = Json::parse(call.body, nullptr, false);
    if (body.is_discarded())
        return {400, "{}"};
    const std::lock_guard<std::mutex> lock(mutex_);
    Json present = Json::array();
    bool holds = true;
    for (const Json &each : body.value("expectedRev", Json::array())) {
        const std::string table = each["table"];
        const std::string key = each["key"];
        const auto row = tables_[table].find(key);
        const bool exists = row != tables_[table].end() && !row->second.deleted;
        const std::uint64_t version = exists ? row->second.version : 0;
        holds = holds && version == each["ver"].get<std::uint64_t>();
        if (exists)
            present.push_back(rowOf(table, key, row->second));
    }
    const auto now = static_cast<std::int64_t>(nowMs()) + 1'000'000;
    if (!holds)
        return {412, Json {{"rows", present}, {"ver", version_}, {"nowMs", now}}.dump()};
    ++version_;
    for (const Json &each : body.value("puts", Json::array()))
        tables_[each["table"]][each["key"]] = {each["value"], version_, false};
    for (const Json &each : body.value("remove", Json::array()))
        tables_[each["table"]][each["key"]] = {"", version_, true};
    changed_.notify_all();
    return {200, Json {{"ver", version_}, {"nowMs", now}}.dump()};
}

// Database group

struct Group::Session
{
    char state = 'I';
    bool readOnly = false;
    std::vector<Entry> writes;
    std::map<std::string, std::string> prepared;
};

constexpr int slots = 3;
constexpr int startEntries = 10;

void Group::addServer(const std::string &id, const std::string &ip, const std::string &zone,
                      bool primary)
{
    auto server = std::make_unique<Server>();
    server->id = id;
    server->ip = ip;
    server->zone = zone;
    server->primary = primary;
    for (int i = 0; i < startEntries; ++i)
        server->log.push_back({1, "start" + std::to_string(i), "data", "-"});
    Server &added = *server;
    server->listener =
        std::make_unique<Listener>(ip, [this, &added](int handle) { serve(added, handle); });
    server->port = server->listener->port();
    const std::lock_guard<std::mutex> lock(mutex_);
    servers_[id] = std::move(server);
    report(added);
}

void Group::report(Server &server)
{
    const Json entry = {
        {"service", name_},       {"address", server.ip + ":" + std::to_string(server.port)},
        {"zone", server.zone},    {"version", "v1"},
        {"slots", slots},         {"state", "ready"},
        {"warmupLeftMs", 0},      {"dbRole", server.primary ? "primary" : "replica"},
        {"sequence", ++sequence_}};
    store_.put("servers", server.id, entry.dump());
}

void Group::crash(const std::string &id)
{
    record.line("server " + id + " crashes");
    const std::lock_guard<std::mutex> lock(mutex_);
    servers_.at(id)->up = false;
    servers_.at(id)->listener->close();
    changed_.notify_all();
    // The entry expires after three intervals of silence.
    std::thread([this, id] {
        sleepMs(3 * 1200);
        store_.remove("servers", id);
    }).detach();
}

std::string Group::primary()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto &[id, server] : servers_)
        if (server->up && server->primary)
            return id;
    return "";
}

int Group::promote(const std::string &id, double afterMs)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = servers_.find(id);
    if (found == servers_.end() || !found->second->up)
        return 409;
    if (found->second->primary)
        return 200;
    std::thread([this, id, afterMs] {
        sleepMs(afterMs);
        const std::lock_guard<std::mutex> lock(mutex_);
        Server &next = *servers_.at(id);
        if (!next.up || next.primary)
            return;
        std::uint64_t term = 0;
        for (const auto &[other, server] : servers_)
            term = std::max(term, server->term);
        next.term = term + 1;
        next.primary = true;
        next.pausedTerm = 0;
        record.line("server " + id + " leads term " + std::to_string(next.term) + " with "
                    + std::to_string(next.log.size()) + " commits");
        report(next);
        for (const auto &[other, server] : servers_) {
            if (server.get() == &next || !server->up || server->primary || server->pausedTerm != 0)
                continue;
            server->log = next.log;
            server->term = next.term;
        }
        changed_.notify_all();
    }).detach();
    return 200;
}

std::string Group::positionOf(const Server &server) const
{
    const std::uint64_t term = server.primary ? server.term
        : server.log.empty()                  ? server.term
                                              : server.log.back().term;
    return std::to_string(term) + "." + std::to_string(server.log.size());
}

std::string Group::ready(const Server &server, const Session &session) const
{
    return std::string("READY ") + session.state + " " + positionOf(server) + "\r\n";
}

std::string Group::status(const Server &server) const
{
    return std::string("DATAROW ") + (server.primary ? "primary " : "replica ")
        + std::to_string(server.term) + " " + positionOf(server) + " "
        + std::to_string(server.pausedTerm) + " 0 " + std::to_string(server.busy + 1) + " "
        + std::to_string(server.connections) + "\r\nCOMPLETE -\r\n";
}

// Returns whether a replica has received the entries.
bool Group::commit(Server &server, const std::vector<Entry> &entries,
                   std::unique_lock<std::mutex> &lock)
{
    for (Entry entry : entries) {
        entry.term = server.term;
        server.log.push_back(std::move(entry));
    }
    const std::size_t needed = server.log.size();
    for (;;) {
        bool received = false;
        for (const auto &[id, other] : servers_) {
            if (other.get() == &server || !other->up || other->primary || other->pausedTerm != 0)
                continue;
            other->log = server.log;
            other->term = server.term;
            received = true;
        }
        if (received || !server.up || !server.primary || server.log.size() < needed)
            return received;
        changed_.wait_for(lock, Milliseconds(20));
    }
}

void Group::serve(Server &server, int handle)
{
    Reader reader(handle);
    Session session;
    const auto start = reader.line();
    if (!start)
        return;
    std::istringstream words(*start);
    std::string verb;
    std::string group;
    std::string caller;
    std::string id;
    words >> verb >> group >> caller >> id;
    if (verb != "START" || group != name_ || (!id.empty() && id != server.id)) {
        sendAll(handle, "ERROR WRONGNODE " + server.id + "\r\n");
        return;
    }
    sleepMs(12);
    {
        std::unique_lock<std::mutex> lock(mutex_);
        ++server.connections;
        const std::string text = ready(server, session);
        lock.unlock();
        sendAll(handle, text);
    }
    while (const auto line = reader.line()) {
        if (line->rfind("QUERY ", 0) != 0)
            break;
        const std::size_t blank = line->find(' ', 6);
        const std::string statement = line->substr(6, blank - 6);
        if (!sendAll(handle, answer(server, session, statement, line->substr(blank + 1))))
            break;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    --server.connections;
}

std::string Group::answer(Server &server, Session &session, const std::string &id,
                          const std::string &whole)
{
    std::unique_lock<std::mutex> lock(mutex_);
    std::string text = whole;
    std::uint64_t needed = 0;
    if (text.rfind("AFTER ", 0) == 0) {
        const std::size_t blank = text.find(' ', 6);
        const std::string position = text.substr(6, blank - 6);
        needed = std::strtoull(position.substr(position.find('.') + 1).c_str(), nullptr, 10);
        text = text.substr(blank + 1);
    }
    std::istringstream words(text);
    std::string verb;
    std::string first;
    words >> verb >> first;
    const auto error = [&](const std::string &code) {
        if (session.state == 'T')
            session.state = 'E';
        return "ERROR " + code + " " + server.id + "\r\n" + ready(server, session);
    };
    const auto done = [&](const std::string &digest) {
        return "COMPLETE " + digest + "\r\n" + ready(server, session);
    };
    if (verb == "STATUS")
        return server.busy >= slots ? error("BUSY") : status(server) + ready(server, session);
    if (verb == "PAUSE") {
        const auto term = std::strtoull(first.c_str(), nullptr, 10);
        if (!server.primary && term > server.term)
            server.pausedTerm = std::max<std::uint64_t>(server.pausedTerm, term);
        record.line("server " + server.id + ": " + text);
        return status(server) + ready(server, session);
    }
    if (verb == "RESUME") {
        server.pausedTerm = 0;
        record.line("server " + server.id + ": " + text);
        changed_.notify_all();
        return status(server) + ready(server, session);
    }
    if (verb == "DEMOTE") {
        const auto term = std::strtoull(first.c_str(), nullptr, 10);
        if (server.primary && server.term < term) {
            server.primary = false;
            report(server);
        }
        record.line("server " + server.id + ": " + text);
        return status(server) + ready(server, session);
    }
    if (verb == "SET" || verb == "DEALLOC")
        return done("-");
    if (verb == "RESET") {
        session.prepared.clear();
        return done("-");
    }
    if (verb == "PREPARE") {
        std::string mode;
        words >> mode;
        session.prepared[first] = mode;
        return done("-");
    }
    if (needed > server.log.size())
        return error("LAGGING");
    if (verb == "BEGIN") {
        if (first.empty() && !server.primary)
            return error("READONLY");
        session.state = 'T';
        session.readOnly = !first.empty();
        session.writes.clear();
        return done("-");
    }
    if (verb == "ROLLBACK") {
        session.state = 'I';
        session.writes.clear();
        return done("-");
    }
    // A read, a write or a commit: takes a slot while it works.
    bool writes = verb == "WRITE";
    std::string item = first;
    if (verb == "EXECUTE") {
        const auto prepared = session.prepared.find(first);
        if (prepared == session.prepared.end())
            return error("NOSTMT");
        writes = prepared->second == "WRITE";
        words >> item;
    }
    if (server.busy >= slots)
        return error("BUSY");
    if (!server.primary && (writes || (session.state == 'T' && !session.readOnly)))
        return error("READONLY");
    record.line("server " + server.id + " runs " + id + " " + text
                + (session.state == 'T' ? " (in a transaction)" : ""));
    ++server.busy;
    lock.unlock();
    sleepMs(workTime_(text));
    lock.lock();
    --server.busy;
    const std::string digest = server.id + "." + id;
    std::string data;
    words >> data;
    std::string answer;
    if (verb == "COMMIT" || (writes && session.state == 'I')) {
        std::vector<Entry> entries = std::move(session.writes);
        session.writes.clear();
        if (writes)
            entries.push_back({0, item, data, id});
        const bool inTransaction = session.state == 'T';
        session.state = 'I';
        if (!entries.empty() && !server.primary) {
            session.state = inTransaction ? 'E' : 'I';
            return error("READONLY");
        }
        if (!entries.empty() && !commit(server, entries, lock))
            return "";
        answer = done(digest);
    } else if (writes) {
        session.writes.push_back({0, item, data, id});
        answer = done(digest);
    } else {
        std::string value = "none";
        for (const Entry &entry : server.log)
            if (entry.item == item)
                value = entry.data;
        answer = "DATAROW " + value + "\r\n" + done(digest);
    }
    record.line("server " + server.id + " ends " + id);
    return answer;
}

// Cloud API

void Cloud::serve(int handle)
{
    Reader reader(handle);
    while (const auto call = readCall(reader)) {
        const Json body = Json::parse(call->body, nullptr, false);
        if (call->path != "/promotion" || body.is_discarded()) {
            if (!sendAnswer(handle, {404, "{}"}))
                return;
            continue;
        }
        Promotion promotion;
        promotion.atMs = nowMs();
        const auto header = [&](const char *name) {
            const auto found = call->headers.find(name);
            return found == call->headers.end() ? std::string() : found->second;
        };
        promotion.holder = header("x-lease-holder");
        promotion.fence = std::strtoull(header("x-fencing-token").c_str(), nullptr, 10);
        promotion.server = body.value("id", "");
        record.line("the cloud API receives a promotion of " + promotion.server + " from "
                    + promotion.holder + " with fence " + std::to_string(promotion.fence));
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            seen_.push_back(promotion);
        }
        const int status = group_.promote(promotion.server, leadMs_);
        sleepMs(15);
        if (!sendAnswer(handle, {status, "{}"}))
            return;
    }
}

// Path

Path::Path(const std::string &ip, const std::string &toIp, int toPort)
    : ip_(ip), toIp_(toIp), toPort_(toPort), listening_(listenOn(ip, port_, 0))
{
    std::thread([this] { acceptAll(); }).detach();
}

void Path::acceptAll()
{
    for (;;) {
        {
            std::unique_lock<std::mutex> lock(mutex_);
            healed_.wait(lock, [this] { return !cut_; });
        }
        pollfd waiting {listening_, POLLIN, 0};
        constexpr int pollMs = 2;
        if (::poll(&waiting, 1, pollMs) <= 0)
            continue;
        const std::lock_guard<std::mutex> lock(mutex_);
        if (cut_)
            continue;
        const int handle = ::accept4(listening_, nullptr, nullptr, SOCK_CLOEXEC);
        if (handle >= 0)
            std::thread([this, handle] { serve(handle); }).detach();
    }
}

void Path::cut()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    cut_ = true;
    filler_ = connectTo(ip_, port_);
}

void Path::heal()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    cut_ = false;
    ::close(filler_);
    healed_.notify_all();
}

void Path::serve(int handle)
{
    const int to = connectTo(toIp_, toPort_);
    if (to >= 0) {
        std::thread back([this, handle, to] { forward(to, handle); });
        forward(handle, to);
        ::shutdown(to, SHUT_RDWR);
        ::shutdown(handle, SHUT_RDWR);
        back.join();
        ::close(to);
    }
    ::close(handle);
}

void Path::forward(int from, int to)
{
    char bytes[16384];
    for (;;) {
        const ssize_t count = ::recv(from, bytes, sizeof bytes, 0);
        if (count <= 0)
            return;
        std::unique_lock<std::mutex> lock(mutex_);
        const bool held = cut_;
        healed_.wait(lock, [this] { return !cut_; });
        lock.unlock();
        // Held bytes are lost if their sender has reset the connection meanwhile.
        int error = 0;
        socklen_t size = sizeof error;
        ::getsockopt(from, SOL_SOCKET, SO_ERROR, &error, &size);
        if (held && error != 0)
            return;
        if (!sendAll(to, std::string(bytes, static_cast<std::size_t>(count))))
            return;
    }
}

// Host

static std::string rendered(const std::map<std::string, std::string> &fields)
{
    std::ifstream file("deploy/host.ini");
    std::stringstream content;
    content << file.rdbuf();
    std::string text = content.str();
    if (text.empty())
        cannotRun("deploy/host.ini can't be read; run in the repository's root");
    // Sections of fields that a small deployment does not have.
    for (std::size_t at; (at = text.find("{{#")) != std::string::npos;) {
        const std::string name = text.substr(at + 3, text.find("}}", at) - at - 3);
        const std::string end = "{{/" + name + "}}";
        const std::size_t until = text.find(end, at);
        if (until == std::string::npos)
            cannotRun("deploy/host.ini has a section without an end");
        text.erase(at, until + end.size() - at);
    }
    for (std::size_t at; (at = text.find("{{")) != std::string::npos;) {
        const std::size_t end = text.find("}}", at);
        const auto field = fields.find(text.substr(at + 2, end - at - 2));
        if (field == fields.end())
            cannotRun("deploy/host.ini uses a field that the case does not know");
        text.replace(at, end + 2 - at, field->second);
    }
    return text;
}

Host::Host(std::string name, std::string ip, std::string zone, const Addresses &platform,
           const std::string &folder)
    : name_(std::move(name)), ip_(std::move(ip)), settings_(folder + "/" + name_ + ".ini"),
      log_(folder + "/" + name_ + ".log"), frontPort_(freePort(ip_)), readyPort_(freePort(ip_)),
      peerPort_(freePort(ip_)), adminPort_(freePort(ip_))
{
    std::ofstream(settings_) << rendered(
        {{"nodeName", name_},
         {"zone", zone},
         {"ip", ip_},
         {"portRange.0", std::to_string(peerPort_)},
         {"portRange.1", std::to_string(adminPort_)},
         {"listenAddrs.front", ip_ + ":" + std::to_string(frontPort_)},
         {"listenAddrs.ready", ip_ + ":" + std::to_string(readyPort_)},
         {"bounds.graceS", "6"},
         {"bounds.drainMs", "7000"},
         {"bounds.configApplyMs", "3000"},
         {"limits.cpuShare", "0.25"},
         {"platform.address", platform.store},
         {"cloudApi.address", platform.cloud}});
}

void Host::start()
{
    std::ifstream file("deploy/system.toml");
    std::string command;
    for (std::string line; std::getline(file, line);)
        if (line.rfind("run = \"", 0) == 0)
            command = line.substr(7, line.rfind('"') - 7);
    std::istringstream words(command);
    std::vector<std::string> arguments;
    for (std::string word; words >> word;)
        arguments.push_back(word);
    if (arguments.empty() || ::access(arguments[0].c_str(), X_OK) != 0)
        cannotRun("the program of deploy/system.toml is not built");
    std::vector<char *> pointers;
    for (std::string &word : arguments)
        pointers.push_back(word.data());
    pointers.push_back(nullptr);
    std::string boot = "KELPTALLY_BOOT=" + settings_;
    char *environment[] = {boot.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const std::lock_guard<std::mutex> lock(mutex_);
    if (::posix_spawn(&pid_, pointers[0], &actions, nullptr, pointers.data(), environment) != 0)
        cannotRun("kelptallyd can't be started");
    posix_spawn_file_actions_destroy(&actions);
    {
        const std::lock_guard<std::mutex> started(processesMutex);
        processes.insert(pid_);
    }
    record.line("host " + name_ + " starts");
}

void Host::waitUntilReady()
{
    for (int i = 0; i < 400; ++i) {
        if (ready() == 200)
            return record.line("host " + name_ + " is ready");
        sleepMs(50);
    }
    cannotRun("host " + name_ + " does not become ready");
}

void Host::signal(int number)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (pid_ > 0)
        ::kill(pid_, number);
}

void Host::terminate()
{
    record.line("SIGTERM to host " + name_);
    signal(SIGTERM);
    std::thread([this] {
        const double end = nowMs() + graceMs;
        while (running() && nowMs() < end)
            sleepMs(2);
        record.line("host " + name_ + (running() ? " gets SIGKILL" : " has ended"));
        kill();
    }).detach();
}

bool Host::running()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (pid_ <= 0)
        return false;
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_)
        return true;
    forget();
    return false;
}

void Host::kill()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (pid_ <= 0)
        return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    forget();
}

void Host::forget()
{
    const std::lock_guard<std::mutex> lock(processesMutex);
    processes.erase(pid_);
    pid_ = 0;
}

// Client

Client::~Client()
{
    if (handle_ >= 0)
        ::close(handle_);
}

bool Client::start(const std::string &database)
{
    handle_ = connectTo(host_.ip(), host_.front());
    if (handle_ < 0)
        return false;
    reader_ = std::make_unique<Reader>(handle_);
    sendAll(handle_, "START " + database + " " + name_ + "\r\n");
    const auto line = reader_->line();
    record.line("client " + name_ + " at " + host_.name() + ": START answered "
                + (line ? *line : "by the end of the connection"));
    return line && line->rfind("READY", 0) == 0;
}

Client::Answer Client::query(const std::string &id, const std::string &text)
{
    Answer answer;
    answer.sentAt = nowMs();
    record.line("client " + name_ + " sends " + id + " " + text);
    sendAll(handle_, "QUERY " + id + " " + text + "\r\n");
    answer = read(std::move(answer));
    std::string rows;
    for (const std::string &row : answer.rows)
        rows += "DATAROW " + row + " | ";
    record.line("client " + name_ + " gets for " + id + ": "
                + (answer.complete ? rows + answer.result + " | READY " + answer.state
                                   : "the connection ends without a complete answer"));
    return answer;
}

Client::Answer Client::read(Answer answer)
{
    for (;;) {
        const auto line = reader_->line();
        answer.endedAt = nowMs();
        if (!line)
            return answer;
        if (line->rfind("DATAROW ", 0) == 0) {
            answer.rows.push_back(line->substr(8));
        } else if (line->rfind("READY ", 0) == 0) {
            answer.state = line->substr(6);
            answer.complete = true;
            return answer;
        } else {
            answer.result = *line;
        }
    }
}

} // namespace review
