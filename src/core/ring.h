#pragma once

#include <cstddef>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace kelptally {

// Bounded multi-producer, single-consumer queue between threads. A push to a full queue fails
// rather than blocks. The consumer is woken when the queue becomes non-empty and takes all items at
// once, under a single lock.
template <typename T>
class Ring
{
public:
    // wake is called on the producer's thread, without the lock held.
    Ring(std::size_t capacity, std::function<void()> wake)
        : capacity_(capacity), wake_(std::move(wake))
    { }

    // Returns false, and does not move from the item, when the queue is full.
    bool tryPush(T &&item)
    {
        bool wasEmpty = false;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            if (items_.size() >= capacity_)
                return false;
            wasEmpty = items_.empty();
            items_.push_back(std::move(item));
        }
        if (wasEmpty)
            wake_();
        return true;
    }

    // Replaces the contents of the vector by all queued items.
    void takeAll(std::vector<T> &into)
    {
        into.clear();
        const std::lock_guard<std::mutex> lock(mutex_);
        items_.swap(into);
    }

    std::size_t size() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return items_.size();
    }

private:
    const std::size_t capacity_;
    const std::function<void()> wake_;
    mutable std::mutex mutex_;
    std::vector<T> items_;
};

} // namespace kelptally
