#include "StreamWorld.h"

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>

namespace snowrudder
{

namespace
{

using Endpoint = asio::ip::udp::endpoint;

constexpr auto secret = std::string_view ("secret of the simulated fleet");
constexpr auto service = std::string_view ("service");
constexpr auto streamsPerSeed = std::size_t { 20 };
constexpr auto start = TimePoint (std::chrono::hours (1));
constexpr auto runLength = Duration (60s);

/** How long a node serves without a proof of its configuration. */
constexpr auto servesUnproven = Duration (5s);

/** How long the entry of a member that was killed stays listed. */
constexpr auto memberLease = Duration (12s);

/** A span of time. */
struct Span
{
    TimePoint from;
    TimePoint to;

    [[nodiscard]] auto holds (TimePoint time) const -> bool { return from <= time && time < to; }
};

auto holds (const std::vector<Span>& spans, TimePoint time) -> bool
{
    return std::ranges::any_of (spans, [time] (const Span& span) { return span.holds (time); });
}

/** One start of a replica. */
struct ReplicaLife
{
    std::string name;
    std::string version;
    /** When it runs, and when its entry is listed as ready. */
    Span runs;
    Span listed;
};

/** A change of the list of replicas at the store. */
struct ListedChange
{
    TimePoint at;
    ListChanges changes;
};

struct Node
{
    Endpoint endpoint;
    /** When it doesn't run, doesn't get the processor, can't reach the store, or other nodes. */
    std::vector<Span> down;
    std::vector<Span> frozen;
    std::vector<Span> cutFromStore;
    std::vector<Span> cutFromNodes;
    /** Starts of its process that were planned: what it held was handed over before. */
    std::set<TimePoint> plannedStops;
    Duration storeDelay {};

    /** State of its process, and until when it was brought up to date. */
    TimePoint startedAt = longAgo;
    std::size_t appliedChanges = 0;
    bool hasListed = false;
    VersionHistory versions;
    VersionRegistry registry;
    StreamOriginTable streams;
    std::vector<KnownStream> whileFrozen;
};

class World
{
public:
    World (std::size_t nodeCount, std::uint64_t seed, StreamFaults drawnFaults)
        : random (seed), faults (drawnFaults), nodes (nodeCount)
    {
        drawReplicas();
        drawNodes();
    }

    auto play() -> StreamRun
    {
        struct Stream
        {
            std::string name;
            std::set<std::string> versions;
            std::string log;
            std::size_t lastNode = 0;
        };

        const auto actions = drawActions();
        std::vector<Stream> streams (streamsPerSeed);
        StreamRun run;
        run.streams = streamsPerSeed;

        for (const auto& action : actions)
        {
            handOverUntil (action.at);
            auto& stream = streams[action.stream];
            const auto node = chance (0.2) && action.attempt > 0 ? stream.lastNode : pick (nodes.size());

            if (! serves (node, action.at))
                continue;

            stream.lastNode = node;

            if (action.attempt == 0)
            {
                stream.name = "stream-" + std::to_string (action.stream);
                begin (node, stream.name, action.at, stream.versions, stream.log);
                continue;
            }

            if (stream.versions.empty())
                continue;

            const auto& version = *stream.versions.begin();
            const auto isPossible = stream.versions.size() == 1 && takesWork (version, action.at);
            const auto went = takeUp (node, stream.name, action.at, stream.versions, stream.log, run);
            run.possible += isPossible ? 1 : 0;
            run.wentOn += isPossible && went ? 1 : 0;
        }

        for (const auto& stream : streams)
            if (stream.versions.size() > 1)
            {
                ++run.crossed;

                if (run.firstCrossed.empty())
                    run.firstCrossed = stream.log;
            }

        return run;
    }

private:
    // Draws

    /** The begin of a stream, or a try to take it up. */
    struct Action
    {
        TimePoint at;
        std::size_t stream = 0;
        std::size_t attempt = 0;
    };

