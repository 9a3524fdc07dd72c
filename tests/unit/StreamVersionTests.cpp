#include "StreamWorld.h"

#include "snowrudder_serving/members/StoreUpdates.h"
#include "snowrudder_serving/streams/VersionRegistry.h"

#include <catch2/catch.hpp>

#include <malloc.h>

using namespace snowrudder;

namespace
{

constexpr auto now = TimePoint (std::chrono::hours (1));

auto listed (std::string name, std::string version, bool isLeaving = false) -> ListedReplica
{
    ReplicaInfo info;
    info.name = std::move (name);
    info.service = "service";
    info.version = std::move (version);
    return { info, isLeaving };
}

auto stream (StreamKey key, std::uint32_t version, TimePoint begun = now) -> KnownStream
{
    return { key, { version, 7 }, begun, false };
}

/** Plays seeds and adds up what was counted. */
auto playSeeds (std::size_t nodes, std::uint64_t seeds, StreamFaults faults) -> StreamRun
{
    StreamRun total;

    for (auto seed = std::uint64_t { 0 }; seed < seeds; ++seed)
    {
        const auto run = playStreams (nodes, seed, faults);
        total.streams += run.streams;
        total.crossed += run.crossed;
        total.possible += run.possible;
        total.wentOn += run.wentOn;
        total.mostAsked = std::max (total.mostAsked, run.mostAsked);

        if (total.firstCrossed.empty() && run.crossed > 0)
            total.firstCrossed = "seed " + std::to_string (seed) + ": " + run.firstCrossed;
    }

    return total;
}

auto share (const StreamRun& run) -> double
{
    return static_cast<double> (run.wentOn) / static_cast<double> (run.possible);
}

constexpr auto seedsOfTenThousandStreams = std::uint64_t { 500 };

} // namespace

