#include "ServingFixtures.h"

#include "snowrudder_serving/members/DatagramCodec.h"

#include "snowrudder_serving/members/ReportTimes.h"

#include <catch2/catch.hpp>

using namespace snowrudder;
using namespace snowrudder::tests;

TEST_CASE ("a forwarded proof is dated from its query, however late the response arrives")
{
    auto reader = makeStoreView (true);
    auto requester = makeStoreView (false);
    requester.configuration.provenAt = start - 10s;
    reader.configuration.provenAt = start + 1s;

    // A paused process delays the response by three seconds.
    queryReader (requester, reader, start + 2s, 3s);
    CHECK (requester.configuration.provenAt <= start + 1s);
    CHECK (requester.configuration.provenAt >= start - 1s);
}

TEST_CASE ("a response is applied only to an open query, and only once")
{
    const auto reader = makeStoreView (true);
    auto requester = makeStoreView (false);
    requester.configuration.provenAt = start - 10s;
    const auto query = makeStoreUpdateQuery (requester.storeUpdates, requester.directory, "asker", start);
    const auto response = makeStoreUpdateResponse (query, reader.storeUpdates, reader.configuration,
                                                   reader.directory, "reader", start);

    auto strange = response;
    strange.number = 77;
    applyStoreUpdateResponse (requester.storeUpdates, requester.configuration, requester.directory, strange,
                              start);
    CHECK (requester.configuration.provenAt == start - 10s);

    applyStoreUpdateResponse (requester.storeUpdates, requester.configuration, requester.directory, response,
                              start);
    CHECK (requester.configuration.provenAt == start);
    requester.configuration.provenAt = start - 10s;
    applyStoreUpdateResponse (requester.storeUpdates, requester.configuration, requester.directory, response,
                              start);
    CHECK (requester.configuration.provenAt == start - 10s);
}

// Guards against query numbers that begin again at each start: the response would date the old proof from the new query.
TEST_CASE ("a response to the process before is ignored by the one that follows it")
{
    const auto reader = makeStoreView (true);
    auto before = makeStoreView (false);
    auto after = makeStoreView (false);
    after.configuration.provenAt = start - 10s;

    const auto query = makeStoreUpdateQuery (before.storeUpdates, before.directory, "asker", start);
    const auto delayed = makeStoreUpdateResponse (query, reader.storeUpdates, reader.configuration,
                                                  reader.directory, "reader", start);

    for (auto number = 0; number < 8; ++number)
        makeStoreUpdateQuery (after.storeUpdates, after.directory, "asker", start + 3s);

    CHECK_FALSE (applyStoreUpdateResponse (after.storeUpdates, after.configuration, after.directory, delayed,
                                           start + 3s)
                     .isMatched);
    CHECK (after.configuration.provenAt == start - 10s);
}

TEST_CASE ("a proof of another configuration is ignored, and a newer configuration is checked at the store")
{
    auto reader = makeStoreView (true);
    auto requester = makeStoreView (false);
    requester.configuration.provenAt = start - 1s;
    reader.configuration.current = configurationAt (8);

    CHECK (queryReader (requester, reader, start).newerConfiguration);
    CHECK (requester.configuration.provenAt == start - 1s);
    CHECK (mustCheckConfiguration (requester.storeUpdates, requester.configuration, start));

    // Signalled only once, since the node has been woken for it.
    CHECK_FALSE (queryReader (requester, reader, start).newerConfiguration);
    requester.configuration.current = configurationAt (8);
    CHECK_FALSE (mustCheckConfiguration (requester.storeUpdates, requester.configuration, start));

    reader.configuration.current = configurationAt (5);
    reader.configuration.provenAt = start + 1s;
    queryReader (requester, reader, start + 1s);
    CHECK (requester.configuration.provenAt == start - 1s);
}