    auto drawActions() -> std::vector<Action>
    {
        std::vector<Action> actions;

        for (auto index = std::size_t { 0 }; index < streamsPerSeed; ++index)
        {
            auto at = isFaultTimed() ? faultAt - draw (0.05, 2.0) : start + draw (5.0, 40.0);

            // Many begin just after a replica has come or gone.
            if (hasAllFaults() && chance (0.5))
                at = std::max (start, log[pick (log.size())].at) + draw (0.0, 2.5);

            if (! quickRestarts.empty())
                at = quickRestarts[pick (quickRestarts.size())] + draw (0.0, 1.0);

            actions.push_back ({ at, index, 0 });
            const auto tries = std::size_t { 1 } + pick (4);

            for (auto attempt = std::size_t { 1 }; attempt <= tries; ++attempt)
            {
                const auto soonShare = quickRestarts.empty() ? 0.5 : 0.9;
                const auto gap = chance (soonShare) ? draw (0.001, 0.2) : draw (0.2, 30.0);
                at = isFaultTimed() ? faultEnd + draw (0.0, 3.0) : at + gap;
                actions.push_back ({ at, index, attempt });
            }
        }

        std::ranges::stable_sort (actions, {}, &Action::at);
        return actions;
    }

    auto pick (std::size_t count) -> std::size_t { return random() % count; }
    auto fraction() -> double { return std::uniform_real_distribution (0.0, 1.0) (random); }
    auto chance (double share) -> bool { return fraction() < share; }

    auto draw (double from, double to) -> Duration
    {
        return std::chrono::duration_cast<Duration> (
            std::chrono::duration<double> (from + (to - from) * fraction()));
    }

    auto drawSpans (double share, double longest) -> std::vector<Span>
    {
        std::vector<Span> spans;

        if (hasAllFaults() && chance (share))
        {
            const auto from = start + draw (0.0, 45.0);
            spans.push_back ({ from, from + draw (0.1, longest) });
        }

        return spans;
    }

    [[nodiscard]] auto hasAllFaults() const -> bool
    {
        return faults == StreamFaults::all || faults == StreamFaults::quickRestarts;
    }

    [[nodiscard]] auto isFaultTimed() const -> bool
    {
        return faults == StreamFaults::thirdEnds || faults == StreamFaults::restartsInTurn;
    }

    auto drawReplicas() -> void
    {
        const auto versionCount = std::size_t { 1 } + pick (4);
        const auto count = std::size_t { 4 } + pick (8);
        const auto end = start + runLength * 2;
        const auto isCalm = ! hasAllFaults();
        storeAway = drawSpans (0.3, 12.0);

        // Some versions are there from the beginning, the others come later.
        std::vector<TimePoint> comes (versionCount, start - 60s);

        for (auto& from : comes)
            if (! isCalm && &from != &comes.front() && chance (0.6))
                from = start + draw (0.0, 40.0);

        for (auto index = std::size_t { 0 }; index < count; ++index)
        {
            const auto number = index < 2 * versionCount ? index / 2 : pick (versionCount);
            ReplicaLife life {
                "i-" + std::to_string (index), "v" + std::to_string (number), { comes[number], end }, {}
            };

            if (! isCalm && chance (0.3))
                life.runs.from = std::max (life.runs.from, start + draw (0.0, 40.0));

            if (! isCalm && chance (0.4))
                life.runs.to = std::max (life.runs.from, start) + draw (1.0, 30.0);

            add (life);

            // An identifier that starts again with another version.
            if (! isCalm && life.runs.to < end && chance (0.5))
            {
                const auto isQuick = faults == StreamFaults::quickRestarts;
                const auto ended = life.runs.to;
                life.version = "v" + std::to_string (pick (versionCount + 1));
                life.runs = { ended + (isQuick ? draw (0.2, 1.0) : draw (3.0, 6.0)), end };

                if (isQuick)
                {
                    quickRestarts.push_back (std::max (start, life.runs.from));
                    replaceEntryAt (life.runs.from);
                }

                add (life);
            }
        }

        std::ranges::stable_sort (log, {}, &ListedChange::at);
        drawRegistry();
    }

    /** Lists a replica: from its start on, until it leaves or until some seconds after a crash. */
    auto add (ReplicaLife life) -> void
    {
        const auto isCrash = chance (0.5);
        life.listed = { life.runs.from,
                        isCrash ? life.runs.to + draw (0.5, 2.5) : life.runs.to - draw (0.0, 3.0) };
        life.listed.to = std::max (life.listed.to, life.listed.from);
        delayWhileAway (life.listed.from);
        delayWhileAway (life.listed.to);
        ReplicaInfo info;
        info.name = life.name;
        info.service = service;
        info.version = life.version;
        log.push_back ({ life.listed.from, { { { info, false } }, {} } });
        log.push_back ({ life.listed.to, { {}, { life.name } } });
        lives.push_back (std::move (life));
    }

