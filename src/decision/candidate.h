#pragma once

#include "core/types.h"

#include <vector>

namespace kelptally::decision {

// A server that was prepared for a new term, with the newest record it holds.
struct Candidate
{
    ServerName server;
    Position received;
    // Neither leaving nor the primary just given up.
    bool trusted = true;
};

// The server to promote: the highest position among a majority of the group, which holds every
// confirmed record. Trusted ones alone decide if they are a majority by themselves. Of equals, the
// wished one goes first, then a trusted one. Nothing without a majority.
const Candidate *chooseCandidate(const std::vector<Candidate> &prepared, std::size_t majority,
                                 const ServerName &preferred);

} // namespace kelptally::decision