// Guards against a check that is left to the next regular one: a node whose readers fell silent then queried the store
// up to 0.9 s late, and refused requests because its proof was 2.9 s old.
TEST_CASE ("a proof is overdue together with its store update, and a response of the store renews it")
{
    auto reader = makeStoreView (true);
    auto requester = makeStoreView (false);
    queryReader (requester, reader, start);
    CHECK (proofOverdueAt (requester.storeUpdates, requester.configuration) == start + storeUpdateAgeLimit);
    CHECK_FALSE (mustCheckConfiguration (requester.storeUpdates, requester.configuration,
                                         start + storeUpdateAgeLimit - 1ms));
    CHECK (mustCheckConfiguration (requester.storeUpdates, requester.configuration,
                                   start + storeUpdateAgeLimit));
    CHECK_FALSE (mayReadStaleConfiguration (requester.storeUpdates, requester.configuration,
                                            start + storeUpdateAgeLimit));

    // Updates of replicas alone don't prove the configuration.
    requester.storeUpdates.provenAt = start + 1s;
    CHECK (proofOverdueAt (requester.storeUpdates, requester.configuration) == start + storeUpdateAgeLimit);

    requester.storeUpdates.ownProvenAt = start + 2s;
    requester.configuration.provenAt = start + 2s;
    CHECK (proofOverdueAt (requester.storeUpdates, requester.configuration) ==
           start + 2s + storeUpdateAgeLimit);
}

TEST_CASE ("a node queries the store itself when its readers are silent or have no recent updates themselves")
{
    auto reader = makeStoreView (true);
    auto requester = makeStoreView (false);
    CHECK (mustQueryStore (requester.storeUpdates, start));

    queryReader (requester, reader, start);
    CHECK_FALSE (mustQueryStore (requester.storeUpdates, start + storeUpdateAgeLimit - 1ms));
    CHECK (mustQueryStore (requester.storeUpdates, start + storeUpdateAgeLimit + 1ms));

    // The reader is cut off from the store: its responses arrive, but without a newer proof.
    queryReader (requester, reader, start + 2s);
    CHECK (mustQueryStore (requester.storeUpdates, start + 2s));
    CHECK (mustQueryStore (reader.storeUpdates, start));
}

TEST_CASE ("before the first configuration exists, only readers check for one")
{
    // Hundreds of nodes may start seconds before the operators write the first configuration.
    auto reader = makeStoreView (true);
    auto requester = makeStoreView (false);
    reader.configuration = requester.configuration = ConfigurationState();

    queryReader (requester, reader, start);
    CHECK_FALSE (mustQueryStore (requester.storeUpdates, start));
    CHECK_FALSE (mustCheckConfiguration (requester.storeUpdates, requester.configuration, start));
    CHECK (mustCheckConfiguration (reader.storeUpdates, reader.configuration, start));

    // The first one is announced by a store update or a report, and is announced further even if it could not be read
    // yet.
    reader.configuration.current = configurationAt (5);
    queryReader (requester, reader, start + 200ms);
    CHECK (mustCheckConfiguration (requester.storeUpdates, requester.configuration, start + 200ms));
    CHECK (newestKnownConfigurationRevision (requester.storeUpdates, requester.configuration) == 5);
}

TEST_CASE ("a reader that has just started and has not listed the replicas sends no updates of them")
{
    StoreView reader;
    auto requester = makeStoreView (false);
    reader.storeUpdates.ownProvenAt = start + 1s;
    reader.storeUpdates.ownDirectoryProvenAt = start + 1s;

    queryReader (requester, reader, start + 1s);
    CHECK (mustQueryStore (requester.storeUpdates, start + 1s));
    CHECK_FALSE (requester.storeUpdates.mustListReplicas);
}

