#pragma once

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <cstdlib>
#include <string>
#include <string_view>

namespace kelptally::caller {

// A response as received.
struct RawAnswer
{
    int status = 0;
    std::string head;
    std::string body;
};

// A blocking connection that sends arbitrary bytes.
class RawClient
{
public:
    explicit RawClient(int port)
    {
        socket_.connect(
            {boost::asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(port)});
    }

    void send(std::string_view bytes)
    {
        boost::system::error_code error;
        boost::asio::write(socket_, boost::asio::buffer(bytes.data(), bytes.size()), error);
    }

    void post(const std::string &path, const std::string &body, const std::string &headers = {})
    {
        send("POST " + path + " HTTP/1.1\r\nHost: test\r\n" + headers
             + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    // Returns the next response; with status 0 if the connection is closed.
    RawAnswer receive()
    {
        RawAnswer answer;
        std::size_t end = std::string::npos;
        while ((end = pending_.find("\r\n\r\n")) == std::string::npos)
            if (!readMore())
                return answer;
        answer.head = pending_.substr(0, end + 4);
        answer.status = std::atoi(answer.head.substr(9, 3).c_str());
        pending_.erase(0, end + 4);
        const std::size_t length = contentLength(answer.head);
        while (pending_.size() < length)
            if (!readMore())
                return RawAnswer();
        answer.body = pending_.substr(0, length);
        pending_.erase(0, length);
        return answer;
    }

    // Whether the server has closed the connection and all data is read.
    bool atEnd() { return pending_.empty() && !readMore(); }

    void endSending() { socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send); }
    void close() { socket_.close(); }

private:
    bool readMore()
    {
        char buffer[4096];
        boost::system::error_code error;
        const std::size_t count = socket_.read_some(boost::asio::buffer(buffer), error);
        pending_.append(buffer, count);
        return !error;
    }

    static std::size_t contentLength(const std::string &head)
    {
        const std::size_t at = head.find("Content-Length: ");
        return at == std::string::npos ? 0 : std::strtoul(head.c_str() + at + 16, nullptr, 10);
    }

    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_ {context_};
    std::string pending_;
};

} // namespace kelptally::caller
