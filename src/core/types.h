#pragma once

#include <cstdint>
#include <string>

namespace kelptally {

// Names as the configuration document gives them.
using GroupName = std::string;
using ServerName = std::string;
using HostName = std::string;
using ZoneName = std::string;
// Callers that share keys, limits and connections. The HTTP interface calls them a team.
using OrganisationName = std::string;
using TeamName = OrganisationName;
using KindName = std::string;

// Generation of a database group's ownership; goes up by one with each change of owner.
using OwnerEpoch = std::uint64_t;

// Generation of a database group's primary. A term carries the epoch of the owner that created it
// (see makeTerm), so two owners can never create the same term.
using Term = std::uint64_t;

// Offset in a primary's log, counted in records; meaningful only together with a term.
using LogOffset = std::uint64_t;

// Number of an accepted configuration version; 0 stands for "none yet".
using ConfigVersion = std::uint64_t;

// Number drawn by a process at start: tells two runs at the same address apart. Later runs draw
// higher numbers (it holds the start time in microseconds).
using Incarnation = std::uint64_t;

// A place in the log of one database group. Compares by term first.
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

// One run of one process of ours. The address is "ip:port" of its peer endpoint.
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

// The nth term that the owner of an epoch creates. Higher epochs always make higher terms.
constexpr Term makeTerm(OwnerEpoch epoch, std::uint64_t nth)
{
    return (epoch << termEpochShift) | nth;
}

constexpr OwnerEpoch epochOfTerm(Term term)
{
    return term >> termEpochShift;
}

} // namespace kelptally
