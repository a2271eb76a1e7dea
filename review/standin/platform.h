#pragma once

// Stand-ins for the users' platform in review cases: store, cloud API, database servers, a path
// that delays, host processes and clients. All addresses are loopback addresses.

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <spawn.h>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

inline const Clock::time_point startedAt = Clock::now();

inline double nowMs()
{
    return std::chrono::duration<double, std::milli>(Clock::now() - startedAt).count();
}

inline void sleepMs(double ms)
{
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

// Ends the run: the case could not be played.
[[noreturn]] void cannotRun(const std::string &why);

// The record of the run: what was sent, answered and run.
class Record
{
public:
    void open(const std::string &file) { file_.open(file); }

    void line(const std::string &text)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        char time[32];
        std::snprintf(time, sizeof time, "%9.1f ms  ", nowMs());
        file_ << time << text << "\n" << std::flush;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

inline Record record;

// Sockets

inline int listenOn(const std::string &ip, int &port, int backlog = 512)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    if (::bind(handle, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || ::listen(handle, backlog) != 0)
        cannotRun("can't listen on " + ip);
    socklen_t size = sizeof address;
    ::getsockname(handle, reinterpret_cast<sockaddr *>(&address), &size);
    port = ntohs(address.sin_port);
    return handle;
}

// Each port is given once.
inline int freePort(const std::string &ip)
{
    static std::set<int> given;
    for (;;) {
        int port = 0;
        ::close(listenOn(ip, port));
        if (given.insert(port).second)
            return port;
    }
}

inline int connectTo(const std::string &ip, int port)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    if (::connect(handle, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        ::close(handle);
        return -1;
    }
    const int on = 1;
    ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return handle;
}

inline bool sendAll(int handle, const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t count = ::send(handle, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// Accepts connections until closed; each is served on a thread of its own.
class Listener
{
public:
    using Serve = std::function<void(int)>;

    Listener(const std::string &ip, Serve serve, int port = 0) : ip_(ip), port_(port)
    {
        open(std::move(serve));
    }
    ~Listener() { close(); }

    int port() const { return port_; }
    std::string address() const { return ip_ + ":" + std::to_string(port_); }

    // Refuses new connections and breaks the open ones, as a crash does.
    void close()
    {
        if (handle_ < 0)
            return;
        ::shutdown(handle_, SHUT_RDWR);
        ::close(handle_);
        handle_ = -1;
        const std::lock_guard<std::mutex> lock(state_->mutex);
        for (const int open : state_->open) {
            const linger now {1, 0};
            ::setsockopt(open, SOL_SOCKET, SO_LINGER, &now, sizeof now);
            ::shutdown(open, SHUT_RDWR);
        }
    }

private:
    struct State
    {
        std::mutex mutex;
        std::set<int> open;
    };

    void open(Serve serve)
    {
        handle_ = listenOn(ip_, port_);
        std::thread([handle = handle_, state = state_, serve = std::move(serve)] {
            for (;;) {
                const int client = ::accept4(handle, nullptr, nullptr, SOCK_CLOEXEC);
                if (client < 0)
                    return;
                const int on = 1;
                ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                {
                    const std::lock_guard<std::mutex> lock(state->mutex);
                    state->open.insert(client);
                }
                std::thread([client, state, serve] {
                    serve(client);
                    const std::lock_guard<std::mutex> lock(state->mutex);
                    state->open.erase(client);
                    ::close(client);
                }).detach();
            }
        }).detach();
    }

    const std::string ip_;
    int port_;
    int handle_ = -1;
    std::shared_ptr<State> state_ = std::make_shared<State>();
};

// Reads a stream by lines or by counts.
class Reader
{
public:
    explicit Reader(int handle) : handle_(handle) { }

    std::optional<std::string> line()
    {
        for (;;) {
            const std::size_t end = buffer_.find("\r\n");
            if (end != std::string::npos) {
                std::string text = buffer_.substr(0, end);
                buffer_.erase(0, end + 2);
                return text;
            }
            if (!fill())
                return std::nullopt;
        }
    }

    std::optional<std::string> bytes(std::size_t count)
    {
        while (buffer_.size() < count)
            if (!fill())
                return std::nullopt;
        std::string text = buffer_.substr(0, count);
        buffer_.erase(0, count);
        return text;
    }

private:
    bool fill()
    {
        char bytes[16384];
        const ssize_t count = ::recv(handle_, bytes, sizeof bytes, 0);
        if (count <= 0)
            return false;
        buffer_.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    int handle_;
    std::string buffer_;
};

// HTTP

struct HttpCall
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
};

struct HttpAnswer
{
    int status = 200;
    std::string body;
};

std::string percentDecoded(const std::string &text);
std::optional<HttpCall> readCall(Reader &reader);
// Returns the status of a GET, or 0 without an answer.
int getStatus(const std::string &ip, int port, const std::string &path);

// The platform's store (PROTOCOL.md): rows-tx, rows-get and rows-feed.
class Store
{
public:
    explicit Store(const std::string &ip) : listener_(ip, [this](int handle) { serve(handle); }) { }

    std::string address() const { return listener_.address(); }
    int port() const { return listener_.port(); }
    // Writes a row as the operator or a server does.
    void put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);
    std::optional<std::string> value(const std::string &table, const std::string &key);

private:
    struct Row
    {
        // Base64.
        std::string value;
        std::uint64_t version = 0;
        bool deleted = false;
    };

    void serve(int handle);
    HttpAnswer answer(const HttpCall &call);
    HttpAnswer rowsGet(const HttpCall &call);
    HttpAnswer rowsFeed(const HttpCall &call);
    HttpAnswer rowsTx(const HttpCall &call);
    Json rowOf(const std::string &table, const std::string &key, const Row &row) const;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, Row>> tables_;
    std::uint64_t version_ = 1;
    Listener listener_;
};

// A database group with one primary and its replicas. A commit reaches all replicas that receive at
// once, and is acknowledged once one of them has it (syncReplicas 1).
class Group
{
public:
    // The time that a statement works at a server.
    using WorkTime = std::function<double(const std::string &text)>;

    Group(Store &store, std::string name, WorkTime workTime)
        : store_(store), name_(std::move(name)), workTime_(std::move(workTime))
    { }

    void addServer(const std::string &id, const std::string &ip, const std::string &zone,
                   bool primary);
    // The server's process ends: its connections break and new ones are refused.
    void crash(const std::string &id);
    // Handles a promotion that the cloud API has received; returns the HTTP status.
    int promote(const std::string &id, double afterMs);
    std::string primary();
    const std::string &name() const { return name_; }

private:
    struct Entry
    {
        std::uint64_t term = 0;
        std::string item;
        std::string data;
        std::string statement;
    };
    struct Server
    {
        std::string id;
        std::string ip;
        std::string zone;
        int port = 0;
        bool up = true;
        bool primary = false;
        std::uint64_t term = 1;
        std::uint64_t pausedTerm = 0;
        std::vector<Entry> log;
        int busy = 0;
        int connections = 0;
        std::unique_ptr<Listener> listener;
    };
    struct Session;

    void serve(Server &server, int handle);
    std::string answer(Server &server, Session &session, const std::string &id,
                       const std::string &text);
    std::string positionOf(const Server &server) const;
    std::string ready(const Server &server, const Session &session) const;
    std::string status(const Server &server) const;
    bool commit(Server &server, const std::vector<Entry> &entries,
                std::unique_lock<std::mutex> &lock);
    void report(Server &server);

    Store &store_;
    const std::string name_;
    const WorkTime workTime_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::unique_ptr<Server>> servers_;
    std::uint64_t sequence_ = 0;
};

// The cloud API: accepts promotions and keeps the fences that it has seen.
class Cloud
{
public:
    struct Promotion
    {
        double atMs = 0;
        std::string holder;
        std::uint64_t fence = 0;
        std::string server;
    };

    Cloud(const std::string &ip, Group &group, double leadMs)
        : group_(group), leadMs_(leadMs), listener_(ip, [this](int handle) { serve(handle); })
    { }

    std::string address() const { return listener_.address(); }
    int port() const { return listener_.port(); }
    std::vector<Promotion> seen()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return seen_;
    }

private:
    void serve(int handle);

    Group &group_;
    const double leadMs_;
    std::mutex mutex_;
    std::vector<Promotion> seen_;
    Listener listener_;
};

// A network path to an address. While it is cut, new connections are not opened (their opening
// packets are dropped, as nobody accepts and the queue is full), and open ones hold what is sent.
class Path
{
public:
    Path(const std::string &ip, const std::string &toIp, int toPort);

    std::string address() const { return ip_ + ":" + std::to_string(port_); }
    void cut();
    void heal();

private:
    void acceptAll();
    void serve(int handle);
    void forward(int from, int to);

    const std::string ip_;
    const std::string toIp_;
    const int toPort_;
    int port_ = 0;
    int listening_ = -1;
    // Fills the queue of new connections while the path is cut.
    int filler_ = -1;
    std::mutex mutex_;
    std::condition_variable healed_;
    bool cut_ = false;
};

// A process of the system, started with the command of deploy/system.toml in the repository's root
// and with settings from deploy/host.ini.
class Host
{
public:
    struct Addresses
    {
        std::string store;
        std::string cloud;
    };

    Host(std::string name, std::string ip, std::string zone, const Addresses &platform,
         const std::string &folder);
    ~Host() { kill(); }

    void start();
    // The platform's stop: SIGTERM, and SIGKILL after the grace period.
    void terminate();
    void kill();
    void signal(int number);
    bool running();
    int ready() const { return getStatus(ip_, readyPort_, "/kelptally/readiness"); }
    void waitUntilReady();
    const std::string &name() const { return name_; }
    const std::string &ip() const { return ip_; }
    int front() const { return frontPort_; }
    std::string peerAddress() const { return ip_ + ":" + std::to_string(peerPort_); }

    static constexpr double graceMs = 6000;

private:
    void forget();

    const std::string name_;
    const std::string ip_;
    const std::string settings_;
    const std::string log_;
    int frontPort_;
    int readyPort_;
    int peerPort_;
    int adminPort_;
    pid_t pid_ = 0;
    std::mutex mutex_;
};

// A client's session.
class Client
{
public:
    struct Answer
    {
        // Whether the answer is complete, up to READY.
        bool complete = false;
        std::vector<std::string> rows;
        // COMPLETE or ERROR with what follows; empty without an answer.
        std::string result;
        std::string state;
        double sentAt = 0;
        double endedAt = 0;

        bool ok() const { return complete && result.rfind("COMPLETE", 0) == 0; }
    };

    Client(std::string name, const Host &host) : name_(std::move(name)), host_(host) { }
    ~Client();

    bool start(const std::string &database);
    Answer query(const std::string &id, const std::string &text);

private:
    Answer read(Answer answer);

    const std::string name_;
    const Host &host_;
    int handle_ = -1;
    std::unique_ptr<Reader> reader_;
};

} // namespace review
