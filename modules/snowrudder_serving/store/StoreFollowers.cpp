#include "StoreFollowers.h"

namespace snowrudder
{

namespace
{

/** Twice within the bound on applying a configuration (2 s, as set so far). */
constexpr auto checkInterval = 900ms;

/** After a failure the store is asked again soon: freshness runs out meanwhile. */
constexpr auto failurePause = 250ms;

/** Before the operators have written a first configuration nobody can serve, and those that read for others ask this often. */
constexpr auto unconfiguredPause = Duration (600ms);

/** A node that others read the store for leaves it to them to ask often while the store fails. */
constexpr auto followerPause = Duration (1s);

/** A node that others read the store for looks this often whether it must read itself. */
constexpr auto recheckPause = 200ms;

/** A watch is asked anew this often. One that was waiting when the node was cut off never answers, and hides changes until
    then; with the drain time of 2 s a leaving replica must be seen within 3 s of the cut's end.
*/
constexpr auto watchTimeout = Duration (2s);

/** Without a change the list is read again this often: watches may miss changes. */
constexpr auto relistInterval = Duration (20s);

/** After a change others are likely, as when replicas start or are taken away together: they are taken together, well within
    the time in which a leaving replica must get nothing new (2 s, as set so far).
*/
constexpr auto batchingDelay = 400ms;

/** @returns how long to wait after the store did not answer.

    @param failures  in a row; the first of them may be a connection's own
*/
auto pauseAfterFailure (const NewsState& news, std::size_t failures) -> Duration
{
    return news.isReader || failures < 2 ? Duration (failurePause) : followerPause;
}

auto applyConfiguration (ServingState& state, const StoreFormats& formats, const StoredItem& item) -> bool
{
    const auto read = formats.readConfiguration (item);

    if (! read)
    {
        LogLine ("configuration_unreadable").with ("revision", item.revision).error();
        return false;
    }

    const auto before = state.configuration.current ? state.configuration.current->version : 0;

    if (! adopt (state.configuration, read))
        return false;

    LogLine ("configuration_adopted")
        .with ("version", read->version)
        .with ("before", before)
        .with ("revision", read->revision)
        .with ("hosts", read->routes.size())
        .with ("accounts", read->accounts.size())
        .info();
    return true;
}

/** Looks for the configuration that others told of in what may be an old copy. It proves nothing: the others' next news do. */
auto readAnnouncedConfiguration (ServingState& state, const StateStore& store, const StoreFormats& formats)
    -> Task<StoreOutcome>
{
    const auto read = co_await store.read (formats.configurationKey, ReadFreshness::secondsOld);
    recordStoreOutcome (state, read.outcome, "configuration");

    for (const auto& item : read.items)
        if (item.revision >= state.news.newestConfiguration)
            applyConfiguration (state, formats, item);

    co_return read.outcome;
}

/** Logs a look at the configuration that came late, or whose answer did: whoever looks for the reason of a refusal sees here who was
    asked, and how long the answer took.
*/
auto logLateCheck (const ServingState& state, TimePoint asked, StoreOutcome outcome) -> void
{
    const auto now = SteadyClock::now();
    const auto hasConfiguration = state.configuration.current != nullptr;

    if (! hasConfiguration || (isConclusive (outcome) && now < asked + newsLimit - checkInterval &&
                               asked < state.configuration.provenAt + newsLimit))
        return;

    LogLine ("configuration_check_late")
        .with ("outcome", toString (outcome))
        .with ("reader", state.news.isReader ? "yes" : "no")
        .with ("proof_milliseconds", inMilliseconds (asked - state.configuration.provenAt))
        .with ("news_milliseconds", inMilliseconds (asked - state.news.provenAt))
        .with ("call_milliseconds", inMilliseconds (now - asked))
        .info();
}

/** Asks whether the configuration held is still the newest.

    @returns whether the store answered
*/
auto checkConfiguration (ServingState& state, const StateStore& store, const StoreFormats& formats)
    -> Task<bool>
{
    if (mayReadOldConfiguration (state.news, state.configuration, SteadyClock::now()))
    {
        const auto outcome = co_await readAnnouncedConfiguration (state, store, formats);

        if (! isConclusive (outcome) ||
            ! mustCheckConfiguration (state.news, state.configuration, SteadyClock::now()))
            co_return isConclusive (outcome);
    }

    const auto asked = SteadyClock::now();
    std::vector<StoredItem> newer;
    auto outcome = StoreOutcome::unknown;

    if (state.configuration.current)
    {
        StoreTransaction unchanged;
        unchanged.conditions.push_back ({ formats.configurationKey, state.configuration.current->revision });
        auto result = co_await store.commit (std::move (unchanged));
        outcome = result.outcome;
        newer = std::move (result.items);
    }
    else
    {
        auto result = co_await store.read (formats.configurationKey, ReadFreshness::newest);
        outcome = result.outcome;
        newer = std::move (result.items);
    }

    recordStoreOutcome (state, outcome, "configuration");
    logLateCheck (state, asked, outcome);

    if (! isConclusive (outcome))
        co_return false;

    state.news.ownProvenAt = std::max (state.news.ownProvenAt, asked);
    auto isNewest = outcome == StoreOutcome::done && state.configuration.current != nullptr;

    for (const auto& item : newer)
        if (item.revision > 0)
            isNewest = applyConfiguration (state, formats, item);

    if (isNewest)
        state.configuration.provenAt = std::max (state.configuration.provenAt, asked);

    co_return true;
}

/** @returns a replica's own entry. One that can't be understood is logged once a revision, however often it is listed. */
auto readEntry (const ReplicaDirectory& directory, const StoreFormats& formats, const StoredItem& item)
    -> std::optional<DirectoryEntry>
{
    auto entry = formats.readReplica (item);

    if (entry)
        return entry;

    const auto known = directory.removals.find (item.key);

    if (known == directory.removals.end() || known->second.revision < item.revision)
        LogLine ("replica_unreadable").with ("key", item.key).with ("revision", item.revision).warning();

    return {};
}

auto applyListResult (ServingState& state,
                      const StoreFormats& formats,
                      const ReadItems& read,
                      ListReason reason) -> void
{
    ListedEntries listed;

    for (const auto& item : read.items)
        if (auto entry = readEntry (state.directory, formats, item))
            listed.entries.push_back (std::move (*entry));
        else
            listed.unreadable.push_back ({ item.key, { item.revision, true } });

    applyList (state.directory, std::move (listed), read.revision, SteadyClock::now(), reason);
    state.publishDirectory (SteadyClock::now());
}

auto applyWatchEvents (ServingState& state, const StoreFormats& formats, const ReadItems& read) -> void
{
    for (const auto& item : read.items)
    {
        if (item.isRemoved)
            applyRemoval (state.directory, item.key, { item.revision, false }, SteadyClock::now());
        else if (auto entry = readEntry (state.directory, formats, item))
            applyEntry (state.directory, std::move (*entry));
        else
            applyRemoval (state.directory, item.key, { item.revision, true }, SteadyClock::now());
    }

    state.directory.revision = std::max (state.directory.revision, read.revision);
    state.publishDirectory (SteadyClock::now());
}

/** @returns when to look at the configuration next: at the usual time, or when its proof becomes overdue. */
auto nextCheckTime (const ServingState& state, Duration usualPause) -> TimePoint
{
    const auto now = SteadyClock::now();

    if (state.news.isReader || ! state.configuration.current)
        return now + usualPause;

    const auto untilOverdue = proofOverdueAt (state.news, state.configuration) - now;
    return now + std::min (usualPause, std::max<Duration> (failurePause, untilOverdue));
}

} // namespace

auto recordStoreOutcome (ServingState& state, StoreOutcome outcome, std::string_view purpose) -> void
{
    const auto isAnswered = isConclusive (outcome) || outcome == StoreOutcome::historyCompacted;

    if (isAnswered == state.isStoreReached)
        return;

    state.isStoreReached = isAnswered;

    // Entries may lapse from the outage's begin on, and watches may tell so before the store counts as back. Where others
    // had the store meanwhile there was no outage.
    const auto now = SteadyClock::now();
    const auto othersHadIt = now - state.news.provenAt <= newsLimit;
    const auto keptAfter = othersHadIt ? Duration::zero() : lapseGracePeriod;
    state.directory.keepMissingUntil = isAnswered ? now + keptAfter : TimePoint::max();

    LogLine (isAnswered ? "store_regained" : "store_lost")
        .with ("purpose", purpose)
        .with ("outcome", toString (outcome))
        .warning();
}

auto followConfiguration (ServingState& state,
                          const StateStore& store,
                          const StoreFormats& formats,
                          std::function<void()> onAdopted) -> Task<void>
{
    auto wasFresh = false;
    auto failures = std::size_t { 0 };

    for (;;)
    {
        const auto before = state.configuration.current;
        auto isAnswered = true;

        if (mustCheckConfiguration (state.news, state.configuration, SteadyClock::now()))
            isAnswered = co_await checkConfiguration (state, store, formats);

        failures = isAnswered ? 0 : failures + 1;

        if (state.configuration.current != before)
            onAdopted();

        const auto now = SteadyClock::now();
        const auto fresh = isFresh (state.configuration, state.freshness, now);

        if (fresh != wasFresh)
            LogLine (fresh ? "freshness_regained" : "freshness_lost")
                .with ("proof_milliseconds", inMilliseconds (now - state.configuration.provenAt))
                .warning();

        wasFresh = fresh;
        const auto pause = ! isAnswered                  ? pauseAfterFailure (state.news, failures)
                           : state.configuration.current ? Duration (checkInterval)
                           : asksStore (state.news, now) ? unconfiguredPause
                                                         : Duration (recheckPause);
        co_await state.configurationWake->wait (isAnswered ? nextCheckTime (state, pause) : now + pause);
    }
}

/** Follows the watch until it may have missed something, or until others read the store for this node.

    @param listedAt  when the list was asked for on which the watch follows
    @returns         what the next list follows on
*/
auto watchReplicas (ServingState& state,
                    const StateStore& store,
                    const StoreFormats& formats,
                    TimePoint listedAt) -> Task<ListReason>
{
    const auto listEnd = SteadyClock::now() + relistInterval;

    while (asksStore (state.news, SteadyClock::now()))
    {
        const auto now = SteadyClock::now();

        // A node that has just started reads for itself until it knows the others, and serves nobody before there is a
        // configuration; it need not watch before.
        const auto servesNobody = ! state.sharing.members || ! state.configuration.current;

        if ((servesNobody && isNewNode (state.sharing, now)) || ! mustWatch (state.news, listedAt, now))
        {
            co_await pauseFor (state.loop, recheckPause);
            continue;
        }

        const auto changed =
            co_await store.watch (formats.replicaPrefix, state.directory.revision, watchTimeout);
        recordStoreOutcome (state, changed.outcome, "replicas");

        if (changed.outcome != StoreOutcome::done)
        {
            co_await pauseFor (state.loop, failurePause);
            co_return ListReason::afterGap;
        }

        // An empty answer does not move the revision on: the watch may have been silent while changes were made.
        if (! changed.items.empty())
        {
            applyWatchEvents (state, formats, changed);
            co_await pauseFor (state.loop, batchingDelay);
        }

        if (SteadyClock::now() >= listEnd)
            co_return ListReason::check;
    }

    co_return ListReason::afterGap;
}

auto followReplicas (ServingState& state, const StateStore& store, const StoreFormats& formats) -> Task<void>
{
    auto reason = ListReason::afterGap;
    auto failures = std::size_t { 0 };

    for (;;)
    {
        if (! state.news.needsList && ! asksStore (state.news, SteadyClock::now()))
        {
            co_await pauseFor (state.loop, recheckPause);
            continue;
        }

        const auto asked = SteadyClock::now();
        const auto listed = co_await store.list (formats.replicaPrefix, ReadFreshness::newest);
        recordStoreOutcome (state, listed.outcome, "replicas");

        if (listed.outcome != StoreOutcome::done)
        {
            co_await pauseFor (state.loop, pauseAfterFailure (state.news, ++failures));
            continue;
        }

        failures = 0;
        state.news.needsList = false;
        applyListResult (state, formats, listed, reason);
        reason = co_await watchReplicas (state, store, formats, asked);
    }
}

} // namespace snowrudder
