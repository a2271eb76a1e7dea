#pragma once

#include "backend/backendserver.h"

#include <memory>

namespace kelptally {
class DutyThread;
}

namespace kelptally::backend {

// Makes a PostgreSQL server, accessed through libpq without blocking. Its connections run on the
// thread's I/O context and must be used there. The endpoint's host must be an IP address: names are
// not resolved. A connection closes when its last reference is dropped. A failed connect returns
// DeadlineExceeded at the timeout, ResourceExhausted when the server has no connection left
// (SQLSTATE 53300), FailedPrecondition for another refusal by the server, and Unavailable when it
// cannot be reached.
std::unique_ptr<BackendServer> makePostgresServer(DutyThread &thread, ServerEndpoint endpoint);

} // namespace kelptally::backend