TEST_CASE ("a node that has listed the replicas waits for its readers' updates before it watches")
{
    StoreUpdateState storeUpdates;
    storeUpdates.isReader = false;
    CHECK_FALSE (mustWatchReplicas (storeUpdates, start, start + storeUpdateAgeLimit));
    CHECK (mustWatchReplicas (storeUpdates, start, start + storeUpdateAgeLimit + 1ms));

    // Updates arrived, and stopped.
    storeUpdates.provenAt = start + 1s;
    CHECK_FALSE (mustWatchReplicas (storeUpdates, start, start + 1s + storeUpdateAgeLimit));
    CHECK (mustWatchReplicas (storeUpdates, start, start + 1s + storeUpdateAgeLimit + 1ms));

    storeUpdates.isReader = true;
    CHECK (mustWatchReplicas (storeUpdates, start, start));
}

TEST_CASE ("a reader with proofs but without changes of replicas from other nodes is no source of changes")
{
    // Otherwise a node that relies on a reader that is cut off sends requests to a leaving replica, for 2.8 s in one
    // case.
    auto source = makeStoreView (true);
    auto cutOff = makeStoreView (true);
    auto requester = makeStoreView (false);
    source.configuration.provenAt = source.storeUpdates.ownProvenAt = start + 4s;
    source.storeUpdates.ownDirectoryProvenAt = start + 4s;
    source.directory.removalsCompleteAfter = 9;
    queryReader (cutOff, source, start + 4s);
    CHECK (cutOff.configuration.provenAt > start + 3s);

    queryReader (requester, cutOff, start + 4s);
    CHECK (requester.configuration.provenAt > start + 3s);
    CHECK (mustQueryStore (requester.storeUpdates, start + 4s));
}

TEST_CASE (
    "a reader that proves the configuration but can't read the replicas does not pass for a source of them")
{
    auto reader = makeStoreView (true);
    auto requester = makeStoreView (false);
    const auto later = start + storeUpdateAgeLimit + 1s;
    reader.storeUpdates.ownProvenAt = reader.configuration.provenAt = later;

    queryReader (requester, reader, later);
    // The reader's ages are as of its response, which is half a round trip after the query.
    CHECK (requester.configuration.provenAt >= later - 1ms);
    CHECK (requester.storeUpdates.provenAt <= start);
    CHECK (mustQueryStore (requester.storeUpdates, later));
}

TEST_CASE ("a response contains the changes of replicas after the revision given in the query")
{
    auto reader = makeStoreView (true);
    auto requester = makeStoreView (false);
    applyEntry (reader.directory, replicaEntry ("three", 7));
    applyRemoval (reader.directory, "replicas/one", { 8, false }, start);
    reader.directory.revision = 9;

    CHECK (queryReader (requester, reader, start).directory);
    CHECK (replicaNames (requester.directory) == std::set<std::string> { "two", "three" });
    CHECK (requester.directory.revision == 9);
    CHECK_FALSE (queryReader (requester, reader, start).directory);

    // A reader with an older revision doesn't restore removed entries.
    const auto behind = makeStoreView (true);
    queryReader (requester, behind, start);
    CHECK (replicaNames (requester.directory) == std::set<std::string> { "two", "three" });
}

TEST_CASE ("many changes are sent oldest first, and the rest in response to further queries")
{
    constexpr auto count = 100U;
    auto reader = makeStoreView (true);
    auto requester = makeStoreView (false);

    for (auto number = 0U; number < count; ++number)
        applyEntry (reader.directory, replicaEntry ("more-" + std::to_string (number), 10 + number));

    reader.directory.revision = 200;
    queryReader (requester, reader, start);
    CHECK (requester.directory.entries.size() < count);
    CHECK (requester.directory.entries.contains ("replicas/more-0"));

    queryReader (requester, reader, start);
    queryReader (requester, reader, start);
    CHECK (requester.directory.entries.size() == count + 2);
    CHECK (requester.directory.revision == 200);
}

