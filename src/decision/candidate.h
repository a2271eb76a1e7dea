#pragma once

#include "core/types.h"

#include <vector>

namespace kelptally::decision {

// A server that was prepared for a new term, with the position of its newest record.
struct Candidate
{
    ServerName server;
    Position received;
    // False for a server that is leaving and for the primary being replaced.
    bool trusted = true;
};

// Returns the server to promote, or nullptr if fewer than a majority are prepared. The highest
// position among a majority holds every confirmed record. Untrusted servers are considered only if
// the trusted ones are no majority. Ties go to the preferred server, then to a trusted one.
const Candidate *chooseCandidate(const std::vector<Candidate> &prepared, std::size_t majority,
                                 const ServerName &preferred);

} // namespace kelptally::decision