TEST_CASE ("no stream of 10,000 goes on at another version under any faults")
{
    const auto nodes = GENERATE (std::size_t { 7 }, 83, 295, 986);
    const auto run = playSeeds (nodes, seedsOfTenThousandStreams, StreamFaults::all);
    CAPTURE (nodes, run.firstCrossed, run.possible, run.wentOn);
    CHECK (run.streams == 10'000);
    CHECK (run.crossed == 0);
    CHECK (run.mostAsked <= askedHolders);
}

// Guards against a list of replicas that is older than the restart of one of them.
TEST_CASE ("no stream of 10,000 goes on at another version while replicas start again under their names")
{
    const auto nodes = GENERATE (std::size_t { 3 }, 7, 83, 295);
    const auto run = playSeeds (nodes, seedsOfTenThousandStreams, StreamFaults::quickRestarts);
    CAPTURE (nodes, run.firstCrossed, run.possible, run.wentOn);
    CHECK (run.streams == 10'000);
    CHECK (run.crossed == 0);
}

TEST_CASE ("streams go on without faults, and after nodes have ended")
{
    const auto nodes = GENERATE (std::size_t { 7 }, 83, 295, 986);
    constexpr auto seeds = std::uint64_t { 100 };
    const auto calm = playSeeds (nodes, seeds, StreamFaults::none);
    const auto ends = playSeeds (nodes, seeds, StreamFaults::thirdEnds);
    const auto restarts = playSeeds (nodes, seeds, StreamFaults::restartsInTurn);
    CAPTURE (nodes, share (calm), share (ends), share (restarts));
    CHECK (share (calm) >= 0.95);
    CHECK (share (ends) >= 2.0 / 3.0);
    CHECK (share (restarts) >= 2.0 / 3.0);
    CHECK (calm.crossed + ends.crossed + restarts.crossed == 0);
}

TEST_CASE ("what a node sends and keeps for its streams does not depend on the number of nodes")
{
    constexpr auto perSecond = std::size_t { 50 };
    constexpr auto bytesAllowed = std::size_t { 2 * 1024 };
    constexpr auto memoryAllowed = std::size_t { 4 * 1024 * 1024 };
    const auto nodes = GENERATE (std::size_t { 7 }, 77, 295, 986);
    std::vector<asio::ip::udp::endpoint> others;

    for (auto index = std::size_t { 1 }; index < nodes; ++index)
        others.emplace_back (asio::ip::address_v4 (static_cast<std::uint32_t> (index)), std::uint16_t { 1 });

    auto bytes = std::size_t { 0 };

    for (auto key = StreamKey { 0 }; key < perSecond; ++key)
        bytes += holdersOf (key, others, streamHolders).size() *
                 encodeStreamMessage (StreamNotice { { stream (key, 1) } }, "secret", now).size();

    CHECK (bytes < bytesAllowed);

    // Its own streams, and those of which it is one of the holders.
    constexpr auto held = perSecond * (1 + streamHolders) * static_cast<std::size_t> (streamMemory / 1s);
    const auto before = mallinfo2().uordblks;
    StreamOriginTable table;

    for (auto key = StreamKey { 0 }; key < held; ++key)
        CHECK (table.record (stream (key, 1), now) == 0);

    CHECK (table.size() == held);
    CHECK (mallinfo2().uordblks - before < memoryAllowed);
}

TEST_CASE ("a full table of streams drops the oldest and counts it")
{
    StreamOriginTable table;

    for (auto key = StreamKey { 0 }; key < StreamOriginTable::maxStreams; ++key)
        REQUIRE (table.record (stream (key, 1), now) == 0);

    CHECK (table.record (stream (StreamOriginTable::maxStreams, 1), now) == 1);
    CHECK (table.size() == StreamOriginTable::maxStreams);
    CHECK_FALSE (table.find (0, now));
    CHECK (table.find (1, now));
}

TEST_CASE ("streams are forgotten when they can no longer be taken up")
{
    StreamOriginTable table;
    table.record (stream (1, 1), now);
    CHECK (table.find (1, now + streamMemory - 1ms));
    CHECK_FALSE (table.find (1, now + streamMemory));
    CHECK (table.all (now + streamMemory).empty());
    table.record (stream (2, 1, now + streamMemory), now + streamMemory);
    CHECK (table.size() == 1);
}

TEST_CASE ("a stream with two origins does not go on")
{
    StreamOriginTable table;
    table.record (stream (1, 1), now);
    table.record (stream (1, 1), now);
    CHECK_FALSE (table.find (1, now)->isConflicting);
    table.record (stream (1, 2), now);
    CHECK (table.find (1, now)->isConflicting);

    StreamInquiry inquiry { 3, { stream (1, 1), std::nullopt, stream (1, 2) } };
    CHECK (combine (inquiry)->isConflicting);
    inquiry.responses.pop_back();
    CHECK_FALSE (combine (inquiry)->isConflicting);
}

TEST_CASE ("an inquiry waits for all nodes, or for as many as were told that agree")
{
    StreamInquiry inquiry { 3, {} };
    CHECK_FALSE (isConclusive (inquiry));
    inquiry.responses = { std::nullopt, std::nullopt };
    CHECK_FALSE (isConclusive (inquiry));
    inquiry.responses.emplace_back();
    CHECK (isConclusive (inquiry));
    inquiry.responses = { stream (1, 1), stream (1, 1) };
    CHECK (isConclusive (inquiry));
    inquiry = { 1, { stream (1, 1) } };
    CHECK (isConclusive (inquiry));
}

TEST_CASE ("names of streams differ by account, host, path and identifier")
{
    const StreamName name { "account", "host", "/path/", "id" };
    const auto key = streamKey ("secret", name);
    CHECK (streamKey ("secret", name) == key);
    CHECK (streamKey ("other", name) != key);
    CHECK (streamKey ("secret", { "beta", "host", "/path/", "id" }) != key);
    CHECK (streamKey ("secret", { "account", "other", "/path/", "id" }) != key);
    CHECK (streamKey ("secret", { "account", "host", "/other/", "id" }) != key);
    CHECK (streamKey ("secret", { "account", "host", "/path/", "other" }) != key);
    CHECK (streamKey ("secret", { "accounth", "ost", "/path/", "id" }) != key);
}

TEST_CASE ("the nodes that hold a stream stay the same when others come and go")
{
    std::vector<asio::ip::udp::endpoint> nodes;

    for (auto index = 1U; index <= 50; ++index)
        nodes.emplace_back (asio::ip::address_v4 (index), std::uint16_t { 1 });

    for (auto key = StreamKey { 0 }; key < 200; ++key)
    {
        const auto before = holdersOf (key, nodes, streamHolders);
        auto fewer = nodes;
        std::erase (fewer, holdersOf (key, nodes, nodes.size()).back());
        CHECK (holdersOf (key, fewer, streamHolders) == before);
        std::erase (fewer, before.front());
        CHECK (holdersOf (key, fewer, 1).front() == before.back());
        // A node that comes moves the others by one rank at most.
        const auto asked = holdersOf (key, nodes, askedHolders);

        for (const auto& holder : holdersOf (key, fewer, streamHolders))
            CHECK (std::ranges::find (asked, holder) != asked.end());
    }

    CHECK (holdersOf (1, {}, streamHolders).empty());
}

TEST_CASE ("messages on streams are read as they were written")
{
    const KnownStream old { 0xfedcba9876543210, { 0x89abcdef, 0xfe01 }, now - 20s, false };
    const KnownStream conflicting { 2, { 1, 1 }, now, true };
    const StreamNotice notice { { old, stream (3, 4), conflicting } };
    const auto read = std::get<StreamNotice> (
        decodeStreamMessage (encodeStreamMessage (notice, "secret", now), "secret", now).value());
    REQUIRE (read.streams.size() == 3);
    CHECK (read.streams[0].key == old.key);
    CHECK (read.streams[0].origin == old.origin);
    CHECK (read.streams[0].begun == old.begun);
    CHECK (read.streams[2].isConflicting);

    const auto query = std::get<StreamQuery> (
        decodeStreamMessage (encodeStreamMessage (StreamQuery { 5, 6 }, "secret", now), "secret", now)
            .value());
    CHECK (query.number == 5);
    CHECK (query.key == 6);

    for (const auto& known : { StreamResponse(), StreamResponse (old) })
    {
        const auto response = std::get<StreamQueryResponse> (
            decodeStreamMessage (encodeStreamMessage (StreamQueryResponse { 9, known }, "secret", now),
                                 "secret", now)
                .value());
        CHECK (response.number == 9);
        CHECK (response.stream.has_value() == known.has_value());
    }
}

TEST_CASE ("a datagram that is cut, changed or signed otherwise is no message on streams")
{
    const auto datagram =
        encodeStreamMessage (StreamNotice { { stream (1, 2), stream (3, 4, now - 3s) } }, "secret", now);
    REQUIRE (decodeStreamMessage (datagram, "secret", now));
    CHECK_FALSE (decodeStreamMessage (datagram, "other", now));

    for (auto length = std::size_t { 0 }; length < datagram.size(); ++length)
        CHECK_FALSE (decodeStreamMessage (datagram.substr (0, length), "secret", now));

    for (auto place = std::size_t { 0 }; place < datagram.size(); ++place)
    {
        auto changed = datagram;
        changed[place] = static_cast<char> (changed[place] ^ 1);
        CHECK_FALSE (decodeStreamMessage (changed, "secret", now));
    }

    CHECK_FALSE (isStreamMessage (""));
    CHECK_FALSE (isStreamMessage ("0123"));
}

TEST_CASE ("a version that is new to its service gets no new streams at first")
{
    VersionHistory history;
    VersionRegistry registry { { { "service", { "v1" } } }, 1, now };
    history.apply ({ { listed ("a", "v1") }, {} }, now);
    history.recordGap (now);
    CHECK (history.heldBack ("service", registry, now).empty());
    history.apply ({ { listed ("b", "v2") }, {} }, now + 10s);
    CHECK (history.heldBack ("service", registry, now + 10s) == std::vector<std::string> { "v2" });
    CHECK (history.heldBack ("service", registry, now + 10s + newVersionDelay).empty());
}

TEST_CASE ("a new version gets streams at once when no replica of another one takes work")
{
    VersionHistory history;
    const VersionRegistry registry { { { "service", { "v1" } } }, 1, now };
    history.apply ({ { listed ("a", "v1") }, {} }, now);
    history.recordGap (now);
    history.apply ({ { listed ("b", "v2") }, {} }, now + 10s);
    CHECK (history.heldBack ("service", registry, now + 10s).size() == 1);
    history.apply ({ { listed ("a", "v1", true) }, {} }, now + 10s);
    CHECK (history.heldBack ("service", registry, now + 10s).empty());
    history.apply ({ {}, { "a" } }, now + 10s);
    CHECK (history.heldBack ("service", registry, now + 10s).empty());
}

TEST_CASE ("a node that has just started holds back the versions that are not registered")
{
    VersionHistory history;
    history.apply ({ { listed ("a", "v1"), listed ("b", "v2") }, {} }, now);
    CHECK (history.heldBack ("service", {}, now).size() == 2);
    CHECK (history.heldBack ("service", { { { "service", { "v1" } } }, 1, now }, now) ==
           std::vector<std::string> { "v2" });
    CHECK (history.heldBack ("service", { {}, 0, now }, now).empty());
}

TEST_CASE ("only a version without another for long enough is taken for the one that began a stream")
{
    VersionHistory history;
    const VersionRegistry registered { { { "service", { "v1" } } }, 1, now + 1ms };
    history.apply ({ { listed ("a", "v1") }, {} }, now);
    CHECK_FALSE (history.onlyVersion ("service", registered, now, now + 1ms));
    history.recordGap (now);
    CHECK (history.onlyVersion ("service", registered, now, now + 1ms) == "v1");
    // The registry was not read yet, names another version, or can't be parsed.
    CHECK_FALSE (history.onlyVersion ("service", {}, now, now + 1ms));
    CHECK_FALSE (
        history.onlyVersion ("service", { { { "service", { "v0" } } }, 1, now + 1ms }, now, now + 1ms));
    CHECK_FALSE (history.onlyVersion ("service", { {}, 1, now + 1ms, false }, now, now + 1ms));
    // The list of replicas is old.
    CHECK_FALSE (history.onlyVersion ("service", registered, now, now + newVersionDelay));

    history.apply ({ { listed ("b", "v2") }, {} }, now + 10s);
    CHECK_FALSE (history.onlyVersion ("service", registered, now + 10s, now + 10s));
    history.apply ({ {}, { "b" } }, now + 11s);
    const auto justBefore = now + 11s + streamMemory;
    history.removeExpired (justBefore);
    CHECK_FALSE (history.onlyVersion ("service", registered, justBefore, justBefore));
    const auto after = justBefore + 1ms;
    history.removeExpired (after);
    CHECK (history.onlyVersion ("service", {}, after, after) == "v1");
}

TEST_CASE ("replicas that state no version count as one version")
{
    VersionHistory history;
    history.apply ({ { listed ("a", ""), listed ("b", ""), listed ("c", "v1") }, {} }, now);
    CHECK (history.replicaCount ({ "service", "" }) == 2);
    CHECK (history.find (versionHash ("service", ""), { "service" })->version.empty());
}

TEST_CASE ("a name that was listed with two versions begins no stream that can go on")
{
    VersionHistory history;
    history.apply ({ { listed ("a", "v1"), listed ("b", "v1") }, {} }, now);
    history.apply ({ { listed ("b", "v1", true) }, {} }, now);
    CHECK_FALSE (history.hasChangedVersion (shortReplicaHash ("b"), now));
    CHECK (history.replicaCount ({ "service", "v1" }) == 1);

    history.apply ({ {}, { "b" } }, now);
    history.apply ({ { listed ("b", "v2") }, {} }, now + 3s);
    CHECK (history.hasChangedVersion (shortReplicaHash ("b"), now + 3s));
    CHECK_FALSE (history.hasChangedVersion (shortReplicaHash ("a"), now + 3s));

    ContinuationInput input;
    input.services = { "service" };
    input.provenAt = now + 3s;
    input.stream = KnownStream { 1, { versionHash ("service", "v1"), shortReplicaHash ("b") }, now, false };
    CHECK (decideContinuation (input, history, {}, now + 3s).outcome == ContinuationOutcome::ambiguous);
    input.stream->origin.replica = shortReplicaHash ("a");
    CHECK (decideContinuation (input, history, {}, now + 3s).outcome == ContinuationOutcome::goesOn);
    CHECK (decideContinuation (input, history, {}, now + 3s + continuationListAge).outcome ==
           ContinuationOutcome::goesOn);
    CHECK (decideContinuation (input, history, {}, now + 3s + continuationListAge + 1ms).outcome ==
           ContinuationOutcome::listTooOld);
    history.apply ({ {}, { "a" } }, now + 4s);
    CHECK (decideContinuation (input, history, {}, now + 4s).outcome == ContinuationOutcome::versionGone);
    input.services = { "other" };
    CHECK (decideContinuation (input, history, {}, now + 4s).outcome == ContinuationOutcome::versionGone);
}

TEST_CASE ("a node that nobody answers is out of step, and so is one whose stream's replica has changed")
{
    CHECK (isInStep ({ 0, {} }));
    CHECK_FALSE (isInStep ({ 3, {} }));
    CHECK (isInStep ({ 3, { std::nullopt } }));
    CHECK (isInStep ({ 3, { std::nullopt, stream (1, 1) } }));

    auto changed = stream (1, 1);
    changed.isConflicting = true;
    CHECK_FALSE (isInStep ({ 3, { std::nullopt, changed } }));
}

TEST_CASE ("a stream waits for other nodes' proof while the store is away, until they have none either")
{
    VersionProofInput input;
    input.provenAt = now;
    input.isStoreReached = false;

    for (const auto proof : { VersionProof::beginUnproven, VersionProof::targetUnproven })
    {
        input.waitingSince = now + 100ms;
        CHECK (proofWait (input, proof) == versionProofWait);
        input.waitingSince = now + storeUpdateAgeLimit - 300ms;
        CHECK (proofWait (input, proof) == 300ms);
        input.waitingSince = now + storeUpdateAgeLimit + 1ms;
        CHECK (proofWait (input, proof) == Duration::zero());
        CHECK (maySendOn (input, proof, now + continuationListAge));
        CHECK_FALSE (maySendOn (input, proof, now + continuationListAge + 1ms));
    }

    CHECK (proofWait (input, VersionProof::changed) == Duration::zero());
}

TEST_CASE ("a stream that goes on by the only version needs a proof")
{
    VersionProofInput input;
    input.provenAt = now;
    input.isOnlyVersion = true;
    CHECK (maySendOn (input, VersionProof::known, now));
    CHECK_FALSE (maySendOn (input, VersionProof::beginUnproven, now));
    CHECK_FALSE (maySendOn (input, VersionProof::targetUnproven, now));
}

TEST_CASE ("the registry keeps what a node has not followed for long enough")
{
    VersionHistory history;
    history.apply ({ { listed ("a", "v2") }, {} }, now);
    history.recordGap (now);
    const VersionsByService registered { { "gone", { "v0" } }, { "service", { "v1" } } };
    CHECK (history.updated (registered, now + 1s) ==
           VersionsByService { { "gone", { "v0" } }, { "service", { "v1", "v2" } } });
    CHECK (history.updated (registered, now + streamMemory) == VersionsByService { { "service", { "v2" } } });
}

TEST_CASE ("the registry is read as it was written, and bad ones are refused")
{
    const VersionsByService versions { { "a", { "", "v1" } }, { "b", {} } };
    CHECK (parseVersions (formatVersions (versions)) == versions);

    for (const auto* text : { "", "[]", "{\"a\":1}", "{\"a\":[1]}", "{\"a\":[\"x\"" })
        CHECK_FALSE (parseVersions (text));
}