TEST_CASE ("the largest response fits into a datagram and is decoded without loss")
{
    constexpr auto count = 200U;
    auto reader = makeStoreView (true);
    StoreUpdateState storeUpdates;

    for (auto number = 0U; number < count; ++number)
    {
        auto entry = replicaEntry ("instance-" + std::to_string (1000000 + number), 10 + number);
        entry.info.endpoint = "10.100.100." + std::to_string (number) + ":65000";
        entry.info.failureDomain = "launceston-north";
        entry.isReclaimable = true;
        applyEntry (reader.directory, std::move (entry));
        reader.directory.revision = 10 + number;
    }

    const auto query = makeStoreUpdateQuery (storeUpdates, {}, "asker", start);
    const auto response = makeStoreUpdateResponse (query, reader.storeUpdates, reader.configuration,
                                                   reader.directory, "reader", start + 1500us);
    const auto datagram = encodeMessage (response, "secret");
    CHECK (datagram.size() <= maxDatagramSize);

    const auto message = decodeMessage (datagram, "secret");
    REQUIRE (message);
    const auto* read = std::get_if<StoreUpdateResponse> (&*message);
    REQUIRE (read != nullptr);
    // An age is never rounded down.
    CHECK (read->proofAge == 2ms);
    CHECK (read->changes.entries.size() == response.changes.entries.size());
    CHECK (read->changes.entries.back().info.endpoint == response.changes.entries.back().info.endpoint);
    CHECK (read->changes.entries.back().isReclaimable);
    CHECK (read->changes.revision == response.changes.revision);
}

TEST_CASE ("a node whose revision is older than the recorded removals has to list the replicas")
{
    auto reader = makeStoreView (true);
    auto requester = makeStoreView (false);
    reader.directory.removalsCompleteAfter = 7;
    queryReader (requester, reader, start);
    CHECK (requester.storeUpdates.mustListReplicas);
    CHECK (mustQueryStore (requester.storeUpdates, start));

    // A reader lists periodically anyway.
    auto other = makeStoreView (true);
    queryReader (other, reader, start);
    CHECK_FALSE (other.storeUpdates.mustListReplicas);
}

TEST_CASE ("a reader that has just started causes no list while the other reader sends all changes")
{
    auto reader = makeStoreView (true);
    auto restarted = makeStoreView (true);
    auto requester = makeStoreView (false);
    restarted.directory.removalsCompleteAfter = 7;
    queryReader (requester, reader, start);
    queryReader (requester, restarted, start + 200ms);
    CHECK_FALSE (requester.storeUpdates.mustListReplicas);

    // The other reader falls silent.
    restarted.storeUpdates.ownDirectoryProvenAt = start + 1500ms;
    queryReader (requester, restarted, start + 1500ms);
    CHECK (requester.storeUpdates.mustListReplicas);
}

TEST_CASE ("changes that a reader had missed cause the other nodes to list")
{
    auto reader = makeStoreView (true);
    auto requester = makeStoreView (false);
    reader.directory.revision = 9;
    queryReader (requester, reader, start);
    CHECK_FALSE (requester.storeUpdates.mustListReplicas);

    // The watch left out revision 8; the list reveals it.
    applyList (reader.directory, { { replicaEntry ("one", 3), replicaEntry ("two", 8) }, {} }, 10, start,
               ListReason::check);
    CHECK (reader.directory.missedChanges == 1);
    queryReader (requester, reader, start);
    CHECK (requester.storeUpdates.mustListReplicas);
}

TEST_CASE ("an entry that expires in an outage is kept for as long as the reader keeps it")
{
    auto reader = makeStoreView (true);
    auto requester = makeStoreView (false);
    reader.directory.keepMissingUntil = start + lapseGracePeriod;
    applyRemoval (reader.directory, "replicas/one", { 8, false }, start);
    reader.directory.revision = 8;

    queryReader (requester, reader, start);
    CHECK (requester.directory.entries.at ("replicas/one").isMissing);

    // Each response extends this until the reader drops the entry.
    for (auto passed = 200ms; passed < 1200ms; passed += 200ms)
    {
        CHECK_FALSE (dropMissing (requester.directory, start + passed));
        queryReader (requester, reader, start + passed);
    }

    // The entry returns.
    applyEntry (reader.directory, replicaEntry ("one", 9));
    reader.directory.revision = 9;
    queryReader (requester, reader, start + 1200ms);
    CHECK_FALSE (dropMissing (requester.directory, start + lapseGracePeriod + 1s));
    CHECK (replicaNames (requester.directory) == std::set<std::string> { "one", "two" });
}

