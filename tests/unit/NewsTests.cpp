#include "ServingFixtures.h"

#include "snowrudder_serving/members/DatagramCodec.h"

#include <catch2/catch.hpp>

using namespace snowrudder;
using namespace snowrudder::tests;

TEST_CASE ("a proof that is handed on counts from its question, however late the answer comes")
{
    auto reader = knowing (true);
    auto asker = knowing (false);
    asker.configuration.provenAt = start - 10s;
    reader.configuration.provenAt = start + 1s;

    // The answer lies in a paused process for three seconds.
    exchange (asker, reader, start + 2s, 3s);
    CHECK (asker.configuration.provenAt <= start + 1s);
    CHECK (asker.configuration.provenAt >= start - 1s);
}

TEST_CASE ("only an answer to a question of one's own is taken, and once")
{
    const auto reader = knowing (true);
    auto asker = knowing (false);
    asker.configuration.provenAt = start - 10s;
    const auto question = makeQuestion (asker.news, asker.directory, "asker", start);
    const auto answer =
        makeAnswer (question, reader.news, reader.configuration, reader.directory, "reader", start);

    auto strange = answer;
    strange.number = 77;
    takeAnswer (asker.news, asker.configuration, asker.directory, strange, start);
    CHECK (asker.configuration.provenAt == start - 10s);

    takeAnswer (asker.news, asker.configuration, asker.directory, answer, start);
    CHECK (asker.configuration.provenAt == start);
    asker.configuration.provenAt = start - 10s;
    takeAnswer (asker.news, asker.configuration, asker.directory, answer, start);
    CHECK (asker.configuration.provenAt == start - 10s);
}

TEST_CASE ("a proof of another configuration proves nothing, and a newer one is asked for")
{
    auto reader = knowing (true);
    auto asker = knowing (false);
    asker.configuration.provenAt = start - 1s;
    reader.configuration.current = configurationAt (8);

    CHECK (exchange (asker, reader, start).newerConfiguration);
    CHECK (asker.configuration.provenAt == start - 1s);
    CHECK (mustCheckConfiguration (asker.news, asker.configuration, start));

    // Told once: the node has been woken for it.
    CHECK_FALSE (exchange (asker, reader, start).newerConfiguration);
    asker.configuration.current = configurationAt (8);
    CHECK_FALSE (mustCheckConfiguration (asker.news, asker.configuration, start));

    reader.configuration.current = configurationAt (5);
    reader.configuration.provenAt = start + 1s;
    exchange (asker, reader, start + 1s);
    CHECK (asker.configuration.provenAt == start - 1s);
}

// A node whose readers fell silent asked the store at its next usual look, up to 0.9 s late, and refused with a proof 2.9 s old.
TEST_CASE (
    "a proof is overdue at the same time as the news that it rests on, and a node's own word renews it")
{
    auto reader = knowing (true);
    auto asker = knowing (false);
    exchange (asker, reader, start);
    CHECK (proofOverdueAt (asker.news, asker.configuration) == start + newsLimit);
    CHECK_FALSE (mustCheckConfiguration (asker.news, asker.configuration, start + newsLimit - 1ms));
    CHECK (mustCheckConfiguration (asker.news, asker.configuration, start + newsLimit));
    CHECK_FALSE (mayReadOldConfiguration (asker.news, asker.configuration, start + newsLimit));

    // News of replicas alone do not prove the configuration.
    asker.news.provenAt = start + 1s;
    CHECK (proofOverdueAt (asker.news, asker.configuration) == start + newsLimit);

    asker.news.ownProvenAt = start + 2s;
    asker.configuration.provenAt = start + 2s;
    CHECK (proofOverdueAt (asker.news, asker.configuration) == start + 2s + newsLimit);
}

TEST_CASE ("a node asks the store itself when its readers are silent or have no news themselves")
{
    auto reader = knowing (true);
    auto asker = knowing (false);
    CHECK (asksStore (asker.news, start));

    exchange (asker, reader, start);
    CHECK_FALSE (asksStore (asker.news, start + newsLimit - 1ms));
    CHECK (asksStore (asker.news, start + newsLimit + 1ms));

    // The reader is cut off: its answers come, and prove nothing new.
    exchange (asker, reader, start + 2s);
    CHECK (asksStore (asker.news, start + 2s));
    CHECK (asksStore (reader.news, start));
}