    /** Ends the listing of the replica that was added last where its next start is listed, if it lasted longer. */
    auto replaceEntryAt (TimePoint time) -> void
    {
        delayWhileAway (time);
        auto& listed = lives.back().listed;

        if (listed.to <= time)
            return;

        listed.to = log.back().at = std::max (time, listed.from);
    }

    auto delayWhileAway (TimePoint& time) const -> void
    {
        for (const auto& span : storeAway)
            if (span.holds (time))
                time = span.to;
    }

    /** The registry's contents over time: versions are written shortly after they are listed. */
    auto drawRegistry() -> void
    {
        VersionsByService versions;

        for (const auto& change : log)
            for (const auto& listed : change.changes.changed)
                if (versions[std::string (service)].insert (listed.info.version).second)
                    registry.emplace_back (change.at + draw (0.1, 0.6), versions);
    }

    auto drawNodes() -> void
    {
        loss = hasAllFaults() ? std::array { 0.0, 0.01, 0.1, 0.3 }[pick (4)] : 0.001;
        faultAt = start + draw (10.0, 30.0);
        faultEnd = faultAt;
        const auto allKilledAt = start + draw (5.0, 45.0);
        const auto areAllKilled = hasAllFaults() && chance (0.2);

        for (auto index = std::size_t { 0 }; index < nodes.size(); ++index)
        {
            auto& node = nodes[index];
            constexpr auto firstAddress = 0x0a000001U;
            constexpr auto port = std::uint16_t { 7600 };
            node.endpoint = { asio::ip::address_v4 (static_cast<std::uint32_t> (firstAddress + index)),
                              port };
            node.storeDelay = draw (0.02, 0.9);
            node.down = drawSpans (0.3, 5.0);
            node.frozen = drawSpans (0.2, 8.0);
            node.cutFromStore = drawSpans (0.2, 10.0);
            node.cutFromNodes = drawSpans (0.2, 10.0);

            if (areAllKilled)
                node.down.push_back ({ allKilledAt, allKilledAt + draw (0.2, 1.5) });

            if (faults == StreamFaults::thirdEnds && index % 3 == 0)
                node.down.push_back ({ faultAt, faultAt + draw (0.5, 1.5) });

            if (faults == StreamFaults::restartsInTurn)
            {
                // Some at a time, so that a large fleet is through as fast as a small one.
                constexpr auto groups = std::size_t { 8 };
                const auto from =
                    faultAt + std::chrono::seconds (index * std::min (groups, nodes.size()) / nodes.size());
                node.down.push_back ({ from, from + 500ms });
                node.plannedStops.insert (from);
                faultEnd = std::max (faultEnd, from + Duration (700ms));
            }
            else if (! node.down.empty() && chance (0.5))
                node.plannedStops.insert (node.down.front().from);

            for (const auto stop : node.plannedStops)
                stops.emplace_back (stop, index);
        }

        std::ranges::sort (stops);
    }

    // The state at a time

    [[nodiscard]] auto runs (const Node& node, TimePoint time) const -> bool
    {
        return ! holds (node.down, time);
    }

    [[nodiscard]] auto canTalk (const Node& one, const Node& other, TimePoint time) const -> bool
    {
        return runs (one, time) && runs (other, time) && ! holds (one.cutFromNodes, time) &&
               ! holds (other.cutFromNodes, time);
    }

    /** @returns the latest time at which a node heard from the store, or nothing if it has not since its start. */
    [[nodiscard]] auto provenAt (const Node& node, TimePoint time) const -> std::optional<TimePoint>
    {
        auto heard = time - node.storeDelay;

        for (auto moved = true; moved;)
        {
            moved = false;

            for (const auto* spans : { &node.cutFromStore, &storeAway, &node.frozen })
                for (const auto& span : *spans)
                    if (span.holds (heard))
                    {
                        heard = span.from - Duration (1ms);
                        moved = true;
                    }
        }

        return heard >= node.startedAt ? std::optional (heard) : std::nullopt;
    }