TEST_CASE ("a reader that alone is cut off makes no other node keep removed replicas")
{
    // Otherwise the reader takes the store for unreachable, and its followers keep a removed replica, for 2.8 s in one
    // case.
    auto source = makeStoreView (true);
    auto cutOff = makeStoreView (true);
    auto requester = makeStoreView (false);
    cutOff.directory.keepMissingUntil = TimePoint::max();
    queryReader (requester, cutOff, start + 500ms);
    CHECK (requester.directory.keepMissingUntil <= start + 1200ms);

    // Other readers reach the store: the cut-off reader learns this from them, and so do its followers.
    source.storeUpdates.ownDirectoryProvenAt = source.configuration.provenAt = start + 2s;
    applyRemoval (source.directory, "replicas/one", { 8, false }, start + 2s);
    source.directory.revision = 8;
    queryReader (cutOff, source, start + 2s);
    CHECK_FALSE (cutOff.directory.entries.contains ("replicas/one"));
    queryReader (requester, cutOff, start + 2100ms);
    CHECK (requester.directory.keepMissingUntil <= start + 2200ms);
    CHECK (replicaNames (requester.directory) == std::set<std::string> { "two" });
}

TEST_CASE ("an entry that can no longer be read names no replica, locally and at receivers, until it can be "
           "read again")
{
    auto reader = makeStoreView (true);
    auto requester = makeStoreView (false);

    // This holds even right after an outage, when missing entries are kept for a while.
    reader.directory.keepMissingUntil = start + 10s;
    applyRemoval (reader.directory, "replicas/one", { 8, true }, start);
    reader.directory.revision = 8;
    CHECK (replicaNames (reader.directory) == std::set<std::string> { "two" });

    queryReader (requester, reader, start);
    CHECK (replicaNames (requester.directory) == std::set<std::string> { "two" });

    // A list has the same effect, and keeps the other entries.
    applyList (reader.directory, { { replicaEntry ("two", 4) }, { { "replicas/one", { 8, true } } } }, 8,
               start, ListReason::check);
    CHECK (replicaNames (reader.directory) == std::set<std::string> { "two" });

    applyEntry (reader.directory, replicaEntry ("one", 10));
    reader.directory.revision = 10;
    queryReader (requester, reader, start + 1s);
    CHECK (replicaNames (requester.directory) == std::set<std::string> { "one", "two" });
}

TEST_CASE ("a late write of a replica's earlier start is ignored")
{
    auto node = makeStoreView (true);
    auto entry = replicaEntry ("one", 7);
    entry.info.born = 2000;
    applyEntry (node.directory, entry);
    entry.revision = 8;
    entry.info.born = 1000;
    entry.isLeaving = true;
    applyEntry (node.directory, entry);
    CHECK (node.directory.entries.at ("replicas/one").info.born == 2000);
    CHECK_FALSE (node.directory.entries.at ("replicas/one").isLeaving);

    // The time of the start is sent along with the replica.
    auto requester = makeStoreView (false);
    node.directory.revision = 8;
    queryReader (requester, node, start);
    CHECK (requester.directory.entries.at ("replicas/one").info.born == 2000);
}

