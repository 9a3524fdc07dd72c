#include "ConfigurationFollower.h"

#include "StorePauses.h"

#include <exception>
#include <utility>

namespace snowrudder
{

namespace
{

/** Interval of checks, so that two fit into the time limit for applying a new configuration (2 s as configured). */
constexpr auto checkInterval = 900ms;

/** Pause between queries of nodes that read the store while there is no configuration yet, so that no node can serve.
*/
constexpr auto unconfiguredPause = Duration (600ms);

/** @returns where the proof of the configuration came from, for the log. */
auto proofSource (const ConfigurationState& configuration) -> std::string_view
{
    return configuration.provenBy.empty() ? std::string_view ("store") : configuration.provenBy;
}

/** Publishes whether a refused configuration is newer than the one in force, for alerts. */
auto publishRefusal (ServingState& state) -> void
{
    state.metrics.gauge ("snowrudder_refused_configuration_revision")
        .set (static_cast<std::int64_t> (state.configuration.refusedRevision));
}

/** Logs a configuration that is not valid, once per revision. The one in force stays, and is no longer proved. */
auto refuseConfiguration (ServingState& state, const ConfigurationReading& reading, std::uint64_t revision)
    -> void
{
    if (revision <= state.configuration.refusedRevision)
        return;

    state.configuration.refusedRevision = revision;
    state.metrics.counter ("snowrudder_configurations_refused_total").add();
    LogLine ("configuration_refused")
        .with ("version", reading.version)
        .with ("revision", revision)
        .with ("member", reading.firstFault.path)
        .with ("found", reading.firstFault.found)
        .with ("allowed", reading.firstFault.allowed)
        .with ("faults", reading.faultCount)
        .error();
}

/** Logs a version that does not rise. The store's revision decides which configuration is in force. */
auto logVersionOrder (const RoutingConfiguration& before, const RoutingConfiguration& now) -> void
{
    if (now.version > before.version)
        return;

    LogLine ("configuration_version_not_rising")
        .with ("before", before.version)
        .with ("before_hash", before.contentHash)
        .with ("version", now.version)
        .with ("hash", now.contentHash)
        .with ("revision", now.revision)
        .warning();
}

/** Puts a configuration in force if it is valid and newer than the current one.

    @param received  the configuration, if other nodes handed it on
*/
auto applyConfiguration (ServingState& state,
                         const StoreFormats& formats,
                         const StoredItem& item,
                         std::optional<ReceivedConfiguration> received = {}) -> bool
{
    const auto reading = formats.readConfiguration (item);
    const auto& read = reading.configuration;
    auto& configuration = state.configuration;

    if (! read)
    {
        refuseConfiguration (state, reading, item.revision);
        publishRefusal (state);
        return false;
    }

    const auto before = configuration.current;
    const auto proofAge = proofMilliseconds (configuration, BootClock::now());

    if (! adopt (configuration, read))
        return false;

    publishRefusal (state);

    if (before)
        logVersionOrder (*before, *read);

    state.configurationSource = received ? std::optional (received->sender) : std::nullopt;
    const auto from = received ? received->from : std::string ("store");
    keepForOthers (configuration,
                   received ? std::move (received->handed) : packConfiguration (item.value, item.revision));

    LogLine ("configuration_adopted")
        .with ("version", read->version)
        .with ("before", before ? before->version : 0)
        .with ("before_proof_milliseconds", proofAge)
        .with ("before_proof_from", proofSource (configuration))
        .with ("revision", read->revision)
        .with ("from", from)
        .with ("bytes", item.value.size())
        .with ("handed_bytes", configuration.handed.bytes.size())
        .with ("hosts", read->routes.size())
        .with ("accounts", read->accounts.size())
        .info();
    return true;
}

/** Puts a configuration in force that other nodes handed on. This is no proof of freshness either. */
auto applyReceived (ServingState& state, const StoreFormats& formats) -> void
{
    auto received = std::exchange (state.transfer.received, std::nullopt);

    if (! received)
        return;

    const auto revision = received->handed.revision;

    if (state.configuration.current && revision <= state.configuration.current->revision)
        return;

    auto text = unpackConfiguration (received->handed.bytes);

    if (! text)
    {
        LogLine ("configuration_part_refused")
            .with ("reason", "not_unpacked")
            .with ("from", received->from)
            .with ("revision", revision)
            .with ("bytes", received->handed.bytes.size())
            .warning();
        return;
    }

    applyConfiguration (state, formats, { formats.configurationKey, std::move (*text), revision, 0, false },
                        std::move (received));
}

/** Reads a configuration that other nodes announced from a possibly outdated copy. This is no proof of freshness; that
    comes with the next store updates from the readers.
*/
auto readAnnouncedConfiguration (ServingState& state, const StateStore& store, const StoreFormats& formats)
    -> Task<StoreOutcome>
{
    auto& call = state.storeCalls.configuration;
    beginCall (call, "read_announced", BootClock::now());
    const auto read = co_await store.read (formats.configurationKey, ReadFreshness::secondsOld);
    endCall (call, read.outcome, BootClock::now());
    recordStoreOutcome (state, read.outcome, "configuration");

    for (const auto& item : read.items)
        if (item.revision >= state.storeUpdates.newestConfigurationRevision)
            applyConfiguration (state, formats, item);

    co_return read.outcome;
}

/** Logs a check of the configuration that was late or took long, so that rejected requests can be traced to their
    cause: whether the node is a reader, and how long the response took.
*/
auto logLateCheck (const ServingState& state, TimePoint sentAt, StoreOutcome outcome) -> void
{
    const auto now = BootClock::now();
    const auto hasConfiguration = state.configuration.current != nullptr;

    if (! hasConfiguration || (isConclusive (outcome) && now < sentAt + storeUpdateAgeLimit - checkInterval &&
                               sentAt < state.configuration.provenAt + storeUpdateAgeLimit))
        return;

    LogLine ("configuration_check_late")
        .with ("outcome", toString (outcome))
        .with ("reader", state.storeUpdates.isReader ? "yes" : "no")
        .with ("proof_milliseconds", proofMilliseconds (state.configuration, sentAt))
        .with ("news_milliseconds", inMilliseconds (sentAt - state.storeUpdates.provenAt))
        .with ("call_milliseconds", inMilliseconds (now - sentAt))
        .info();
}

/** Checks whether the current configuration is still the newest, and applies a newer one.

    @returns whether the store responded
*/
auto checkConfiguration (ServingState& state, const StateStore& store, const StoreFormats& formats)
    -> Task<bool>
{
    if (mayReadStaleConfiguration (state.storeUpdates, state.configuration, BootClock::now()))
    {
        const auto outcome = co_await readAnnouncedConfiguration (state, store, formats);

        if (! isConclusive (outcome) ||
            ! mustCheckConfiguration (state.storeUpdates, state.configuration, BootClock::now()))
            co_return isConclusive (outcome);
    }

    const auto sentAt = BootClock::now();
    std::vector<StoredItem> newer;
    auto outcome = StoreOutcome::unknown;
    beginCall (state.storeCalls.configuration, state.configuration.current ? "check" : "read", sentAt);

    if (state.configuration.current)
    {
        StoreTransaction unchanged;
        // While the newest one is refused, the store need not send it again.
        const auto held =
            std::max (state.configuration.current->revision, state.configuration.refusedRevision);
        unchanged.conditions.push_back ({ formats.configurationKey, held });
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

    endCall (state.storeCalls.configuration, outcome, BootClock::now());
    recordStoreOutcome (state, outcome, "configuration");
    logLateCheck (state, sentAt, outcome);

    if (! isConclusive (outcome))
        co_return false;

    state.storeUpdates.ownProvenAt = std::max (state.storeUpdates.ownProvenAt, sentAt);
    auto isNewest = outcome == StoreOutcome::done && state.configuration.current != nullptr &&
                    state.configuration.refusedRevision == 0;

    for (const auto& item : newer)
        if (item.revision > 0)
        {
            applyConfiguration (state, formats, item);
            // It may have come from another node meanwhile.
            isNewest = state.configuration.current && state.configuration.current->revision == item.revision;
        }

    if (isNewest)
        recordProof (state.configuration, sentAt, {});

    co_return true;
}

/** Records the result of a check at the store for the transfer from other nodes. */
auto recordCheck (ServingState& state, bool hasResponse) -> void
{
    state.transfer.isStoreFailing = ! hasResponse;

    if (const auto need = configurationNeed (state.storeUpdates, state.configuration))
        recordStoreRead (state.transfer, *need, randomFraction(), BootClock::now());

    state.transferWake->notify();
}

/** @returns the time of the next check of the configuration: after the usual pause, or earlier if its proof becomes
    overdue.
*/
auto nextCheckTime (const ServingState& state, Duration usualPause) -> TimePoint
{
    const auto now = BootClock::now();

    const auto need = configurationNeed (state.storeUpdates, state.configuration);

    if (need && ! state.storeUpdates.isReader && (need->reliesOnReaders || state.configuration.current))
        return now + std::clamp<Duration> (state.transfer.storeReadDue - now, recheckPause, usualPause);

    // While the newest configuration is refused, no response can renew the proof.
    if (state.storeUpdates.isReader || ! state.configuration.current ||
        state.configuration.refusedRevision != 0)
        return now + usualPause;

    const auto untilOverdue = proofOverdueAt (state.storeUpdates, state.configuration) - now;
    return now + std::min (usualPause, std::max<Duration> (failurePause, untilOverdue));
}

} // namespace

auto followConfiguration (ServingState& state,
                          const StateStore& store,
                          const StoreFormats& formats,
                          std::function<void()> onAdopted) -> Task<void>
{
    auto wasFresh = false;
    auto failures = std::size_t { 0 };
    auto announced = state.configuration.current;
    const auto finishAdoption = [&state, &onAdopted, &announced]
    {
        if (announced == state.configuration.current)
            return;

        announced = state.configuration.current;
        onAdopted();
        state.announceConfiguration();
    };
    const auto firstCheck = BootClock::now() - jittered (checkInterval);

    if (! state.configuration.current)
        co_await awaitDomainMembers (state);

    for (;;)
    {
        auto hasResponse = true;
        applyReceived (state, formats);
        recordNeed (state.transfer, configurationNeed (state.storeUpdates, state.configuration),
                    randomFraction(), BootClock::now());

        if (mustReadConfiguration (state.storeUpdates, state.configuration, state.transfer, BootClock::now()))
        {
            const auto result = std::make_shared<std::optional<bool>>();
            asio::co_spawn (
                state.loop, checkConfiguration (state, store, formats),
                [result, wake = state.configurationWake] (const std::exception_ptr& failed, bool responded)
                {
                    if (failed)
                        LogLine ("configuration_check_failed").with ("reason", "exception").error();

                    *result = ! failed && responded;
                    wake->notify();
                });

            // A call without a response must not delay what other nodes send meanwhile.
            while (! *result)
            {
                co_await state.configurationWake->wait (BootClock::now() + checkInterval);
                applyReceived (state, formats);
                finishAdoption();
            }

            hasResponse = **result;
            recordCheck (state, hasResponse);
        }

        failures = hasResponse ? 0 : failures + 1;

        finishAdoption();

        const auto now = BootClock::now();
        const auto fresh = isFresh (state.configuration, state.freshness, now);

        if (fresh != wasFresh)
            LogLine (fresh ? "freshness_regained" : "freshness_lost")
                .with ("proof_milliseconds", proofMilliseconds (state.configuration, now))
                .with ("proof_from", proofSource (state.configuration))
                .warning();

        wasFresh = fresh;
        const auto pause = ! hasResponse                              ? pauseAfterFailure (state, failures)
                           : state.configuration.current              ? Duration (checkInterval)
                           : mustQueryStore (state.storeUpdates, now) ? unconfiguredPause
                                                                      : Duration (recheckPause);
        const auto isRegular =
            hasResponse && state.storeUpdates.isReader && state.configuration.current != nullptr;
        co_await state.configurationWake->wait (isRegular ? nextRegularCheck (firstCheck, checkInterval, now)
                                                : hasResponse ? nextCheckTime (state, pause)
                                                              : now + pause);
    }
}

} // namespace snowrudder