    /** Brings a node's process up to date: starts it anew after it was down, and applies what it has heard of. */
    auto update (Node& node, TimePoint time) -> void
    {
        auto startedAt = start - Duration (60s);

        for (const auto& span : node.down)
            if (span.to <= time)
                startedAt = std::max (startedAt, span.to);

        if (startedAt != node.startedAt)
        {
            node.startedAt = startedAt;
            node.appliedChanges = 0;
            node.hasListed = false;
            node.versions = {};
            node.registry = {};
            node.streams = {};
            node.whileFrozen.clear();
        }

        if (! holds (node.frozen, time))
            for (const auto& stream : std::exchange (node.whileFrozen, {}))
                node.streams.record (stream, time);

        const auto heard = provenAt (node, time);

        if (! heard)
            return;

        if (! node.hasListed)
        {
            // Its list holds what is listed then, so that changes before are seen together.
            const auto listedAt = std::max (node.startedAt, start - 60s + 1ms);
            std::map<std::string, ListedReplica> listed;

            for (; node.appliedChanges < log.size() && log[node.appliedChanges].at <= listedAt;
                 ++node.appliedChanges)
            {
                const auto& change = log[node.appliedChanges].changes;

                for (const auto& removed : change.removed)
                    listed.erase (removed);

                for (const auto& changed : change.changed)
                    listed[changed.info.name] = changed;
            }

            ListChanges all;

            for (const auto& [name, replica] : listed)
                all.changed.push_back (replica);

            node.versions.apply (all, listedAt);
            node.versions.recordGap (listedAt);
            node.hasListed = true;
        }

        for (; node.appliedChanges < log.size() && log[node.appliedChanges].at <= *heard;
             ++node.appliedChanges)
        {
            const auto& change = log[node.appliedChanges];
            node.versions.apply (change.changes, change.at + node.storeDelay);
        }

        node.versions.removeExpired (time);

        if (node.versions.needsRegistry (node.registry, time))
        {
            node.registry.readAt = *heard;
            node.registry.versions = {};

            for (const auto& [at, versions] : registry)
                if (at <= *heard)
                    node.registry.versions = versions;
        }
    }

    auto serves (std::size_t index, TimePoint time) -> bool
    {
        auto& node = nodes[index];

        if (! runs (node, time) || holds (node.frozen, time))
            return false;

        update (node, time);
        const auto heard = provenAt (node, time);
        return heard && time - *heard <= servesUnproven && node.hasListed;
    }

    [[nodiscard]] auto takesWork (const std::string& version, TimePoint time) const -> bool
    {
        return std::ranges::any_of (lives,
                                    [&] (const ReplicaLife& life)
                                    {
                                        return life.version == version && life.runs.holds (time + 200ms) &&
                                               life.runs.holds (time) && life.listed.holds (time - 1s) &&
                                               life.listed.holds (time);
                                    });
    }

    /** @returns the start of a replica of that name which runs at a time, or null. */
    [[nodiscard]] auto running (const std::string& name, TimePoint time) const -> const ReplicaLife*
    {
        for (const auto& life : lives)
            if (life.name == name && life.runs.holds (time))
                return &life;

        return nullptr;
    }

    /** A replica as a node lists it. */
    struct View
    {
        std::string name;
        std::string version;
    };

    [[nodiscard]] auto viewOf (const Node& node) const -> std::vector<View>
    {
        std::map<std::string, std::string> listed;

        for (auto index = std::size_t { 0 }; index < node.appliedChanges; ++index)
        {
            for (const auto& removed : log[index].changes.removed)
                listed.erase (removed);

            for (const auto& changed : log[index].changes.changed)
                listed[changed.info.name] = changed.info.version;
        }

        std::vector<View> view;
        view.reserve (listed.size());

        for (const auto& [name, version] : listed)
            view.push_back ({ name, version });

        return view;
    }

