#include "caller/httpserver.h"

#include "caller/selfsigned.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::caller;
namespace ssl = boost::asio::ssl;
using boost::asio::ip::tcp;

namespace {

class PathHandler : public HttpHandler
{
public:
    void onRequest(HttpRequest request, HttpReplyPtr reply) override
    {
        reply->send({200, "text/plain", {}, request.path});
    }
    void onCallerDisconnected(ConnectionId) override { }
};

std::string get(ssl::stream<tcp::socket> &stream, const std::string &path)
{
    boost::asio::write(stream, boost::asio::buffer("GET " + path + " HTTP/1.1\r\nHost: t\r\n\r\n"));
    std::string answer;
    boost::asio::read_until(stream, boost::asio::dynamic_buffer(answer), "\r\n\r\n" + path);
    return answer;
}

} // namespace

TEST_CASE("A server with a certificate and key accepts only TLS")
{
    const SelfSigned certificate("tls_test");
    PathHandler handler;
    DutyThread thread("tls-test");
    HttpServer server(thread, handler, {}, {});
    REQUIRE(server.listen("127.0.0.1", 0, certificate.files).ok());
    thread.start();
    const tcp::endpoint endpoint(boost::asio::ip::make_address("127.0.0.1"),
                                 static_cast<unsigned short>(server.port()));
    boost::asio::io_context context;
    ssl::context client(ssl::context::tls_client);
    client.load_verify_file(certificate.files.certificate);
    client.set_verify_mode(ssl::verify_peer);

    ssl::stream<tcp::socket> stream(context, client);
    stream.next_layer().connect(endpoint);
    stream.handshake(ssl::stream_base::client);
    CHECK(get(stream, "/one").find("200 OK") != std::string::npos);
    CHECK(get(stream, "/two").find("200 OK") != std::string::npos);

    tcp::socket plain(context);
    plain.connect(endpoint);
    boost::asio::write(plain, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
    std::string answer;
    boost::system::error_code error;
    while (!error) {
        char buffer[256];
        answer.append(buffer, plain.read_some(boost::asio::buffer(buffer), error));
    }
    CHECK(answer.find("HTTP") == std::string::npos);
    thread.stop();
}
