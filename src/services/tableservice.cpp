#include "services/tableservice.h"

namespace kelptally::services {

void TableSnapshot::add(TablePage page)
{
    if (next == 0) {
        next = page.version;
        serviceTime = page.serviceTime;
    }
    for (TableRow &row : page.rows)
        rows.push_back(std::move(row));
}

void TableFeed::page(const std::string &table, const std::string &, PageCallback callback)
{
    const ProgressCallback onProgress = callback.progressCallback();
    auto onSnapshot = [callback = std::move(callback)](absl::StatusOr<TableSnapshot> snapshot) {
        if (!snapshot.ok())
            return callback(snapshot.status());
        callback(
            TablePage {std::move(snapshot->rows), snapshot->next, snapshot->serviceTime, true});
    };
    snapshot(table, {std::move(onSnapshot), onProgress});
}

} // namespace kelptally::services
