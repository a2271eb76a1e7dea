#include "settings/inidocument.h"

#include <ini.h>

#include <algorithm>
#include <cstring>
#include <fstream>
#include <map>
#include <mutex>
#include <optional>
#include <string_view>

namespace kelptally::settings {

namespace {

constexpr char whitespace[] = " \t\r\v\f";

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

// Returns the number of UTF-8 continuation bytes after a lead byte; nothing for an invalid one.
std::optional<std::size_t> continuationBytes(unsigned char first)
{
    if (first < 0x80)
        return 0;
    if (first >= 0xC2 && first < 0xE0)
        return 1;
    if (first >= 0xE0 && first < 0xF0)
        return 2;
    if (first >= 0xF0 && first < 0xF5)
        return 3;
    return std::nullopt;
}

// Whether a second byte is valid after a lead byte (RFC 3629: no overlong forms, no surrogates).
bool isSecondByte(unsigned char first, unsigned char second)
{
    const unsigned char minimum = first == 0xE0 ? 0xA0 : first == 0xF0 ? 0x90 : 0x80;
    const unsigned char maximum = first == 0xED ? 0x9F : first == 0xF4 ? 0x8F : 0xBF;
    return second >= minimum && second <= maximum;
}

bool isUtf8(std::string_view text)
{
    for (std::size_t at = 0; at < text.size();) {
        const auto first = static_cast<unsigned char>(text[at]);
        const auto following = continuationBytes(first);
        if (!following || at + *following >= text.size())
            return false;
        for (std::size_t i = 1; i <= *following; ++i) {
            const auto byte = static_cast<unsigned char>(text[at + i]);
            if (i == 1 ? !isSecondByte(first, byte) : (byte & 0xC0) != 0x80)
                return false;
        }
        at += *following + 1;
    }
    return true;
}

// Sets the options of inih, which are global variables.
void configureInih()
{
    static std::once_flag once;
    std::call_once(once, [] {
        ini_use_stack = false;
        ini_allow_realloc = false;
        ini_initial_alloc = static_cast<int>(maxLineBytes) + 2;
        ini_max_line = ini_initial_alloc;
        ini_allow_multiline = false;
        // Values such as passwords and SQL may contain ';'.
        ini_allow_inline_comments = false;
    });
}

// Passes a text to inih line by line, to record the line of each entry. Lines that inih does not
// recognise are findings.
class Reader
{
public:
    Reader(const std::string &file, std::string_view text, Findings &findings,
           const SectionHandler &onSection)
        : file_(file), rest_(text), findings_(findings), onSection_(onSection)
    { }

    void run()
    {
        configureInih();
        if (ini_parse_stream(&Reader::readLine, this, &Reader::onEntry, this) == -2)
            findings_.add(file_, 0, "", "out of memory");
        reportUnparsedLine();
        closeSection();
    }

private:
    static char *readLine(char *buffer, int size, void *reader)
    {
        return static_cast<Reader *>(reader)->nextLine(buffer, static_cast<std::size_t>(size));
    }

    static int onEntry(void *reader, const char *, const char *key, const char *value)
    {
        static_cast<Reader *>(reader)->addEntry(key, value);
        return 1;
    }

    char *nextLine(char *buffer, std::size_t size)
    {
        reportUnparsedLine();
        if (rest_.empty())
            return nullptr;
        ++line_;
        const auto end = rest_.find('\n');
        std::string_view text = trimmed(rest_.substr(0, end));
        rest_.remove_prefix(end == std::string_view::npos ? rest_.size() : end + 1);
        if (!checkLine(text, size))
            text = {};
        lineParsed_ = text.empty() || text[0] == '#' || text[0] == ';';
        if (!text.empty() && text[0] == '[')
            openSection(text);
        text.copy(buffer, text.size());
        buffer[text.size()] = '\n';
        buffer[text.size() + 1] = '\0';
        return buffer;
    }

