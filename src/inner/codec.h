#pragma once

#include "inner/messages.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace kelptally::inner {

// Encodes a message as a CBOR document (RFC 8949). OutOfRange, with the bound, when the receiver
// would refuse it.
absl::StatusOr<std::string> encode(const Message &message);

// Decodes a CBOR document. Never throws; InvalidArgument unless it is a complete message of a known
// type whose fields have the right types and are within their bounds.
absl::StatusOr<Message> decode(std::string_view bytes);

} // namespace kelptally::inner