TEST_CASE ("before there is a configuration nodes leave it to their readers to look for one")
{
    // Hundreds of nodes are started seconds before the operators write the first one.
    auto reader = knowing (true);
    auto asker = knowing (false);
    reader.configuration = asker.configuration = ConfigurationState();

    exchange (asker, reader, start);
    CHECK_FALSE (asksStore (asker.news, start));
    CHECK_FALSE (mustCheckConfiguration (asker.news, asker.configuration, start));
    CHECK (mustCheckConfiguration (reader.news, reader.configuration, start));

    // The first one is heard of, by the news or by a report, and told on even where it could not be read yet.
    reader.configuration.current = configurationAt (5);
    exchange (asker, reader, start + 200ms);
    CHECK (mustCheckConfiguration (asker.news, asker.configuration, start + 200ms));
    CHECK (newestConfigurationKnown (asker.news, asker.configuration) == 5);
}

TEST_CASE ("a reader that has just started and listed no replicas has no news of them")
{
    Knowledge reader;
    auto asker = knowing (false);
    reader.news.ownProvenAt = start + 1s;

    exchange (asker, reader, start + 1s);
    CHECK (asksStore (asker.news, start + 1s));
    CHECK_FALSE (asker.news.needsList);
}

TEST_CASE ("a node that has listed the replicas waits for its readers' news before it watches")
{
    NewsState news;
    news.isReader = false;
    CHECK_FALSE (mustWatch (news, start, start + newsLimit));
    CHECK (mustWatch (news, start, start + newsLimit + 1ms));

    // News came, and ended.
    news.provenAt = start + 1s;
    CHECK_FALSE (mustWatch (news, start, start + 1s + newsLimit));
    CHECK (mustWatch (news, start, start + 1s + newsLimit + 1ms));

    news.isReader = true;
    CHECK (mustWatch (news, start, start));
}

TEST_CASE ("a reader that has proofs from others but not their changes of replicas is no source of them")
{
    // Found by a hunt: a node followed a reader that was cut off, and sent to a leaving replica for 2.8 s.
    auto source = knowing (true);
    auto cutOff = knowing (true);
    auto asker = knowing (false);
    source.configuration.provenAt = source.news.ownProvenAt = start + 4s;
    source.directory.removalsCompleteAfter = 9;
    exchange (cutOff, source, start + 4s);
    CHECK (cutOff.configuration.provenAt > start + 3s);

    exchange (asker, cutOff, start + 4s);
    CHECK (asker.configuration.provenAt > start + 3s);
    CHECK (asksStore (asker.news, start + 4s));
}

TEST_CASE ("changes of replicas are handed on after what the asker knows")
{
    auto reader = knowing (true);
    auto asker = knowing (false);
    applyEntry (reader.directory, replicaEntry ("three", 7));
    applyRemoval (reader.directory, "replicas/one", { 8, false }, start);
    reader.directory.revision = 9;

    CHECK (exchange (asker, reader, start).directory);
    CHECK (namesIn (asker.directory) == std::set<std::string> { "two", "three" });
    CHECK (asker.directory.revision == 9);
    CHECK_FALSE (exchange (asker, reader, start).directory);

    // A reader that is behind brings nothing back.
    const auto behind = knowing (true);
    exchange (asker, behind, start);
    CHECK (namesIn (asker.directory) == std::set<std::string> { "two", "three" });
}

TEST_CASE ("many changes are told the oldest first, and the rest when asked again")
{
    constexpr auto count = 100U;
    auto reader = knowing (true);
    auto asker = knowing (false);

    for (auto number = 0U; number < count; ++number)
        applyEntry (reader.directory, replicaEntry ("more-" + std::to_string (number), 10 + number));

    reader.directory.revision = 200;
    exchange (asker, reader, start);
    CHECK (asker.directory.entries.size() < count);
    CHECK (asker.directory.entries.contains ("replicas/more-0"));

    exchange (asker, reader, start);
    exchange (asker, reader, start);
    CHECK (asker.directory.entries.size() == count + 2);
    CHECK (asker.directory.revision == 200);
}

