#pragma once

#include "backend/backendserver.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <functional>
#include <future>
#include <string>
#include <thread>

namespace kelptally::backend {

// A server that accepts one connection, completes PostgreSQL's login and then runs the test's
// script: simulates aborted connections, hangs and refusals.
class ScriptedServer
{
public:
    using Socket = boost::asio::ip::tcp::socket;
    using Script = std::function<void(Socket &)>;

    explicit ScriptedServer(Script script)
        : acceptor_(context_, {boost::asio::ip::address_v4::loopback(), 0}),
          thread_([this, script = std::move(script)] { serve(script); })
    { }
    ~ScriptedServer() { thread_.join(); }

    ServerEndpoint endpoint() const
    {
        return {"127.0.0.1", acceptor_.local_endpoint().port(), "db", "user", ""};
    }

    // Formats a message from its type and body.
    static std::string message(char type, const std::string &body)
    {
        const auto length = static_cast<std::uint32_t>(body.size() + 4);
        std::string text(1, type);
        for (int shift = 24; shift >= 0; shift -= 8)
            text.push_back(static_cast<char>((length >> shift) & 0xff));
        return text + body;
    }
    static std::string error(const std::string &severity, const std::string &state)
    {
        const char nul = '\0';
        return message('E',
                       "S" + severity + nul + "V" + severity + nul + "C" + state + nul + "Mno" + nul
                           + nul);
    }
    static std::string loginAnswer()
    {
        return message('R', std::string(4, '\0')) + message('Z', "I");
    }
    // The answer to one statement without rows.
    static std::string emptyAnswer()
    {
        return message('1', "") + message('2', "") + message('n', "")
            + message('C', std::string("SET\0", 4));
    }

    // Reads messages up to the first of the given type ("S" ends a batch).
    static void readUntil(Socket &socket, char type)
    {
        for (;;) {
            std::array<unsigned char, 5> head {};
            boost::asio::read(socket, boost::asio::buffer(head));
            readBody(socket, head.data() + 1);
            if (static_cast<char>(head[0]) == type)
                return;
        }
    }
    static void send(Socket &socket, const std::string &text)
    {
        boost::asio::write(socket, boost::asio::buffer(text));
    }
    // Reads until the client closes.
    static void drain(Socket &socket)
    {
        std::array<char, 4096> buffer {};
        boost::system::error_code error;
        while (!error)
            socket.read_some(boost::asio::buffer(buffer), error);
    }

private:
    static void readBody(Socket &socket, const unsigned char *length)
    {
        std::size_t size = 0;
        for (int i = 0; i < 4; ++i)
            size = (size << 8) | length[i];
        std::string body(size - 4, '\0');
        boost::asio::read(socket, boost::asio::buffer(body));
    }

    void serve(const Script &script)
    {
        Socket socket(context_);
        try {
            acceptor_.accept(socket);
            std::array<unsigned char, 4> length {};
            boost::asio::read(socket, boost::asio::buffer(length));
            readBody(socket, length.data());
            script(socket);
        } catch (const boost::system::system_error &) {
            // The client disconnected first.
        }
    }

    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::thread thread_;
};

} // namespace kelptally::backend
