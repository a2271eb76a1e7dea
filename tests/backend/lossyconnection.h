#pragma once

#include "backend/backendserver.h"

#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace kelptally::backend {

// A connection that loses the answer of one batch. The server still runs that batch, either at once
// or, like a delayed packet, when the test releases it.
class LossyConnection : public Connection
{
public:
    enum class Loss {
        None,
        // The batch runs; its answer is lost.
        Answer,
        // The batch runs only at runDelayed(), after it was abandoned.
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

    // Whether a delayed batch has not been sent to the server yet.
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
