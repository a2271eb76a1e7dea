#pragma once

#include "standin/delayqueue.h"
#include "standin/sqlsession.h"
#include "standin/wire.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace kelptally::standin {

class DatabaseServer;

// One client connection. Kept alive by its pending socket operations.
class WireSession : public std::enable_shared_from_this<WireSession>
{
public:
    WireSession(DatabaseServer &server, boost::asio::ip::tcp::socket socket, std::uint32_t id,
                std::uint32_t secret);

    void start();
    void close();
    // Continues reading, processing and writing after a pause or a partition.
    void resume();
    // Cancels the waiting statement if the secret is that of the session.
    void cancel(std::uint32_t secret);

    std::uint32_t id() const { return id_; }
    const std::string &clientAddress() const { return clientAddress_; }
    bool admitted() const { return admitted_; }

private:
    enum class Phase {
        Startup,
        Connecting,
        Ready,
    };
    struct PreparedStatement
    {
        ParsedStatementPtr statement;
        std::vector<int> typeOids;
    };
    struct Portal
    {
        ParsedStatementPtr statement;
        std::vector<Parameter> parameters;
    };

    void read();
    void onBytes(std::string bytes);
    // Handles the complete messages in the buffer until one has to wait.
    void process();
    // Each handles one message or startup step. Returns false if it is incomplete or has to wait.
    bool step();
    bool processStartup();
    bool completeStartup();
    bool processMessage();
    void authenticate();

    // Each handles one message. On Pending, call it again with the same message after the wake-up.
    StepStatus handle(char type, std::string_view body);
    StepStatus handleParse(std::string_view body, SqlError &error);
    StepStatus handleBind(std::string_view body, SqlError &error);
    StepStatus handleDescribe(std::string_view body, SqlError &error);
    StepStatus handleExecute(std::string_view body, SqlError &error);
    StepStatus handleClose(std::string_view body, SqlError &error);
    StepStatus handleSync();
    StepStatus handleSimpleQuery(std::string_view body);
    StepStatus runSimpleStatement(const std::string &sql, SqlError &error);
    StepStatus runStatement(const ParsedStatement &statement,
                            const std::vector<Parameter> &parameters, SqlError &error);
    // Occupies a slot for the service time of the buffered statements. Returns Pending until it has
    // passed.
    StepStatus reserveServiceTime(const ParsedStatement &statement);
    int countBufferedStatements() const;

    void sendFatalError(const SqlError &error);
    void waitFor(Duration delay);
    std::function<void()> wakeFunction();
    void flush();
    void write();

    DatabaseServer &server_;
    boost::asio::ip::tcp::socket socket_;
    const std::uint32_t id_;
    const std::uint32_t secret_;
    std::string clientAddress_;
    SqlSession sql_;

    std::array<char, 16384> readBuffer_;
    DelayQueue inboundQueue_;
    DelayQueue outboundQueue_;
    std::string inputBuffer_;
    std::size_t consumedBytes_ = 0;
    WireWriter writer_;
    std::string sendBuffer_;
    std::string pendingOutput_;
    bool reading_ = false;

    Phase phase_ = Phase::Startup;
    // Whether the session counts towards the server's connection limit.
    bool admitted_ = false;
    bool waiting_ = false;
    bool canceled_ = false;
    bool skipToSync_ = false;
    bool closed_ = false;
    bool closeWhenSent_ = false;
    // Buffered statements whose service time is already accounted for.
    int reservedStatements_ = 0;

    std::map<std::string, PreparedStatement, std::less<>> preparedStatements_;
    std::map<std::string, Portal, std::less<>> portals_;
    std::vector<std::string> simpleStatements_;
    std::size_t nextSimpleStatement_ = 0;
    bool simpleQueryActive_ = false;
};

} // namespace kelptally::standin