    /** Chooses a replica among those that a node lists, of one version if that is given. Entries whose replica has ended are
        tried and found out.

        @returns the replica as the node lists it, and the version that it really has
    */
    template <typename Allowed>
    auto choose (const Node& node, TimePoint time, Allowed&& isAllowed)
        -> std::optional<std::pair<View, std::string>>
    {
        auto view = viewOf (node);
        std::ranges::shuffle (view, random);

        for (const auto& replica : view)
            if (const auto* life = running (replica.name, time);
                life != nullptr && isAllowed (replica.version))
                return std::pair (replica, life->version);

        return {};
    }

    // What nodes do

    auto othersOf (const Node& node, TimePoint time) const -> std::vector<Endpoint>
    {
        std::vector<Endpoint> others;

        for (const auto& other : nodes)
        {
            const auto isGone =
                std::ranges::any_of (other.down, [time] (const Span& span)
                                     { return span.from + memberLease <= time && time < span.to; });

            if (other.endpoint != node.endpoint && ! isGone)
                others.push_back (other.endpoint);
        }

        return others;
    }

    auto nodeAt (const Endpoint& endpoint) -> Node&
    {
        constexpr auto firstAddress = 0x0a000001U;
        return nodes[endpoint.address().to_v4().to_uint() - firstAddress];
    }

    /** Delivers a message through its wire form, unless it is lost.

        @returns what the receiver decodes
    */
    auto deliver (const StreamMessage& message, TimePoint time) -> std::optional<StreamMessage>
    {
        if (chance (loss))
            return {};

        return decodeStreamMessage (encodeStreamMessage (message, secret, time), secret, time);
    }

    auto tell (Node& sender, const Endpoint& target, StreamNotice notice, TimePoint time) -> void
    {
        auto& receiver = nodeAt (target);

        if (! canTalk (sender, receiver, time))
            return;

        const auto received = deliver (notice, time);

        if (! received)
            return;

        update (receiver, time);

        for (const auto& stream : std::get<StreamNotice> (*received).streams)
            if (holds (receiver.frozen, time))
                receiver.whileFrozen.push_back (stream);
            else
                receiver.streams.record (stream, time);
    }

    auto announce (Node& node, const KnownStream& stream, TimePoint time) -> void
    {
        node.streams.record (stream, time);

        for (const auto& holder : holdersOf (stream.key, othersOf (node, time), streamHolders))
            tell (node, holder, { { stream } }, time);
    }

    auto handOverUntil (TimePoint time) -> void
    {
        for (; nextStop < stops.size() && stops[nextStop].first <= time; ++nextStop)
        {
            auto& node = nodes[stops[nextStop].second];
            const auto stoppedAt = stops[nextStop].first - Duration (1ms);

            if (! runs (node, stoppedAt) || holds (node.frozen, stoppedAt))
                continue;

            update (node, stoppedAt);

            for (const auto& stream : node.streams.all (stoppedAt))
                for (const auto& holder : holdersOf (stream.key, othersOf (node, stoppedAt), streamHolders))
                    tell (node, holder, { { stream } }, stoppedAt);
        }
    }

    auto begin (std::size_t index,
                const std::string& name,
                TimePoint time,
                std::set<std::string>& versions,
                std::string& text) -> void
    {
        auto& node = nodes[index];
        const auto heldBack = node.versions.heldBack (service, node.registry, time);
        const auto chosen = choose (node, time,
                                    [&] (const std::string& version)
                                    { return std::ranges::find (heldBack, version) == heldBack.end(); });

        if (! chosen)
            return;

        const auto& [replica, version] = *chosen;
        versions.insert (version);
        text += describe (index, time) + " begins at " + replica.name + " listed as " + replica.version +
                ", is " + version;
        announce (node,
                  { keyOf (name),
                    { versionHash (service, replica.version), shortReplicaHash (replica.name) },
                    time,
                    false },
                  time);
    }

