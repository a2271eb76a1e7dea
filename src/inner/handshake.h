#pragma once

#include "inner/messages.h"

#include <absl/status/status.h>

#include <optional>
#include <string>

// How two processes prove to each other that they hold the peers' key (docs/INNER.md): the
// connector says Hello with a nonce, the acceptor answers with its own nonce and a proof over both,
// and the connector says Hello again with its proof.
namespace kelptally::inner {

// Which end of a link says a Hello. Part of the proof, so that a proof can't be sent back.
enum class LinkRole {
    Connector,
    Acceptor,
};

// 128 random bits in hex, from the system's random source.
std::string makeNonce();

// HMAC-SHA256 in hex over the role, the fields of the Hello (its own nonce among them) and the
// other end's nonce, under the peers' key. Each field goes in with its length.
std::string helloProof(const std::string &peerKey, LinkRole role, const Hello &hello,
                       const std::string &otherNonce);

// Whether the Hello's proof is the right one; the time taken doesn't tell how much of it is.
bool isProofValid(const std::string &peerKey, LinkRole role, const Hello &hello,
                  const std::string &otherNonce);

// FailedPrecondition, with the versions of both ends, when there is none that both speak.
absl::Status checkVersions(const Hello &self, const Hello &peer);

// What follows from a Hello that was heard.
struct HelloStep
{
    // FailedPrecondition: versions; Unauthenticated: key; NotFound: another process than the one
    // dialled; InvalidArgument: a Hello out of turn.
    absl::Status status;
    // To be sent.
    std::optional<Hello> reply;
    // The other end has proved itself.
    bool isAuthenticated = false;
};

// One end's part in the exchange of a link. No I/O.
class HelloExchange
{
public:
    // The Hello without nonce and proof. The connector gives the address that it dialled.
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
    bool done_ = false;
};

} // namespace kelptally::inner
