#include "decision/admission.h"

#include <algorithm>

namespace kelptally::decision {

using namespace std::chrono_literals;

namespace {

// Percentage of slot time for each class when all are backlogged. An unused share goes to the other
// classes in order of priority.
constexpr std::array<int, settings::requestClassCount> guaranteedSharePercent = {50, 25, 15, 10};
// Reciprocals of the smoothing factors.
constexpr int meanDivisor = 8;
constexpr int deviationDivisor = 4;
// Assumed before the first sample.
constexpr Duration defaultServiceTime = 2ms;
constexpr Duration minRetryAfter = 10ms;
constexpr Duration maxRetryAfter = 5s;

Duration absolute(Duration duration)
{
    return duration < 0ns ? -duration : duration;
}

// Adds up to 50% of jitter, so that callers refused together don't retry together.
Duration withJitter(Duration retryAfter, WorkId id)
{
    retryAfter = std::clamp(retryAfter, minRetryAfter, maxRetryAfter);
    const std::uint64_t mixed = id * 0x9e3779b97f4a7c15u >> 56;
    return retryAfter + retryAfter / 512 * static_cast<Duration::rep>(mixed);
}

std::size_t indexOf(settings::RequestClass requestClass)
{
    return static_cast<std::size_t>(requestClass);
}

} // namespace

void Admission::Estimate::add(Duration sample)
{
    if (mean == 0ns) {
        mean = sample;
        deviation = sample / 2;
        return;
    }
    deviation += (absolute(sample - mean) - deviation) / deviationDivisor;
    mean += (sample - mean) / meanDivisor;
}

Admission::Admission(int slots, int queueLength) : slots_(slots), queueLength_(queueLength) { }

void Admission::setSlots(int slots)
{
    slots_ = slots;
}

void Admission::setBrowseSlots(int slots)
{
    maxBrowseSlots_ = slots;
}

void Admission::setTeamShares(const std::vector<settings::Team> &teams)
{
    teamShares_.clear();
    for (const settings::Team &team : teams)
        teamShares_[team.name] = std::clamp(team.sharePercent, 1, 100);
    for (ClassQueue &queue : classes_) {
        for (auto &[name, teamQueue] : queue.teams)
            teamQueue.weight = weightOf(name);
    }
}

int Admission::weightOf(const TeamName &team) const
{
    const auto found = teamShares_.find(team);
    return found == teamShares_.end() ? 100 : found->second;
}

Admission::ClassQueue &Admission::queueOf(settings::RequestClass requestClass)
{
    return classes_[indexOf(requestClass)];
}

const Admission::ClassQueue &Admission::queueOf(settings::RequestClass requestClass) const
{
    return classes_[indexOf(requestClass)];
}

Duration Admission::serviceTime() const
{
    return service_.mean;
}

Duration Admission::meanServiceTime(const ClassQueue &queue) const
{
    if (queue.service.mean > 0ns)
        return queue.service.mean;
    return service_.mean > 0ns ? service_.mean : defaultServiceTime;
}

Duration Admission::serviceTimeBound(const ClassQueue &queue) const
{
    return queue.service.mean > 0ns ? queue.service.upperBound() : meanServiceTime(queue);
}

// Returns the smaller of two estimates:
// 1. In order of priority: the queues of this class and those before it, slowed down by the
//    guaranteed shares of the backlogged classes behind it.
// 2. By guaranteed share: the queue of this class at its share of the slots.
// With a team, only the wait that weighted sharing gives the team within its class is counted.
Duration Admission::estimatedWait(std::size_t classIndex, const TeamName *team) const
{
    const ClassQueue &own = classes_[classIndex];
    if (busy_ < slots_ && queued_ == 0)
        return 0ns;
    if (slots_ <= 0)
        return maxRetryAfter;

    Duration ownWork = meanServiceTime(own) * own.queued;
    if (team != nullptr) {
        int totalWeight = weightOf(*team);
        int ahead = 0;
        for (const auto &[name, teamQueue] : own.teams) {
            if (name == *team)
                ahead = static_cast<int>(teamQueue.items.size());
            else
                totalWeight += teamQueue.items.empty() ? 0 : teamQueue.weight;
        }
        ownWork = std::min(ownWork, meanServiceTime(own) * ahead * totalWeight / weightOf(*team));
    }

    Duration before = 0ns;
    int sharesBehind = 0;
    for (std::size_t i = 0; i < classes_.size(); ++i) {
        if (i < classIndex)
            before += meanServiceTime(classes_[i]) * classes_[i].queued;
        if (i > classIndex && classes_[i].queued > 0)
            sharesBehind += guaranteedSharePercent[i];
    }
    // A busy slot's statement is half done on average.
    const Duration running = busy_ >= slots_ ? service_.mean / 2 : 0ns;
    const Duration inOrder = running + (before + ownWork) * 100 / (100 - sharesBehind) / slots_;
    const Duration byShare = running + ownWork * 100 / guaranteedSharePercent[classIndex] / slots_;
    return std::min(inOrder, byShare);
}

Duration Admission::expectedWait(settings::RequestClass requestClass) const
{
    return estimatedWait(indexOf(requestClass), nullptr);
}

Duration Admission::expectedWait(settings::RequestClass requestClass, const TeamName &team) const
{
    return estimatedWait(indexOf(requestClass), &team);
}

// With several teams, each may fill half of the space that the others leave, up to its share, so
// that no team can fill the queue.
int Admission::queueLimit(const ClassQueue &queue, const TeamName &team) const
{
    if (queue.teams.size() < 2 && teamShares_.size() < 2)
        return queueLength_;
    int others = 0;
    for (const auto &[name, teamQueue] : queue.teams)
        others += name == team ? 0 : static_cast<int>(teamQueue.items.size());
    const int half = (queueLength_ - others) / 2;
    return std::max(1, std::min(half, queueLength_ * weightOf(team) / 100));
}

AdmissionAnswer Admission::offer(Instant now, const Work &work)
{
    const std::size_t classIndex = indexOf(work.requestClass);
    ClassQueue &queue = classes_[classIndex];
    const Duration wait = estimatedWait(classIndex, &work.team);

    // 1. Queue limits of the class and of the team.
    TeamQueue &team = queue.teams[work.team];
    if (queue.queued >= queueLength_)
        return {Reason::QueueFull, withJitter(wait, work.id)};
    if (static_cast<int>(team.items.size()) >= queueLimit(queue, work.team))
        return {Reason::TeamLimit, withJitter(wait, work.id)};

    // 2. Deadline. An idle server takes any work: without new samples an estimate that is too high
    //    would never come down.
    const Duration left = work.deadline - now;
    const Duration needed = isIdle() ? 0ns : wait + serviceTimeBound(queue);
    if (needed > left)
        return {Reason::DeadlineTooShort, withJitter(needed - left, work.id)};

    // 3. A team that was idle gets no credit for that time.
    if (team.items.empty()) {
        team.weight = weightOf(work.team);
        team.virtualTime = std::max(team.virtualTime, queue.virtualTime);
    }
    team.items.push_back(work);
    queue.earliestDeadline = std::min(queue.earliestDeadline, work.deadline);
    ++queue.queued;
    ++queued_;
    return {};
}

bool Admission::mayStart(std::size_t classIndex) const
{
    const ClassQueue &queue = classes_[classIndex];
    const bool browse = classIndex == indexOf(settings::RequestClass::Browse);
    const bool limited = browse && maxBrowseSlots_ > 0 && queue.busy >= maxBrowseSlots_;
    return queue.queued > 0 && !limited;
}

// Returns the first class with enough credit for a statement, else the first with startable work.
std::optional<std::size_t> Admission::chooseClass() const
{
    std::optional<std::size_t> first;
    for (std::size_t i = 0; i < classes_.size(); ++i) {
        if (!mayStart(i))
            continue;
        if (!first)
            first = i;
        if (classes_[i].credit >= meanServiceTime(classes_[i]))
            return i;
    }
    return first;
}

// Adds each backlogged class's share of the granted slot time to its credit and charges the chosen
// class.
void Admission::updateCredits(std::size_t chosen)
{
    const Duration service = meanServiceTime(classes_[chosen]);
    for (std::size_t i = 0; i < classes_.size(); ++i) {
        ClassQueue &queue = classes_[i];
        if (queue.queued > 0)
            queue.credit += service * guaranteedSharePercent[i] / 100;
        else if (i != chosen)
            queue.credit = 0ns;
    }
    classes_[chosen].credit = std::max(Duration(0), classes_[chosen].credit - service);
}

void Admission::decrementQueued(ClassQueue &queue)
{
    --queue.queued;
    --queued_;
}

// Removes and returns the oldest work of the team with the smallest virtual time.
Work Admission::dequeue(ClassQueue &queue)
{
    TeamQueue *least = nullptr;
    for (auto &[name, team] : queue.teams) {
        const bool less = least == nullptr || team.virtualTime < least->virtualTime;
        if (!team.items.empty() && less)
            least = &team;
    }
    const Work work = least->items.front();
    least->items.pop_front();
    queue.virtualTime = least->virtualTime;
    least->virtualTime += meanServiceTime(queue) * 100 / least->weight;
    decrementQueued(queue);
    return work;
}

std::optional<Work> Admission::next(Instant now)
{
    if (busy_ >= slots_)
        return std::nullopt;
    for (std::size_t i = 0; i < classes_.size(); ++i)
        dropInfeasible(now, i);
    const auto chosen = chooseClass();
    if (!chosen)
        return std::nullopt;
    updateCredits(*chosen);
    ClassQueue &queue = classes_[*chosen];
    const Work work = dequeue(queue);
    ++queue.busy;
    ++busy_;
    return work;
}

void Admission::finished(const Work &work, Duration serviceTime)
{
    releaseSlot(work, serviceTime);
}

void Admission::abandoned(const Work &work)
{
    releaseSlot(work, std::nullopt);
}

void Admission::releaseSlot(const Work &work, std::optional<Duration> serviceTime)
{
    ClassQueue &queue = queueOf(work.requestClass);
    const Duration expected = meanServiceTime(queue);
    queue.busy = std::max(0, queue.busy - 1);
    busy_ = std::max(0, busy_ - 1);
    if (serviceTime) {
        queue.service.add(*serviceTime);
        service_.add(*serviceTime);
    }

    // The team was charged the expected time in dequeue(): corrects that to the time used.
    const auto team = queue.teams.find(work.team);
    if (team == queue.teams.end())
        return;
    const Duration used = serviceTime.value_or(Duration(0));
    team->second.virtualTime += (used - expected) * 100 / team->second.weight;
    if (queue.queued == 0 && queue.busy == 0)
        queue.teams.clear();
}

void Admission::drop(const Work &work, Reason reason, Duration retryAfter)
{
    dropped_.push_back({work.id, reason, withJitter(retryAfter, work.id)});
}

// Drops work that would miss its deadline even if it started now.
void Admission::dropInfeasible(Instant now, std::size_t classIndex)
{
    ClassQueue &queue = classes_[classIndex];
    const Instant latest = busy_ == 0 ? now : now + serviceTimeBound(queue);
    if (queue.queued == 0 || queue.earliestDeadline >= latest)
        return;
    const auto infeasible = [latest](const Work &work) { return work.deadline < latest; };
    const Duration wait = estimatedWait(classIndex, nullptr);
    queue.earliestDeadline = Instant::max();
    for (auto &[name, team] : queue.teams) {
        for (const Work &work : team.items) {
            if (!infeasible(work)) {
                queue.earliestDeadline = std::min(queue.earliestDeadline, work.deadline);
                continue;
            }
            drop(work, Reason::DeadlineTooShort, wait);
            decrementQueued(queue);
        }
        team.items.erase(std::remove_if(team.items.begin(), team.items.end(), infeasible),
                         team.items.end());
    }
}

std::vector<DroppedWork> Admission::expire(Instant now)
{
    for (std::size_t i = 0; i < classes_.size(); ++i)
        dropInfeasible(now, i);
    std::vector<DroppedWork> dropped;
    dropped.swap(dropped_);
    return dropped;
}

bool Admission::cancel(WorkId id)
{
    const auto hasId = [id](const Work &work) { return work.id == id; };
    for (ClassQueue &queue : classes_) {
        for (auto &[name, team] : queue.teams) {
            const auto found = std::find_if(team.items.begin(), team.items.end(), hasId);
            if (found == team.items.end())
                continue;
            team.items.erase(found);
            decrementQueued(queue);
            return true;
        }
    }
    return false;
}

std::vector<Work> Admission::takeAll()
{
    std::vector<Work> all;
    for (ClassQueue &queue : classes_) {
        for (auto &[name, team] : queue.teams) {
            all.insert(all.end(), team.items.begin(), team.items.end());
            team.items.clear();
        }
        queue.queued = 0;
        queue.credit = 0ns;
    }
    queued_ = 0;
    return all;
}

} // namespace kelptally::decision