    bool checkLine(std::string_view text, std::size_t size)
    {
        if (text.size() > maxLineBytes || text.size() + 2 > size) {
            add("", "the line is longer than " + std::to_string(maxLineBytes) + " bytes");
            return false;
        }
        if (text.find('\0') != std::string_view::npos) {
            add("", "the line holds a NUL byte; a settings file is plain text");
            return false;
        }
        if (!isUtf8(text)) {
            add("", "the line is not UTF-8");
            return false;
        }
        return true;
    }

    void openSection(std::string_view text)
    {
        lineParsed_ = true;
        closeSection();
        IniSection &section = section_.emplace();
        section.line = line_;
        const auto end = text.find(']');
        if (end == std::string_view::npos || end + 1 != text.size()) {
            add("", "not a section: [type] or [type name] is allowed");
            return;
        }
        const std::string_view title = trimmed(text.substr(1, end - 1));
        const auto blank = title.find_first_of(whitespace);
        section.type = std::string(title.substr(0, blank));
        if (blank != std::string_view::npos)
            section.name = std::string(trimmed(title.substr(blank)));
        if (section.type.empty())
            add("", "a section without a name: [type] or [type name] is allowed");
        else
            checkDuplicateSection(section);
    }

    void closeSection()
    {
        if (section_)
            onSection_(*section_);
        section_.reset();
        keys_.clear();
    }

    void checkDuplicateSection(const IniSection &section)
    {
        const auto [first, isNew] = sectionLines_.emplace(section.title(), line_);
        if (!isNew)
            add(section.title(),
                "duplicate section; first defined at line " + std::to_string(first->second));
    }

    void addEntry(const char *key, const char *value)
    {
        lineParsed_ = true;
        if (!section_) {
            add(key, "a key before the first section");
            return;
        }
        const auto [first, isNew] = keys_.emplace(key, line_);
        if (isNew)
            section_->entries.push_back({key, value, line_});
        else
            add(section_->title() + "/" + key,
                "duplicate key; first defined at line " + std::to_string(first->second));
    }

    void reportUnparsedLine()
    {
        if (!lineParsed_)
            add("", "neither a section nor key = value nor a comment");
        lineParsed_ = true;
    }

    void add(const std::string &key, const std::string &problem)
    {
        findings_.add(file_, line_, key, problem);
    }

    const std::string &file_;
    std::string_view rest_;
    Findings &findings_;
    int line_ = 0;
    bool lineParsed_ = true;
    const SectionHandler &onSection_;
    // The current section.
    std::optional<IniSection> section_;
    std::map<std::string, int> sectionLines_;
    // Keys of the current section and their lines.
    std::map<std::string, int> keys_;
};

std::string tooLargeProblem()
{
    return "the file is larger than " + std::to_string(maxDocumentBytes) + " bytes";
}

} // namespace

std::vector<IniSection> parseIni(const std::string &file, const std::string &text,
                                 Findings &findings)
{
    std::vector<IniSection> sections;
    parseIni(file, text, findings,
             [&sections](const IniSection &section) { sections.push_back(section); });
    return sections;
}

void parseIni(const std::string &file, const std::string &text, Findings &findings,
              const SectionHandler &onSection)
{
    if (text.size() > maxDocumentBytes) {
        findings.add(file, 0, "", tooLargeProblem());
        return;
    }
    constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";
    std::string_view rest = text;
    if (rest.substr(0, byteOrderMark.size()) == byteOrderMark)
        rest.remove_prefix(byteOrderMark.size());
    Reader(file, rest, findings, onSection).run();
}

std::string readFile(const std::string &path, Findings &findings)
{
    std::ifstream in(path, std::ios::binary);
    std::string text;
    std::vector<char> block(1 << 16);
    while (in && text.size() <= maxDocumentBytes) {
        in.read(block.data(), static_cast<std::streamsize>(block.size()));
        text.append(block.data(), static_cast<std::size_t>(in.gcount()));
    }
    if (text.size() > maxDocumentBytes) {
        findings.add(path, 0, "", tooLargeProblem());
        return {};
    }
    if (!in.eof()) {
        findings.add(path, 0, "", std::string("cannot be read: ") + std::strerror(errno));
        return {};
    }
    return text;
}

} // namespace kelptally::settings