TEST_CASE ("a node lists the members only if a reader's list differs or no reader sends its hash")
{
    StoreUpdateState storeUpdates;
    storeUpdates.isReader = false;
    CHECK (mustListMembers (storeUpdates, start));
    storeUpdates.membersHash = 5;
    storeUpdates.readerMembersHash = 5;
    storeUpdates.readerMembersHashAt = start;
    CHECK_FALSE (mustListMembers (storeUpdates, start + readerMembersValidity));
    CHECK (mustListMembers (storeUpdates, start + readerMembersValidity + 1ms));
    storeUpdates.readerMembersHash = 6;
    CHECK (mustListMembers (storeUpdates, start));
    storeUpdates.readerMembersHash = 5;
    storeUpdates.isReader = true;
    CHECK (mustListMembers (storeUpdates, start));
}

TEST_CASE ("a node learns of a configuration that its reader can't read, though its other updates stay fresh")
{
    auto reader = makeStoreView (true);
    auto member = makeStoreView (false);
    auto elsewhere = makeStoreView (true);
    elsewhere.configuration.current = configurationAt (9);

    // The store refuses the reader; responses of another reader keep its replica directory fresh.
    const auto later = start + 3s;
    elsewhere.storeUpdates.ownDirectoryProvenAt = later;
    queryReader (reader, elsewhere, later);
    queryReader (member, reader, later + 10ms);
    REQUIRE_FALSE (mustQueryStore (member.storeUpdates, later + 20ms));
    REQUIRE (member.configuration.current->revision == 5);

    // The revision that the reader reports, in response to the member's own report.
    const auto reported = newestKnownConfigurationRevision (reader.storeUpdates, reader.configuration);
    CHECK (reported == 9);
    CHECK (recordPeerConfigurationRevision (member.storeUpdates, member.configuration, reported));
    CHECK (mustCheckConfiguration (member.storeUpdates, member.configuration, later + 20ms));

    CHECK (newestKnownConfigurationRevision (StoreUpdateState(), ConfigurationState()) == 0);
}

TEST_CASE ("a change of the members reaches the nodes of a large fleet without a list of all members")
{
    auto reader = makeStoreView (true);
    auto requester = makeStoreView (false);
    reader.storeUpdates.members = { 20, 77, 986, { { "10.0.0.1:7600", "hall-a", true } } };
    requester.storeUpdates.membersHash = 55;
    requester.storeUpdates.membersListedAt = start;
    requester.storeUpdates.members = { 10, 55, 985, {} };

    const auto query = makeStoreUpdateQuery (requester.storeUpdates, requester.directory, "asker", start);
    const auto response = makeStoreUpdateResponse (query, reader.storeUpdates, reader.configuration,
                                                   reader.directory, "reader", start);
    auto message = decodeMessage (encodeMessage (response, "secret", start), "secret", start);
    REQUIRE (message);
    const auto effect =
        applyStoreUpdateResponse (requester.storeUpdates, requester.configuration, requester.directory,
                                  std::get<StoreUpdateResponse> (std::move (*message)), start);
    CHECK (effect.members);
    CHECK (requester.storeUpdates.members.count == 986);
    CHECK (requester.storeUpdates.members.readers == reader.storeUpdates.members.readers);
    CHECK_FALSE (mustListMembers (requester.storeUpdates, start + 1s));

    // Announcements need all addresses, which a node lists from time to time.
    requester.storeUpdates.readerMembersHashAt = start + membersSummaryValidity;
    CHECK (mustListMembers (requester.storeUpdates, start + membersSummaryValidity + 1ms));

    // It is sent once only, and one that is older changes nothing.
    CHECK_FALSE (queryReader (requester, reader, start + 1s).members);
    reader.storeUpdates.members = { 15, 66, 984, {} };
    CHECK_FALSE (queryReader (requester, reader, start + 2s).members);
    CHECK (requester.storeUpdates.members.count == 986);
    CHECK_FALSE (mustListMembers (requester.storeUpdates, start + 2s));

    // Nodes of a small fleet need the addresses of all others.
    reader.storeUpdates.members = { 30, 88, maxDirectNodes, {} };
    CHECK_FALSE (queryReader (requester, reader, start + 3s).members);
    CHECK (mustListMembers (requester.storeUpdates, start + 3s));
}
