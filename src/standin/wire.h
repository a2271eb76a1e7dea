#pragma once

#include "standin/sqlitedatabase.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// PostgreSQL's frontend/backend protocol 3.0; see the chapter "Frontend/Backend Protocol" of its
// documentation.
namespace kelptally::standin {

constexpr std::uint32_t protocolVersion = 196608;
constexpr std::uint32_t cancelRequestCode = 80877102;
constexpr std::uint32_t sslRequestCode = 80877103;
constexpr std::uint32_t gssRequestCode = 80877104;

// Error response to a malformed message.
inline const SqlError protocolError {"08P01", "invalid message format"};

// Decodes the big-endian integer at the start of `bytes`; 0 if there are fewer than 4 bytes.
std::uint32_t firstInt32(std::string_view bytes);

// Reads the fields of one message. After a truncated field good() is false and all further fields
// are empty.
class WireReader
{
public:
    explicit WireReader(std::string_view body) : body_(body) { }

    std::uint8_t readByte();
    std::uint16_t readInt16();
    std::uint32_t readInt32();
    std::string_view readString();
    std::string_view readBytes(std::size_t count);
    bool good() const { return good_; }

private:
    std::string_view body_;
    bool good_ = true;
};

// Appends encoded backend messages to a buffer.
class WireWriter
{
public:
    void authenticationOk();
    void parameterStatus(std::string_view name, std::string_view value);
    void backendKeyData(std::uint32_t processId, std::uint32_t secret);
    void readyForQuery(char transactionStatus);
    void parseComplete() { empty('1'); }
    void bindComplete() { empty('2'); }
    void closeComplete() { empty('3'); }
    void noData() { empty('n'); }
    void emptyQueryResponse() { empty('I'); }
    void parameterDescription(const std::vector<int> &typeOids);
    void rowDescription(const std::vector<Column> &columns);
    void dataRow(const std::vector<std::optional<std::string_view>> &values);
    void commandComplete(std::string_view tag);
    void errorResponse(std::string_view severity, const SqlError &error);
    void rawByte(char byte) { buffer_.push_back(byte); }

    std::string &buffer() { return buffer_; }

private:
    void empty(char type);
    std::size_t beginMessage(char type);
    void endMessage(std::size_t start);
    void int16(std::size_t value);
    void int32(std::uint32_t value);
    void string(std::string_view text);

    std::string buffer_;
};

} // namespace kelptally::standin
