#pragma once

#include "../configuration/ConfigurationState.h"
#include "../directory/ReplicaDirectory.h"
#include "SharedLoads.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace snowrudder
{

/** Asked by a node that lets others read the state store for it, or that the store turns away. */
struct StoreUpdateQuery
{
    std::string node;
    /** Repeated in the answer. */
    std::uint64_t number = 0;
    /** Up to which revision of the store the asker knows the replicas' changes. */
    std::uint64_t directoryRevision = 0;
    /** Loads that the asker heard since its last question. */
    std::vector<SharedLoad> loads;
};

/** What a node knows of the state store. */
struct StoreUpdateResponse
{
    std::string node;
    std::uint64_t number = 0;
    /** Revision of its configuration, and how old the proof is that it was the newest. */
    std::uint64_t configurationRevision = 0;
    Duration proofAge {};
    /** How old its knowledge of the replicas is; it may have proofs of the configuration from others that are younger. */
    Duration directoryAge {};
    DirectoryChanges changes;
    /** Of its directory; see there. */
    std::uint64_t missedChanges = 0;
    /** For so long entries that go missing may come back. */
    Duration keepMissing {};
    /** Loads that anybody heard lately. */
    std::vector<SharedLoad> loads;
    /** Of the members that it listed. */
    std::uint64_t membersHash = 0;
    std::vector<Rollout> rollouts;
    /** Whether the operators' orders of roll-outs were read: none told are none given. */
    bool areRolloutsKnown = false;
};

/** What a node knows from others of the state store, and what it asked. */
struct StoreUpdateState
{
    struct SentQuery
    {
        std::uint64_t number = 0;
        TimePoint sent {};
    };

    /** Whether this node reads the store itself, hands on to the others of its failure domain what it knows, and gathers their
        reports.
    */
    bool isReader = true;
    /** Of the members as this node listed them, and as a reader told that it did; zero where none did. */
    std::uint64_t membersHash = 0;
    std::uint64_t readerMembersHash = 0;
    TimePoint readerMembersHashAt {};
    /** The latest time at which this node itself had the store's word. */
    TimePoint ownProvenAt {};
    /** The latest time up to which others told all changes of replicas. */
    TimePoint provenAt {};
    /** The newest configuration that any node told of. */
    std::uint64_t newestConfigurationRevision = 0;
    /** Whether the replicas have to be listed anew: others can't tell all that was missed. */
    bool mustListReplicas = true;
    std::uint64_t lastQueryNumber = 0;
    /** The last questions that may still be answered. */
    std::deque<SentQuery> openQueries;
    /** Changes that other nodes had missed when they were last heard. */
    std::map<std::string, std::uint64_t, std::less<>> missedChanges;
};

/** A reader proves its configuration every 0.9 s, and a node asks its two readers in turn every 0.2 s: while one of them
    lives no news is older than this. A leaving replica must get nothing after 2 s.
*/
inline constexpr auto storeUpdateAgeLimit = Duration (1800ms);

/** News this old are a reason to ask nodes of other failure domains too. */
inline constexpr auto storeUpdateOverdueAge = Duration (1300ms);

/** @returns whether a node must ask the store itself. */
inline auto mustQueryStore (const StoreUpdateState& storeUpdates, TimePoint now) -> bool
{
    return storeUpdates.isReader || now - storeUpdates.provenAt > storeUpdateAgeLimit;
}

/** @returns when a node's proof of its configuration is so old that it must ask the store, unless it has a younger one before. Asked only
    at the next of its usual looks, the store's word came up to a look's interval later, after the proof's end.
*/
inline auto proofOverdueAt (const StoreUpdateState& storeUpdates, const ConfigurationState& configuration) -> TimePoint
{
    const auto heardAt = std::max (storeUpdates.provenAt, storeUpdates.ownProvenAt);
    return std::min (heardAt, configuration.provenAt) + storeUpdateAgeLimit;
}

/** A reader's word of the members is good for so long: it lists them every 2 s. */
inline constexpr auto readerMembersValidity = Duration (3s);

/** @returns whether the members must be listed at the store: always at readers, elsewhere when a reader's list differs from
    this node's or none told of it lately. In a fleet of 295 nodes that all listed every 2 s, these were 1,000 calls in
    66 s by their price, and a fifth of all bytes.
*/
inline auto mustListMembers (const StoreUpdateState& storeUpdates, TimePoint now) -> bool
{
    return storeUpdates.isReader || storeUpdates.membersHash == 0 || storeUpdates.readerMembersHash != storeUpdates.membersHash ||
           now - storeUpdates.readerMembersHashAt > readerMembersValidity;
}

/** @returns whether a node must follow the replicas' changes at the store itself. Its own list is as good as others' news for
    as long as these are: nodes that start together know their readers long before they have been answered by them.

    @param listedAt  when this node asked for the list of replicas that it has
*/
inline auto mustWatchReplicas (const StoreUpdateState& storeUpdates, TimePoint listedAt, TimePoint now) -> bool
{
    return mustQueryStore (storeUpdates, now) && (storeUpdates.isReader || now - listedAt > storeUpdateAgeLimit);
}

/** @returns whether the configuration must be asked for at the store. Before there is a first one, nodes wait for the readers'
    word too: a quiet day of 77 nodes took 3,040 and 3,159 calls by their price, with this and mustWatchReplicas() 2,548.
*/
inline auto mustCheckConfiguration (const StoreUpdateState& storeUpdates,
                                    const ConfigurationState& configuration,
                                    TimePoint now) -> bool
{
    const auto held = configuration.current ? configuration.current->revision : 0;
    const auto isOverdue = configuration.current && now >= proofOverdueAt (storeUpdates, configuration);
    return mustQueryStore (storeUpdates, now) || isOverdue || held < storeUpdates.newestConfigurationRevision;
}

/** @returns whether the configuration that was heard of may be read from an answer that is seconds old. Others read the store for
    this node and told it the revision to look for, so that it sees whether the answer is old; nodes that are the first to
    learn of a change need the newest word. Of 522 such answers 447 were new enough, for a tenth of the price.
*/
inline auto mayReadStaleConfiguration (const StoreUpdateState& storeUpdates,
                                     const ConfigurationState& configuration,
                                     TimePoint now) -> bool
{
    const auto isOverdue = now >= proofOverdueAt (storeUpdates, configuration);
    return mustCheckConfiguration (storeUpdates, configuration, now) && ! mustQueryStore (storeUpdates, now) && ! isOverdue;
}

/** Notes the revision of another node's configuration.

    @returns whether it is newer than this node's and was not heard of before
*/
auto recordPeerConfigurationRevision (StoreUpdateState& storeUpdates, const ConfigurationState& configuration, std::uint64_t revision)
    -> bool;

/** @returns the newest revision of the configuration that a node has or heard of; 0 where there is none. A reader that the store turns
    away hears of a newer one from others and can't read it, while the replicas' changes that others tell keep its news fresh:
    nodes that heard only of the reader's own configuration asked nobody else, and one kept to an old one for 4.7 s.
*/
auto newestKnownConfigurationRevision (const StoreUpdateState& storeUpdates, const ConfigurationState& configuration)
    -> std::uint64_t;

/** @returns the next question, noted as sent now. */
auto makeStoreUpdateQuery (StoreUpdateState& storeUpdates, const ReplicaDirectory& directory, std::string node, TimePoint now)
    -> StoreUpdateQuery;

/** @returns the answer to a question. */
auto makeStoreUpdateResponse (const StoreUpdateQuery& query,
                 const StoreUpdateState& storeUpdates,
                 const ConfigurationState& configuration,
                 const ReplicaDirectory& directory,
                 std::string node,
                 TimePoint now) -> StoreUpdateResponse;

/** What an answer changed. */
struct StoreUpdateEffect
{
    bool directory = false;
    bool newerConfiguration = false;
};

/** Takes an answer in. Ages count from the time at which its question was sent: an answer that lay in a paused process or
    on the way only looks older than it is.
*/
auto applyStoreUpdateResponse (StoreUpdateState& storeUpdates,
                 ConfigurationState& configuration,
                 ReplicaDirectory& directory,
                 StoreUpdateResponse response,
                 TimePoint now) -> StoreUpdateEffect;

} // namespace snowrudder
