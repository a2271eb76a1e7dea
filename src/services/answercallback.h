#pragma once

#include <absl/status/statusor.h>

#include <cstddef>
#include <functional>
#include <type_traits>
#include <utility>

namespace kelptally::services {

// How much of a successful answer has arrived, in bytes, header included.
struct AnswerProgress
{
    std::size_t received = 0;
    // Size of the body; 0 until the header has arrived.
    std::size_t bodySize = 0;
};

// Returns whether to go on receiving; the call ends with Cancelled otherwise.
using ProgressCallback = std::function<bool(const AnswerProgress &)>;

// Callback of a call to a service, called exactly once with the answer or an error. Before that a
// transport may report the progress of the answer, by which its caller tells a large answer from
// one that does not come.
template <typename Result>
class AnswerCallback
{
    using Function = std::function<void(absl::StatusOr<Result>)>;

public:
    AnswerCallback() = default;
    AnswerCallback(std::nullptr_t) { }
    template <typename OnAnswer,
              typename = std::enable_if_t<
                  !std::is_same_v<std::decay_t<OnAnswer>,
                                  AnswerCallback> && std::is_constructible_v<Function, OnAnswer>>>
    AnswerCallback(OnAnswer &&onAnswer, ProgressCallback onProgress = nullptr)
        : onAnswer_(std::forward<OnAnswer>(onAnswer)), onProgress_(std::move(onProgress))
    { }

    void operator()(absl::StatusOr<Result> answer) const { onAnswer_(std::move(answer)); }
    explicit operator bool() const { return static_cast<bool>(onAnswer_); }
    // Returns whether to go on receiving.
    bool reportProgress(const AnswerProgress &progress) const
    {
        return !onProgress_ || onProgress_(progress);
    }
    // For a call that this one is made of; empty if the caller does not watch the progress.
    const ProgressCallback &progressCallback() const { return onProgress_; }

private:
    Function onAnswer_;
    ProgressCallback onProgress_;
};

} // namespace kelptally::services
