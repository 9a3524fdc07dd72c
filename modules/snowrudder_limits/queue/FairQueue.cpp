#include "FairQueue.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace snowrudder
{

auto FairQueue::setWindow (const QueueWindow& slots, TimePoint now) -> std::vector<std::uint64_t>
{
    currentTime = now;
    window.slots = std::max (1U, slots.slots);
    window.slotsUnderFlood = std::clamp (slots.slotsUnderFlood, 1U, window.slots);
    return startWaiting();
}

auto FairQueue::request (const QueuedRequest& queued, std::uint32_t maxQueued, TimePoint now) -> QueueResult
{
    currentTime = now;
    auto& account = accounts[queued.account];
    account.recentRequests = decayedRequests (account) + 1.0;
    account.lastRequested = now;
    account.weight = std::max (1U, queued.weight);
    const auto startTag = std::max (earliestTag(), account.finishTag);
    const auto work = queued.cost / account.weight;

    if (account.queue.empty() && mayStart (account, activeWeights()))
    {
        account.finishTag = startTag + work;
        recordStart (account, startTag);
        return { QueueAction::start, {} };
    }

    const auto wait = estimatedWait (countAhead (startTag));

    if (account.queue.size() >= maxQueued || now + wait >= queued.deadline)
    {
        eraseIdle();
        return { QueueAction::refuse, std::max<Duration> (wait, 1s) };
    }

    account.finishTag = startTag + work;
    account.queue.push_back ({ queued, startTag });
    ++waitingCount;
    return { QueueAction::wait, {} };
}

auto FairQueue::finish (const std::string& account, Duration took, TimePoint now)
    -> std::vector<std::uint64_t>
{
    constexpr auto smoothing = 0.05;
    currentTime = now;
    const auto found = accounts.find (account);
    requireInvariant (found != accounts.end() && found->second.running > 0, "each slot is released once");
    changeRunning (found->second, found->second.running - 1);
    --runningCount;
    const auto seconds = std::chrono::duration<double> (took).count();
    meanSlotSeconds += smoothing * (seconds - meanSlotSeconds);
    auto& hold = found->second.meanHoldSeconds;
    hold += hold == 0.0 ? seconds : smoothing * (seconds - hold);

    auto started = startWaiting();
    eraseIdle();
    return started;
}

auto FairQueue::withdraw (std::uint64_t ticket) -> bool
{
    for (auto& [name, account] : accounts)
    {
        const auto found = std::ranges::find (account.queue, ticket,
                                              [] (const Entry& entry) { return entry.request.ticket; });

        if (found == account.queue.end())
            continue;

        // Work that was not done is not charged to the account.
        account.finishTag -= found->request.cost / account.weight;
        account.queue.erase (found);
        --waitingCount;
        return true;
    }

    return false;
}

auto FairQueue::removeExpired (TimePoint now) -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> expired;

    for (const auto& [name, account] : accounts)
        for (const auto& entry : account.queue)
            if (entry.request.deadline <= now)
                expired.push_back (entry.request.ticket);

    for (const auto ticket : expired)
        withdraw (ticket);

    return expired;
}

auto FairQueue::expectedWait (const std::string& account) const -> Duration
{
    const auto own = accounts.find (account);
    const auto startTag =
        own == accounts.end() ? earliestTag() : std::max (earliestTag(), own->second.finishTag);
    return estimatedWait (countAhead (startTag));
}

auto FairQueue::isOverShare (const std::string& name) const -> bool
{
    const auto own = accounts.find (name);

    if (own == accounts.end())
        return false;

    const auto& account = own->second;
    const auto share = shareOf (account, activeWeights());
    return meanRunningNow (account) > share || static_cast<double> (account.running) > std::max (1.0, share);
}

auto FairQueue::isFlooding (const Account& account, double weights) const -> bool
{
    const auto requestsPerSecond =
        decayedRequests (account) / std::chrono::duration<double> (averagingTime).count();
    return requestsPerSecond * account.meanHoldSeconds > floodFactor * shareOf (account, weights);
}

auto FairQueue::decayedRequests (const Account& account) const -> double
{
    return account.recentRequests * decaySince (account.lastRequested);
}

auto FairQueue::changeRunning (Account& account, std::uint32_t running) -> void
{
    account.meanRunning = meanRunningNow (account);
    account.meanRunningAt = currentTime;
    account.running = running;
}

auto FairQueue::meanRunningNow (const Account& account) const -> double
{
    return account.running + (account.meanRunning - account.running) * decaySince (account.meanRunningAt);
}

auto FairQueue::decaySince (TimePoint time) const -> double
{
    using Seconds = std::chrono::duration<double>;
    return std::exp (-Seconds (currentTime - time) / Seconds (averagingTime));
}

auto FairQueue::isActive (const Account& account) const -> bool
{
    return account.running > 0 || ! account.queue.empty() || currentTime - account.lastRequested < activeTime;
}

auto FairQueue::activeWeights() const -> double
{
    auto weights = 0.0;

    for (const auto& [name, other] : accounts)
        if (isActive (other))
            weights += other.weight;

    return weights;
}

auto FairQueue::shareOf (const Account& account, double weights) const -> double
{
    const auto all = isActive (account) ? weights : weights + account.weight;
    return static_cast<double> (window.slots) * account.weight / all;
}

auto FairQueue::mayStart (const Account& account, double weights) const -> bool
{
    if (runningCount < window.slotsUnderFlood)
        return true;

    return runningCount < window.slots && ! isFlooding (account, weights);
}

auto FairQueue::countAhead (double startTag) const -> std::size_t
{
    auto count = std::size_t { 0 };

    for (const auto& [name, account] : accounts)
    {
        const auto end = std::ranges::upper_bound (account.queue, startTag, {}, &Entry::startTag);
        count += static_cast<std::size_t> (end - account.queue.begin());
    }

    return count;
}

auto FairQueue::estimatedWait (std::size_t before) const -> Duration
{
    const auto seconds =
        (static_cast<double> (before) + 1.0) * meanSlotSeconds / static_cast<double> (window.slots);
    return std::chrono::duration_cast<Duration> (std::chrono::duration<double> (seconds));
}

auto FairQueue::startWaiting() -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> started;

    if (waitingCount == 0 || runningCount >= window.slots)
        return started;

    // An account with waiting requests is active and stays so when one starts, so the sum stays valid in the loop.
    const auto weights = activeWeights();

    while (waitingCount > 0 && runningCount < window.slots)
    {
        auto* next = static_cast<Account*> (nullptr);

        for (auto& [name, account] : accounts)
            if (! account.queue.empty() && mayStart (account, weights) &&
                (next == nullptr || account.queue.front().startTag < next->queue.front().startTag))
                next = &account;

        if (next == nullptr)
            break;

        const auto entry = next->queue.front();
        next->queue.pop_front();
        --waitingCount;
        recordStart (*next, entry.startTag);
        started.push_back (entry.request.ticket);
    }

    return started;
}

auto FairQueue::recordStart (Account& account, double startTag) -> void
{
    changeRunning (account, account.running + 1);
    ++runningCount;
    virtualTime = std::max (virtualTime, startTag);
}

auto FairQueue::eraseIdle() -> void
{
    // An inactive account whose work is in the past of the virtual time has no state worth keeping.
    std::erase_if (accounts,
                   [this] (const auto& known)
                   {
                       const auto& account = known.second;
                       return ! isActive (account) && account.finishTag <= earliestTag();
                   });
}

} // namespace snowrudder