    auto takeUp (std::size_t index,
                 const std::string& name,
                 TimePoint time,
                 std::set<std::string>& versions,
                 std::string& text,
                 StreamRun& run) -> bool
    {
        auto& node = nodes[index];
        ContinuationInput input;
        input.services = { std::string (service) };
        input.stream = node.streams.find (keyOf (name), time);
        input.source = OriginSource::ownRecord;

        if (! input.stream)
        {
            const auto holders = holdersOf (keyOf (name), othersOf (node, time), askedHolders);
            run.mostAsked = std::max (run.mostAsked, holders.size());
            input.stream = combine (ask (node, holders, keyOf (name), time));
            input.source = input.stream ? OriginSource::otherNode : OriginSource::none;
        }

        input.provenAt = provenAt (node, time).value_or (longAgo);
        const auto continuation = decideContinuation (input, node.versions, node.registry, time);

        if (continuation.outcome != ContinuationOutcome::goesOn)
            return false;

        const auto chosen = choose (
            node, time, [&] (const std::string& version) { return version == continuation.at.version; });

        if (! chosen)
            return false;

        const auto& [replica, version] = *chosen;

        if (! isProven (node, replica, name, input.stream, time))
            return false;

        versions.insert (version);
        text += "; " + describe (index, time) + " goes on at " + replica.name + " listed as " +
                replica.version + ", is " + version + ", source " +
                std::string (toString (continuation.source));

        if (input.stream)
            announce (node, *input.stream, time);

        return true;
    }

    /** @returns whether the node gets a proof in time that the replicas have the versions that they are listed with. All
        connections are new.
    */
    auto isProven (Node& node,
                   const View& replica,
                   const std::string& name,
                   const StreamResponse& stream,
                   TimePoint time) -> bool
    {
        VersionProofInput input;
        input.boundAt = stream ? stream->begun : time;
        input.isOnlyVersion = ! stream;
        input.waitingSince = time;
        input.connectedAt = time;
        input.replica = replica.name;
        input.version = replica.version;
        input.isTakenUp = true;

        if (stream)
            input.firstReplica = stream->origin.replica;

        auto proof = VersionProof::beginUnproven;
        auto at = time;

        for (constexpr auto step = Duration (100ms); at <= time + proofWait (input, proof); at += step)
        {
            if (! runs (node, at) || holds (node.frozen, at))
                return false;

            auto later = node;
            update (later, at);
            input.provenAt = provenAt (later, at).value_or (longAgo);
            input.isStoreReached = ! holds (node.cutFromStore, at) && ! holds (storeAway, at);
            proof = proveVersions (input, later.versions, at);
        }

        if (! maySendOn (input, proof, at))
            return false;

        return proof == VersionProof::known ||
               isInStep (
                   ask (node, holdersOf (keyOf (name), othersOf (node, at), askedHolders), keyOf (name), at));
    }

    auto ask (Node& node, const std::vector<Endpoint>& holders, StreamKey key, TimePoint time)
        -> StreamInquiry
    {
        StreamInquiry inquiry;
        inquiry.asked = holders.size();

        for (const auto& holder : holders)
        {
            auto& other = nodeAt (holder);

            if (! canTalk (node, other, time) || holds (other.frozen, time))
                continue;

            const auto query = deliver (StreamQuery { 1, key }, time);

            if (! query)
                continue;

            update (other, time);
            const auto response =
                deliver (StreamQueryResponse { 1, knownStream (other.streams, other.versions,
                                                               std::get<StreamQuery> (*query).key, time) },
                         time);

            if (response && ! isConclusive (inquiry))
                inquiry.responses.push_back (std::get<StreamQueryResponse> (*response).stream);
        }

        return inquiry;
    }

    static auto keyOf (const std::string& name) -> StreamKey
    {
        return streamKey (secret, { "account", "host", "/path/", name });
    }

    static auto describe (std::size_t index, TimePoint time) -> std::string
    {
        return "node " + std::to_string (index) + " at " + std::to_string (inMilliseconds (time - start)) +
               " ms";
    }

    std::mt19937_64 random;
    const StreamFaults faults;
    std::vector<Node> nodes;
    std::vector<ReplicaLife> lives;
    std::vector<ListedChange> log;
    std::vector<std::pair<TimePoint, VersionsByService>> registry;
    std::vector<Span> storeAway;
    /** When replicas start again under their names while their entries are still listed. */
    std::vector<TimePoint> quickRestarts;
    /** Planned stops, each with its node. */
    std::vector<std::pair<TimePoint, std::size_t>> stops;
    std::size_t nextStop = 0;
    double loss = 0.0;
    TimePoint faultAt;
    TimePoint faultEnd;
};

} // namespace

auto playStreams (std::size_t nodes, std::uint64_t seed, StreamFaults faults) -> StreamRun
{
    return World (nodes, seed, faults).play();
}

} // namespace snowrudder
