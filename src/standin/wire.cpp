#include "standin/wire.h"

namespace kelptally::standin {

std::uint32_t firstInt32(std::string_view bytes)
{
    return WireReader(bytes).readInt32();
}

std::string_view WireReader::readBytes(std::size_t count)
{
    if (count > body_.size()) {
        good_ = false;
        body_ = {};
        return {};
    }
    const std::string_view bytes = body_.substr(0, count);
    body_.remove_prefix(count);
    return bytes;
}

std::uint8_t WireReader::readByte()
{
    const std::string_view bytes = readBytes(1);
    return bytes.empty() ? 0 : std::uint8_t(bytes[0]);
}

std::uint16_t WireReader::readInt16()
{
    const unsigned high = readByte();
    return std::uint16_t(high << 8 | readByte());
}

std::uint32_t WireReader::readInt32()
{
    const std::uint32_t high = readInt16();
    return high << 16 | readInt16();
}

std::string_view WireReader::readString()
{
    const std::size_t length = body_.find('\0');
    if (length == std::string_view::npos) {
        good_ = false;
        body_ = {};
        return {};
    }
    const std::string_view text = readBytes(length);
    readByte();
    return text;
}

void WireWriter::int16(std::size_t value)
{
    buffer_.push_back(char(value >> 8 & 0xff));
    buffer_.push_back(char(value & 0xff));
}

void WireWriter::int32(std::uint32_t value)
{
    int16(value >> 16);
    int16(value & 0xffff);
}

void WireWriter::string(std::string_view text)
{
    buffer_.append(text);
    buffer_.push_back('\0');
}

std::size_t WireWriter::beginMessage(char type)
{
    buffer_.push_back(type);
    const std::size_t start = buffer_.size();
    int32(0);
    return start;
}

void WireWriter::endMessage(std::size_t start)
{
    const std::size_t length = buffer_.size() - start;
    for (int i = 0; i < 4; ++i)
        buffer_[start + std::size_t(i)] = char(length >> (24 - 8 * i) & 0xff);
}

void WireWriter::empty(char type)
{
    endMessage(beginMessage(type));
}

void WireWriter::authenticationOk()
{
    const std::size_t start = beginMessage('R');
    int32(0);
    endMessage(start);
}

void WireWriter::parameterStatus(std::string_view name, std::string_view value)
{
    const std::size_t start = beginMessage('S');
    string(name);
    string(value);
    endMessage(start);
}

void WireWriter::backendKeyData(std::uint32_t processId, std::uint32_t secret)
{
    const std::size_t start = beginMessage('K');
    int32(processId);
    int32(secret);
    endMessage(start);
}

void WireWriter::readyForQuery(char transactionStatus)
{
    const std::size_t start = beginMessage('Z');
    buffer_.push_back(transactionStatus);
    endMessage(start);
}

void WireWriter::parameterDescription(const std::vector<int> &typeOids)
{
    const std::size_t start = beginMessage('t');
    int16(typeOids.size());
    for (int oid : typeOids)
        int32(std::uint32_t(oid));
    endMessage(start);
}

void WireWriter::rowDescription(const std::vector<Column> &columns)
{
    constexpr std::uint32_t noTypeModifier = 0xffffffff;
    const std::size_t start = beginMessage('T');
    int16(columns.size());
    for (const Column &column : columns) {
        string(column.name);
        int32(0); // table OID
        int16(0); // attribute number
        int32(std::uint32_t(column.typeOid));
        int16(0xffff); // variable size
        int32(noTypeModifier);
        int16(0); // text format
    }
    endMessage(start);
}

void WireWriter::dataRow(const std::vector<std::optional<std::string_view>> &values)
{
    constexpr std::uint32_t nullLength = 0xffffffff;
    const std::size_t start = beginMessage('D');
    int16(values.size());
    for (const auto &value : values) {
        int32(value ? std::uint32_t(value->size()) : nullLength);
        if (value)
            buffer_.append(*value);
    }
    endMessage(start);
}

void WireWriter::commandComplete(std::string_view tag)
{
    const std::size_t start = beginMessage('C');
    string(tag);
    endMessage(start);
}

void WireWriter::errorResponse(std::string_view severity, const SqlError &error)
{
    const std::size_t start = beginMessage('E');
    for (const auto &[field, text] : {std::pair<char, std::string_view> {'S', severity},
                                      {'V', severity},
                                      {'C', error.sqlState},
                                      {'M', error.message}}) {
        buffer_.push_back(field);
        string(text);
    }
    buffer_.push_back('\0');
    endMessage(start);
}

} // namespace kelptally::standin
