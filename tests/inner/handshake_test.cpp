#include "inner/handshake.h"

#include <catch2/catch.hpp>

using namespace kelptally::inner;

namespace {

Hello helloOf(const std::string &address)
{
    Hello hello;
    hello.process = {address, 7};
    hello.host = "host";
    hello.zone = "zone";
    return hello;
}

// Both ends of one link.
struct HandshakePair
{
    HelloExchange connector {LinkRole::Connector, "key", helloOf("c"), "a"};
    HelloExchange acceptor {LinkRole::Acceptor, "key", helloOf("a")};
};

} // namespace

TEST_CASE("Both ends authenticate each other")
{
    HandshakePair ends;
    const HelloStep answer = ends.acceptor.onHello(ends.connector.first());
    REQUIRE(answer.status.ok());
    CHECK_FALSE(answer.isAuthenticated);
    const HelloStep proof = ends.connector.onHello(*answer.reply);
    REQUIRE(proof.status.ok());
    CHECK(proof.isAuthenticated);
    const HelloStep last = ends.acceptor.onHello(*proof.reply);
    CHECK(last.status.ok());
    CHECK(last.isAuthenticated);
    CHECK(ends.acceptor.onHello(*proof.reply).status.code() == absl::StatusCode::kInvalidArgument);
}

TEST_CASE("A proof can't be replayed on another link or reflected")
{
    HandshakePair first;
    const Hello answer = *first.acceptor.onHello(first.connector.first()).reply;
    const Hello proof = *first.connector.onHello(answer).reply;

    HandshakePair second;
    // An acceptor's proof for an older connector's nonce.
    CHECK(second.connector.onHello(answer).status.code() == absl::StatusCode::kUnauthenticated);
    // A connector's complete exchange, replayed to the acceptor.
    REQUIRE(second.acceptor.onHello(first.connector.first()).status.ok());
    CHECK(second.acceptor.onHello(proof).status.code() == absl::StatusCode::kUnauthenticated);
    // The acceptor's own proof, reflected to it.
    HelloExchange acceptor(LinkRole::Acceptor, "key", helloOf("a"));
    Hello reflected = helloOf("a");
    reflected.nonce = makeNonce();
    const Hello own = *acceptor.onHello(reflected).reply;
    reflected.proof = own.proof;
    CHECK(acceptor.onHello(reflected).status.code() == absl::StatusCode::kUnauthenticated);
}

TEST_CASE("The proof covers every field of a Hello")
{
    const std::string other = makeNonce();
    Hello hello = helloOf("a");
    hello.nonce = makeNonce();
    hello.proof = helloProof("key", LinkRole::Acceptor, hello, other);
    REQUIRE(isProofValid("key", LinkRole::Acceptor, hello, other));

    CHECK_FALSE(isProofValid("kez", LinkRole::Acceptor, hello, other));
    CHECK_FALSE(isProofValid("key", LinkRole::Connector, hello, other));
    CHECK_FALSE(isProofValid("key", LinkRole::Acceptor, hello, makeNonce()));
    const auto altered = [&](auto change) {
        Hello copy = hello;
        change(copy);
        return !isProofValid("key", LinkRole::Acceptor, copy, other);
    };
    CHECK(altered([](Hello &h) { ++h.newestVersion; }));
    CHECK(altered([](Hello &h) { --h.oldestVersion; }));
    CHECK(altered([](Hello &h) { h.process.address = "b"; }));
    CHECK(altered([](Hello &h) { ++h.process.incarnation; }));
    CHECK(altered([](Hello &h) { h.host = "x"; }));
    CHECK(altered([](Hello &h) { h.zone = "x"; }));
    CHECK(altered([](Hello &h) { ++h.configVersion; }));
    CHECK(altered([](Hello &h) { h.nonce = makeNonce(); }));
    CHECK(altered([](Hello &h) { h.proof.clear(); }));
    // The boundary between two fields is covered too.
    CHECK(altered([](Hello &h) { h.host = "hos", h.zone = "tzone"; }));
}

TEST_CASE("Only overlapping version ranges are compatible")
{
    Hello older;
    older.newestVersion = 2;
    older.oldestVersion = 1;
    Hello newer;
    newer.newestVersion = 3;
    newer.oldestVersion = 2;
    CHECK(checkVersions(older, newer).ok());
    CHECK(checkVersions(newer, older).ok());
    newer.oldestVersion = 3;
    CHECK(checkVersions(older, newer).code() == absl::StatusCode::kFailedPrecondition);
    CHECK(checkVersions(newer, older).code() == absl::StatusCode::kFailedPrecondition);
}