TEST_CASE ("the fullest answer fits a datagram and comes back as it was")
{
    constexpr auto count = 200U;
    auto reader = knowing (true);
    NewsState news;

    for (auto number = 0U; number < count; ++number)
    {
        auto entry = replicaEntry ("instance-" + std::to_string (1000000 + number), 10 + number);
        entry.info.endpoint = "10.100.100." + std::to_string (number) + ":65000";
        entry.info.failureDomain = "launceston-north";
        entry.isReclaimable = true;
        applyEntry (reader.directory, std::move (entry));
    }

    const auto question = makeQuestion (news, {}, "asker", start);
    const auto answer =
        makeAnswer (question, reader.news, reader.configuration, reader.directory, "reader", start + 1500us);
    const auto datagram = encodeMessage (answer, "secret");
    CHECK (datagram.size() <= largestDatagram);

    const auto message = decodeMessage (datagram, "secret");
    REQUIRE (message);
    const auto* read = std::get_if<NewsAnswer> (&*message);
    REQUIRE (read != nullptr);
    // An age is never rounded down.
    CHECK (read->proofAge == 2ms);
    CHECK (read->changes.entries.size() == answer.changes.entries.size());
    CHECK (read->changes.entries.front().info.endpoint == answer.changes.entries.front().info.endpoint);
    CHECK (read->changes.entries.front().isReclaimable);
    CHECK (read->changes.revision == answer.changes.revision);
}

TEST_CASE ("a node that knows less than the removals kept has to list")
{
    auto reader = knowing (true);
    auto asker = knowing (false);
    reader.directory.removalsCompleteAfter = 7;
    exchange (asker, reader, start);
    CHECK (asker.news.needsList);
    CHECK (asksStore (asker.news, start));

    // A reader lists in turn anyway.
    auto other = knowing (true);
    exchange (other, reader, start);
    CHECK_FALSE (other.news.needsList);
}

TEST_CASE ("a node need not list for a reader that has just started while the other one tells all changes")
{
    auto reader = knowing (true);
    auto restarted = knowing (true);
    auto asker = knowing (false);
    restarted.directory.removalsCompleteAfter = 7;
    exchange (asker, reader, start);
    exchange (asker, restarted, start + 200ms);
    CHECK_FALSE (asker.news.needsList);

    // The other one falls silent.
    restarted.news.ownProvenAt = start + 1500ms;
    exchange (asker, restarted, start + 1500ms);
    CHECK (asker.news.needsList);
}

TEST_CASE ("changes that a reader had missed make the others list")
{
    auto reader = knowing (true);
    auto asker = knowing (false);
    reader.directory.revision = 9;
    exchange (asker, reader, start);
    CHECK_FALSE (asker.news.needsList);

    // A watch was silent about revision 8; the list tells.
    applyList (reader.directory, { { replicaEntry ("one", 3), replicaEntry ("two", 8) }, {} }, 10, start,
               ListReason::check);
    CHECK (reader.directory.missedChanges == 1);
    exchange (asker, reader, start);
    CHECK (asker.news.needsList);
}

TEST_CASE ("an entry that lapses in an outage is kept for as long as the reader keeps it")
{
    auto reader = knowing (true);
    auto asker = knowing (false);
    reader.directory.keepMissingUntil = start + lapseGracePeriod;
    applyRemoval (reader.directory, "replicas/one", { 8, false }, start);
    reader.directory.revision = 8;

    exchange (asker, reader, start);
    CHECK (asker.directory.entries.at ("replicas/one").isMissing);

    // Each answer keeps it on until the reader gives it up.
    for (auto passed = 200ms; passed < 1200ms; passed += 200ms)
    {
        CHECK_FALSE (dropMissing (asker.directory, start + passed));
        exchange (asker, reader, start + passed);
    }

    // It is back.
    applyEntry (reader.directory, replicaEntry ("one", 9));
    reader.directory.revision = 9;
    exchange (asker, reader, start + 1200ms);
    CHECK_FALSE (dropMissing (asker.directory, start + lapseGracePeriod + 1s));
    CHECK (namesIn (asker.directory) == std::set<std::string> { "one", "two" });
}

