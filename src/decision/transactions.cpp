#include "decision/transactions.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

namespace kelptally::decision {

using namespace std::chrono_literals;

namespace {

// Limits on the time and number of ended transactions that are remembered.
constexpr Duration endedRetention = 60s;
constexpr std::size_t maxEndedTransactions = 4096;

constexpr char separator = '~';
constexpr std::string_view idPrefix = "t1";
constexpr std::size_t maxIdBytes = 512;

std::string toHex(std::uint64_t value)
{
    std::array<char, 16> buffer {};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value, 16);
    return std::string(buffer.data(), end.ptr);
}

// Accepts only the canonical form that toHex() produces.
std::optional<std::uint64_t> fromHex(std::string_view text)
{
    std::uint64_t value = 0;
    const auto end = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (end.ec != std::errc() || end.ptr != text.data() + text.size() || toHex(value) != text)
        return std::nullopt;
    return value;
}

// Removes and returns the text before the next separator.
std::optional<std::string_view> takeField(std::string_view &text)
{
    const std::size_t at = text.find(separator);
    if (at == std::string_view::npos)
        return std::nullopt;
    const std::string_view field = text.substr(0, at);
    text.remove_prefix(at + 1);
    return field;
}

std::optional<std::uint64_t> takeNumber(std::string_view &text)
{
    const auto field = takeField(text);
    return field ? fromHex(*field) : std::nullopt;
}

bool secretsMatch(std::uint64_t a, std::uint64_t b)
{
    return CRYPTO_memcmp(&a, &b, sizeof(a)) == 0;
}

} // namespace

std::string TransactionId::toText() const
{
    std::string text(idPrefix);
    for (const std::uint64_t value : {epoch, number, secret})
        text.append(1, separator).append(toHex(value));
    text.append(1, separator).append(owner);
    text.append(1, separator).append(group);
    return text;
}

std::optional<TransactionId> TransactionId::fromText(const std::string &text)
{
    if (text.size() > maxIdBytes)
        return std::nullopt;
    std::string_view rest(text);
    if (takeField(rest) != idPrefix)
        return std::nullopt;
    const auto epoch = takeNumber(rest);
    const auto number = takeNumber(rest);
    const auto secret = takeNumber(rest);
    const auto owner = takeField(rest);
    if (!epoch || !number || !secret || !owner || owner->empty() || rest.empty())
        return std::nullopt;
    return TransactionId {GroupName(rest), std::string(*owner), *epoch, *number, *secret};
}

Transactions::Transactions(GroupName group, std::string owner, OwnerEpoch epoch, std::uint64_t seed,
                           Duration idleLimit, std::size_t maxOpen)
    : group_(std::move(group)), owner_(std::move(owner)), epoch_(epoch), seed_(seed),
      idleLimit_(idleLimit), maxOpen_(maxOpen)
{ }

// Derived with a keyed digest, so that known ids reveal nothing about other ids.
std::uint64_t Transactions::secretOf(std::uint64_t number) const
{
    const std::string input = idOf(number, 0).toText();
    std::array<unsigned char, EVP_MAX_MD_SIZE> mac {};
    unsigned int length = 0;
    HMAC(EVP_sha256(), &seed_, sizeof(seed_), reinterpret_cast<const unsigned char *>(input.data()),
         input.size(), mac.data(), &length);
    std::uint64_t secret = 0;
    for (std::size_t i = 0; i < sizeof(secret); ++i)
        secret = (secret << 8) | mac[i];
    return secret;
}

TransactionId Transactions::idOf(std::uint64_t number, std::uint64_t secret) const
{
    return TransactionId {group_, owner_, epoch_, number, secret};
}

std::optional<TransactionId> Transactions::begin(Instant now, const TeamName &team)
{
    if (open_.size() >= maxOpen_)
        return std::nullopt;
    const std::uint64_t number = ++lastNumber_;
    const std::uint64_t secret = secretOf(number);
    open_[number] = {team, secret, TransactionState::Idle, now};
    return idOf(number, secret);
}

bool Transactions::isFromThisOwner(const TransactionId &id) const
{
    return id.group == group_ && id.owner == owner_ && id.epoch == epoch_;
}

const Transactions::EndedTransaction *Transactions::findEnded(const TransactionId &id) const
{
    const auto found = ended_.find(id.number);
    if (!isFromThisOwner(id) || found == ended_.end()
        || !secretsMatch(found->second.secret, id.secret))
        return nullptr;
    return &found->second;
}

Reason Transactions::rejectionReason(Instant now, const TransactionId &id) const
{
    // Transactions of earlier owners and epochs were rolled back when their connections closed.
    if (id.group == group_ && (id.epoch < epoch_ || (id.epoch == epoch_ && id.owner != owner_)))
        return Reason::TransactionEnded;
    const EndedTransaction *ended = findEnded(id);
    if (ended == nullptr || ended->reason == Reason::None || now - ended->endedAt > endedRetention)
        return Reason::UnknownTransaction;
    return ended->reason;
}

Reason Transactions::enter(Instant now, const TransactionId &id, const TeamName &team)
{
    const auto found = open_.find(id.number);
    if (!isFromThisOwner(id) || found == open_.end())
        return rejectionReason(now, id);
    OpenTransaction &transaction = found->second;
    if (!secretsMatch(transaction.secret, id.secret))
        return Reason::UnknownTransaction;
    if (transaction.team != team)
        return Reason::Forbidden;
    if (transaction.state == TransactionState::Busy)
        return Reason::TransactionBusy;
    transaction.state = TransactionState::Busy;
    transaction.lastUsed = now;
    return Reason::None;
}

void Transactions::leave(Instant now, const TransactionId &id)
{
    const auto found = open_.find(id.number);
    if (!isFromThisOwner(id) || found == open_.end())
        return;
    found->second.state = TransactionState::Idle;
    found->second.lastUsed = now;
}

void Transactions::end(Instant now, const TransactionId &id, Reason reason)
{
    const auto found = open_.find(id.number);
    if (!isFromThisOwner(id) || found == open_.end())
        return;
    ended_[id.number] = {found->second.secret, reason, now};
    endedOrder_.push_back(id.number);
    open_.erase(found);
    evictEnded(now);
}

void Transactions::evictEnded(Instant now)
{
    while (!endedOrder_.empty()) {
        const auto oldest = ended_.find(endedOrder_.front());
        const bool keep =
            ended_.size() <= maxEndedTransactions && now - oldest->second.endedAt <= endedRetention;
        if (keep)
            return;
        ended_.erase(oldest);
        endedOrder_.pop_front();
    }
}

bool Transactions::committed(const TransactionId &id) const
{
    const EndedTransaction *ended = findEnded(id);
    return ended != nullptr && ended->reason == Reason::None;
}

std::vector<TransactionId> Transactions::expireIdle(Instant now)
{
    std::vector<TransactionId> idle;
    for (const auto &[number, transaction] : open_) {
        const bool isIdle = transaction.state == TransactionState::Idle;
        if (isIdle && now - transaction.lastUsed >= idleLimit_)
            idle.push_back(idOf(number, transaction.secret));
    }
    for (const TransactionId &id : idle)
        end(now, id, Reason::TransactionIdle);
    return idle;
}

std::vector<TransactionId> Transactions::open() const
{
    std::vector<TransactionId> ids;
    ids.reserve(open_.size());
    for (const auto &[number, transaction] : open_)
        ids.push_back(idOf(number, transaction.secret));
    return ids;
}

} // namespace kelptally::decision
