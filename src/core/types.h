#pragma once

#include <cstdint>
#include <string>

namespace kelptally {

// Names used in the configuration document.
using GroupName = std::string;
using ServerName = std::string;
using HostName = std::string;
using ZoneName = std::string;
// A set of callers that share keys, limits and connections. Called a team in the HTTP interface.
using OrganisationName = std::string;
using TeamName = OrganisationName;
using KindName = std::string;

// Epoch of a database group's ownership, incremented on each change of owner.
using OwnerEpoch = std::uint64_t;

// Term of a database group's primary. Contains the epoch of the owner that created it (see
// makeTerm), so two owners can never create the same term.
using Term = std::uint64_t;

// Offset in a primary's log in records; meaningful only together with a term.
using LogOffset = std::uint64_t;

// Version number of an accepted configuration; 0 means none.
using ConfigVersion = std::uint64_t;

// Identifies one run of a process at its address. Holds the start time in microseconds, so later
// runs have higher numbers.
using Incarnation = std::uint64_t;

// Position in the log of a database group. Ordered by term, then by offset.
struct Position
{
    Term term = 0;
    LogOffset offset = 0;
};

inline bool operator==(Position a, Position b)
{
    return a.term == b.term && a.offset == b.offset;
}
inline bool operator!=(Position a, Position b)
{
    return !(a == b);
}
inline bool operator<(Position a, Position b)
{
    return a.term != b.term ? a.term < b.term : a.offset < b.offset;
}
inline bool operator<=(Position a, Position b)
{
    return !(b < a);
}

// Identifies one run of a kelptally process. The address is "ip:port" of its peer endpoint.
struct ProcessId
{
    std::string address;
    Incarnation incarnation = 0;
};

inline bool operator==(const ProcessId &a, const ProcessId &b)
{
    return a.address == b.address && a.incarnation == b.incarnation;
}
inline bool operator!=(const ProcessId &a, const ProcessId &b)
{
    return !(a == b);
}

constexpr int termEpochShift = 20;

// Returns the nth term created by the owner of an epoch. A higher epoch always gives a higher term.
constexpr Term makeTerm(OwnerEpoch epoch, std::uint64_t nth)
{
    return (epoch << termEpochShift) | nth;
}

constexpr OwnerEpoch epochOfTerm(Term term)
{
    return term >> termEpochShift;
}

} // namespace kelptally
