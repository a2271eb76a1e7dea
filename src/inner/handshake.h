#pragma once

#include "inner/messages.h"

#include <absl/status/status.h>

#include <optional>
#include <string>

// Mutual authentication of two processes by the shared peer key (docs/INNER.md): the connector
// sends a Hello with a nonce, the acceptor answers with its own nonce and a proof over both, and
// the connector sends a second Hello with its proof.
namespace kelptally::inner {

// The end of a link that sends a Hello. Part of the proof, which prevents reflection attacks.
enum class LinkRole {
    Connector,
    Acceptor,
};

// Returns 128 random bits in hex, from a cryptographically secure generator.
std::string makeNonce();

// Returns the HMAC-SHA256 in hex, under the peer key, of the role, the fields of the Hello (with
// its nonce) and the other end's nonce. Each field is prefixed with its length.
std::string helloProof(const std::string &peerKey, LinkRole role, const Hello &hello,
                       const std::string &otherNonce);

// Whether the Hello's proof is valid. Compares in constant time.
bool isProofValid(const std::string &peerKey, LinkRole role, const Hello &hello,
                  const std::string &otherNonce);

// FailedPrecondition, with the versions of both ends, when they have no version in common.
absl::Status checkVersions(const Hello &self, const Hello &peer);

// Result of a received Hello.
struct HelloStep
{
    // FailedPrecondition: versions; Unauthenticated: key; NotFound: not the process that was
    // dialled; InvalidArgument: an unexpected Hello.
    absl::Status status;
    // Hello to send, if any.
    std::optional<Hello> reply;
    // Whether the other end is authenticated.
    bool isAuthenticated = false;
};

// State machine of the handshake at one end of a link. Does no I/O.
class HelloExchange
{
public:
    // `self` is the Hello without nonce and proof, `dialled` the connector's target address.
    HelloExchange(LinkRole role, std::string peerKey, Hello self, std::string dialled = {});

    // The connector's first Hello.
    const Hello &first() const { return self_; }

    HelloStep onHello(const Hello &peer);

private:
    HelloStep onConnectorNonce(const Hello &peer);
    HelloStep onConnectorProof(const Hello &peer);
    HelloStep onAcceptorHello(const Hello &peer);
    Hello helloWithProof(const std::string &otherNonce) const;

    const LinkRole role_;
    const std::string peerKey_;
    Hello self_;
    const std::string dialled_;
    std::string connectorNonce_;
    bool isComplete_ = false;
};

} // namespace kelptally::inner