TEST_CASE ("a reader that alone is cut off makes nobody keep replicas that are gone")
{
    // Found by a hunt: the cut reader took the store for away, and its followers kept a removed replica for 2.8 s.
    auto source = knowing (true);
    auto cutOff = knowing (true);
    auto asker = knowing (false);
    cutOff.directory.keepMissingUntil = TimePoint::max();
    exchange (asker, cutOff, start + 500ms);
    CHECK (asker.directory.keepMissingUntil <= start + 1200ms);

    // Others have the store: the cut node learns so, and so do those that follow it.
    source.news.ownProvenAt = source.configuration.provenAt = start + 2s;
    applyRemoval (source.directory, "replicas/one", { 8, false }, start + 2s);
    source.directory.revision = 8;
    exchange (cutOff, source, start + 2s);
    CHECK_FALSE (cutOff.directory.entries.contains ("replicas/one"));
    exchange (asker, cutOff, start + 2100ms);
    CHECK (asker.directory.keepMissingUntil <= start + 2200ms);
    CHECK (namesIn (asker.directory) == std::set<std::string> { "two" });
}

TEST_CASE ("an entry that can't be read any more names no replica, here and where it is told, until it can "
           "be read again")
{
    auto reader = knowing (true);
    auto asker = knowing (false);

    // Not even right after an outage, when entries that go are kept for a while.
    reader.directory.keepMissingUntil = start + 10s;
    applyRemoval (reader.directory, "replicas/one", { 8, true }, start);
    reader.directory.revision = 8;
    CHECK (namesIn (reader.directory) == std::set<std::string> { "two" });

    exchange (asker, reader, start);
    CHECK (namesIn (asker.directory) == std::set<std::string> { "two" });

    // A list says the same, and the others hold.
    applyList (reader.directory, { { replicaEntry ("two", 4) }, { { "replicas/one", { 8, true } } } }, 8,
               start, ListReason::check);
    CHECK (namesIn (reader.directory) == std::set<std::string> { "two" });

    applyEntry (reader.directory, replicaEntry ("one", 10));
    reader.directory.revision = 10;
    exchange (asker, reader, start + 1s);
    CHECK (namesIn (asker.directory) == std::set<std::string> { "one", "two" });
}

TEST_CASE ("a late write of a replica's earlier start does not bring it back")
{
    auto node = knowing (true);
    auto entry = replicaEntry ("one", 7);
    entry.info.born = 2000;
    applyEntry (node.directory, entry);
    entry.revision = 8;
    entry.info.born = 1000;
    entry.isLeaving = true;
    applyEntry (node.directory, entry);
    CHECK (node.directory.entries.at ("replicas/one").info.born == 2000);
    CHECK_FALSE (node.directory.entries.at ("replicas/one").isLeaving);

    // Told on with the replica.
    auto asker = knowing (false);
    node.directory.revision = 8;
    exchange (asker, node, start);
    CHECK (asker.directory.entries.at ("replicas/one").info.born == 2000);
}

TEST_CASE ("a node lists the members only when a reader's list differs from its own, or no reader tells")
{
    NewsState news;
    news.isReader = false;
    CHECK (mustListMembers (news, start));
    news.membersHash = 5;
    news.membersHashHeard = 5;
    news.membersHeardAt = start;
    CHECK_FALSE (mustListMembers (news, start + membersWordTime));
    CHECK (mustListMembers (news, start + membersWordTime + 1ms));
    news.membersHashHeard = 6;
    CHECK (mustListMembers (news, start));
    news.membersHashHeard = 5;
    news.isReader = true;
    CHECK (mustListMembers (news, start));
}

TEST_CASE (
    "a node whose reader can't read a newer configuration hears of it, though its other news stay fresh")
{
    auto reader = knowing (true);
    auto member = knowing (false);
    auto elsewhere = knowing (true);
    elsewhere.configuration.current = configurationAt (9);

    // The store turns the reader away; another reader's word keeps its knowledge of the replicas fresh.
    const auto later = start + 3s;
    elsewhere.news.ownProvenAt = later;
    exchange (reader, elsewhere, later);
    exchange (member, reader, later + 10ms);
    REQUIRE_FALSE (asksStore (member.news, later + 20ms));
    REQUIRE (member.configuration.current->revision == 5);

    // What it reports, in answer to the member's own report.
    const auto told = newestConfigurationKnown (reader.news, reader.configuration);
    CHECK (told == 9);
    CHECK (noteConfigurationHeard (member.news, member.configuration, told));
    CHECK (mustCheckConfiguration (member.news, member.configuration, later + 20ms));

    CHECK (newestConfigurationKnown (NewsState(), ConfigurationState()) == 0);
}
