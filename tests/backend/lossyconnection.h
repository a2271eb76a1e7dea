#pragma once

#include "backend/backendserver.h"

#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace kelptally::backend {

// A connection whose answers get lost as the test says: the batch still runs at the server, at once
// or, as one that was held up on the way, when the test lets it.
class LossyConnection : public Connection
{
public:
    enum class Loss {
        None,
        // It runs, the answer is lost.
        Answer,
        // It runs only with runDelayed(), long after it was given up.
        Delayed,
    };

    LossyConnection(std::shared_ptr<Connection> inner, Loss loss, std::size_t lostBatch = 0)
        : inner_(std::move(inner)), loss_(loss), lostBatch_(lostBatch)
    { }

    void run(std::vector<Statement> batch, BatchCallback callback) override
    {
        const bool lost = loss_ != Loss::None && batches_++ == lostBatch_;
        if (!lost)
            return inner_->run(std::move(batch), std::move(callback));
        BatchResult unknown;
        unknown.state = BatchState::Unknown;
        unknown.connectionLost = true;
        if (loss_ == Loss::Answer)
            return inner_->run(std::move(batch),
                               [callback, unknown](const BatchResult &) { callback(unknown); });
        delayed_ = std::move(batch);
        callback(unknown);
    }
    bool busy() const override { return inner_->busy(); }
    bool open() const override { return inner_->open(); }
    void close() override { inner_->close(); }

    // Whether the server was given no batch yet of what was held up.
    bool hasDelayedBatch() const { return !delayed_.empty(); }
    void runDelayed(BatchCallback callback)
    {
        inner_->run(std::exchange(delayed_, {}), std::move(callback));
    }

private:
    const std::shared_ptr<Connection> inner_;
    const Loss loss_;
    const std::size_t lostBatch_;
    std::size_t batches_ = 0;
    std::vector<Statement> delayed_;
};

} // namespace kelptally::backend
