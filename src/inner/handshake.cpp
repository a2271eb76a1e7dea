#include "inner/handshake.h"

#include "core/digest.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

#include <openssl/crypto.h>
#include <openssl/rand.h>

#include <array>
#include <cstdlib>

namespace kelptally::inner {

namespace {

constexpr std::size_t nonceBytes = 16;

// Prefix of the signed text, for domain separation from other uses of the key.
constexpr const char *proofPurpose = "kelptally-peer-hello";

void appendField(std::string &text, const std::string &field)
{
    absl::StrAppend(&text, field.size(), ":", field, ";");
}

} // namespace

std::string makeNonce()
{
    std::array<unsigned char, nonceBytes> bytes;
    if (RAND_bytes(bytes.data(), bytes.size()) != 1)
        std::abort();
    return absl::BytesToHexString({reinterpret_cast<const char *>(bytes.data()), bytes.size()});
}

std::string helloProof(const std::string &peerKey, LinkRole role, const Hello &hello,
                       const std::string &otherNonce)
{
    std::string text = proofPurpose;
    appendField(text, role == LinkRole::Connector ? "connector" : "acceptor");
    appendField(text, std::to_string(hello.newestVersion));
    appendField(text, std::to_string(hello.oldestVersion));
    appendField(text, hello.process.address);
    appendField(text, std::to_string(hello.process.incarnation));
    appendField(text, hello.host);
    appendField(text, hello.zone);
    appendField(text, std::to_string(hello.configVersion));
    appendField(text, hello.nonce);
    appendField(text, otherNonce);
    return digestToHex(hmacSha256(peerKey, text));
}

bool isProofValid(const std::string &peerKey, LinkRole role, const Hello &hello,
                  const std::string &otherNonce)
{
    const std::string expected = helloProof(peerKey, role, hello, otherNonce);
    return hello.proof.size() == expected.size()
        && CRYPTO_memcmp(hello.proof.data(), expected.data(), expected.size()) == 0;
}

absl::Status checkVersions(const Hello &self, const Hello &peer)
{
    const bool overlap = self.oldestVersion <= peer.newestVersion
        && peer.oldestVersion <= self.newestVersion && peer.oldestVersion <= peer.newestVersion;
    if (overlap)
        return absl::OkStatus();
    return absl::FailedPreconditionError(
        absl::StrCat("protocol versions ", peer.oldestVersion, " to ", peer.newestVersion,
                     " are not among ", self.oldestVersion, " to ", self.newestVersion));
}

HelloExchange::HelloExchange(LinkRole role, std::string peerKey, Hello self, std::string dialled)
    : role_(role), peerKey_(std::move(peerKey)), self_(std::move(self)),
      dialled_(std::move(dialled))
{
    self_.nonce = makeNonce();
    self_.proof.clear();
}

HelloStep HelloExchange::onHello(const Hello &peer)
{
    if (isComplete_)
        return {absl::InvalidArgumentError("an unexpected Hello"), {}, false};
    const absl::Status versions = checkVersions(self_, peer);
    if (!versions.ok())
        return {versions, {}, false};
    if (role_ == LinkRole::Connector)
        return onAcceptorHello(peer);
    return connectorNonce_.empty() ? onConnectorNonce(peer) : onConnectorProof(peer);
}

HelloStep HelloExchange::onConnectorNonce(const Hello &peer)
{
    if (peer.nonce.size() != self_.nonce.size())
        return {absl::InvalidArgumentError("a Hello without a nonce"), {}, false};
    connectorNonce_ = peer.nonce;
    return {absl::OkStatus(), helloWithProof(connectorNonce_), false};
}

HelloStep HelloExchange::onConnectorProof(const Hello &peer)
{
    isComplete_ = true;
    const bool holds = peer.nonce == connectorNonce_
        && isProofValid(peerKey_, LinkRole::Connector, peer, self_.nonce);
    if (!holds)
        return {absl::UnauthenticatedError("the connector holds another peer key"), {}, false};
    return {absl::OkStatus(), {}, true};
}

HelloStep HelloExchange::onAcceptorHello(const Hello &peer)
{
    isComplete_ = true;
    if (!isProofValid(peerKey_, LinkRole::Acceptor, peer, self_.nonce))
        return {absl::UnauthenticatedError("the acceptor holds another peer key"), {}, false};
    if (peer.process.address != dialled_)
        return {absl::NotFoundError("the process identifies itself as " + peer.process.address),
                {},
                false};
    return {absl::OkStatus(), helloWithProof(peer.nonce), true};
}

Hello HelloExchange::helloWithProof(const std::string &otherNonce) const
{
    Hello hello = self_;
    hello.proof = helloProof(peerKey_, role_, hello, otherNonce);
    return hello;
}

} // namespace kelptally::inner
