#include "ServingFixtures.h"
#include "VirtualWork.h"

#include "snowrudder_serving/members/DatagramCodec.h"
#include "snowrudder_serving/members/LeavingNotice.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <random>

using namespace snowrudder;
using namespace snowrudder::tests;

namespace
{

using std::chrono::milliseconds;

/** The bound of the users' rule is 2 s, and news reaches all nodes in touch within 1 s. */
constexpr auto newsBound = Duration (1s);

/** How long a message takes between nodes at most. */
constexpr auto maxHop = milliseconds (30);

struct SimulatedNode
{
    ReplicaDirectory directory;
    ReplicaTable table;
    LeavingNews news;
    bool isReader = false;
    TimePoint nextSend {};
};

/** Nodes that send requests to replicas, some of which say in their answers that they leave, while the store is silent, late,
    or lists them as ready again. Only `simulated` nodes are played of larger fleets: what one does depends on the messages
    that it receives, of which each node gets those of its readers.
*/
class LeavingWorld
{
public:
    LeavingWorld (std::size_t fleet, unsigned seed)
        : random (seed), nodes (std::min<std::size_t> (fleet, simulated))
    {
        // In large fleets members tell their readers, which tell other readers and their own members.
        const auto isDirect = fleet <= simulated;
        constexpr auto readers = std::size_t { 2 };

        for (auto number = std::size_t { 0 }; number < nodes.size(); ++number)
        {
            nodes[number].isReader = isDirect || number < readers;
            nodes[number].nextSend = start + milliseconds (random() % 200);
        }

        hasForwarding = ! isDirect;
        replicas = 1 + random() % 12;
        leavingReplicas = std::max<std::size_t> (1, random() % (replicas + 1));
        lossPercent = random() % 3 == 0 ? 10U : 0U;
        listAll (start, false);
    }

    /** @returns requests that reached a replica later than `bound` after any node learned that it leaves, and at the node
        itself later than 50 ms after.
    */
    struct Result
    {
        std::size_t lateAtFleet = 0;
        std::size_t lateAtNode = 0;
        std::size_t sent = 0;
        std::size_t refused = 0;
        std::size_t told = 0;
    };

    auto play() -> Result
    {
        Result result;
        std::vector<TimePoint> leavesAt (replicas, TimePoint::max());

        for (auto number = std::size_t { 0 }; number < leavingReplicas; ++number)
            leavesAt[number] = start + milliseconds (500 + random() % 1500);

        std::vector<TimePoint> firstTold (replicas, TimePoint::max());
        std::vector<std::vector<TimePoint>> toldAt (nodes.size(),
                                                    std::vector<TimePoint> (replicas, TimePoint::max()));
        constexpr auto storeFaults = 5U;
        const auto storeFault = static_cast<unsigned> (random() % storeFaults);

        for (auto now = start; now < start + 8s; now += 10ms)
        {
            changeStore (storeFault, now);
            deliver (now);

            for (auto number = std::size_t { 0 }; number < nodes.size(); ++number)
            {
                auto& node = nodes[number];
                tell (number, now);

                if (random() % 4 != 0)
                    continue;

                auto taken = node.table.take ("model", nextInput(), {}, now);

                if (! taken)
                {
                    ++result.refused;
                    continue;
                }

                ++result.sent;
                const auto index = std::stoul (taken->ticket.info.name.substr (replicaName.size()));
                result.lateAtNode += now > addUpTo (toldAt[number][index], 50ms);
                result.lateAtFleet += now > addUpTo (firstTold[index], newsBound);
                node.table.release (taken->ticket, AttemptHealth::good, now);

                if (now < leavesAt[index])
                    continue;

                firstTold[index] = std::min (firstTold[index], now);
                toldAt[number][index] = std::min (toldAt[number][index], now);
                ++result.told;
                const auto incarnation = incarnationHash (taken->ticket.info);

                if (recordShownLeaving (node.directory, incarnation, now))
                {
                    publish (node, now);
                    addLeavingNews (node.news, incarnation, false, now);
                }
            }
        }

        return result;
    }

private:
    static constexpr auto simulated = std::size_t { 12 };
    static constexpr auto replicaName = std::string_view ("replica-");

    struct Message
    {
        TimePoint at {};
        std::size_t target = 0;
        LeavingNotice notice;
    };

    static auto addUpTo (TimePoint time, Duration delay) -> TimePoint
    {
        return time == TimePoint::max() ? time : time + delay;
    }

    /** @returns the input for a prompt of its own, so that requests are spread over the replicas. */
    auto nextInput() -> ChoiceInput
    {
        constexpr auto tokens = 1000.0;
        blocks = { random() };
        ChoiceInput input;
        input.draw = random();
        input.blocks = blocks;
        input.promptTokens = tokens;
        return input;
    }

    [[nodiscard]] auto entry (std::size_t number) const -> DirectoryEntry
    {
        auto made = replicaEntry (std::string (replicaName) + std::to_string (number), revision);
        made.info.endpoint = "10.0.0.1:" + std::to_string (1000 + number);
        return made;
    }

    static auto publish (SimulatedNode& node, TimePoint now) -> void
    {
        const auto changes = takeListChanges (node.directory);
        node.table.applyChanges (changes.changed, changes.removed, now);
    }

    /** All nodes list all replicas as ready, at a new revision; or they have all lapsed. */
    auto listAll (TimePoint now, bool isLapsed) -> void
    {
        ++revision;
        ListedEntries listed;

        for (auto number = std::size_t { 0 }; number < replicas && ! isLapsed; ++number)
            listed.entries.push_back (entry (number));

        for (auto& node : nodes)
        {
            applyList (node.directory, listed, revision, now);
            publish (node, now);
        }
    }

    auto changeStore (unsigned fault, TimePoint now) -> void
    {
        const auto passed = std::chrono::duration_cast<milliseconds> (now - start).count();

        // 0: the store is silent. 1, 2: it lists the replicas as ready each 0.5 s. 3: their entries lapse and come back.
        // 4: the nodes were cut off from it, and list all anew once.
        if ((fault == 1 || fault == 2) && passed % 500 == 0)
            listAll (now, false);

        if (fault == 3 && passed % 1600 == 800)
            listAll (now, true);

        if (fault == 3 && passed % 1600 == 1400)
            listAll (now, false);

        if (fault == 4 && passed == 3000)
            listAll (now, false);
    }

    auto tell (std::size_t sender, TimePoint now) -> void
    {
        auto& node = nodes[sender];

        if (now < node.nextSend)
            return;

        const auto due = takeLeavingNews (node.news, node.directory, now);
        node.nextSend = now + (due.empty() ? milliseconds (200) : milliseconds (60));

        if (due.empty())
            return;

        const auto datagrams = encodeDatagrams (LeavingNotice { "node", due }, "secret", now);

        for (auto target = std::size_t { 0 }; target < nodes.size(); ++target)
        {
            // Members send to readers only.
            if (target == sender || (! node.isReader && ! nodes[target].isReader))
                continue;

            for (const auto& datagram : datagrams)
                if (random() % 100 >= lossPercent)
                    messages.push_back (
                        { now + milliseconds (1 + random() % maxHop.count()), target,
                          std::get<LeavingNotice> (*decodeMessage (datagram, "secret", now)) });
        }
    }

    auto deliver (TimePoint now) -> void
    {
        for (const auto& message : messages)
            if (message.at <= now)
                receive (nodes[message.target], message.notice, now);

        std::erase_if (messages, [now] (const Message& message) { return message.at <= now; });
    }

    auto receive (SimulatedNode& node, const LeavingNotice& notice, TimePoint now) const -> void
    {
        for (const auto incarnation : notice.incarnations)
        {
            if (! recordShownLeaving (node.directory, incarnation, now))
                continue;

            publish (node, now);

            if (! hasForwarding || ! node.isReader)
                continue;

            addLeavingNews (node.news, incarnation, true, now);
            // The loop is woken.
            node.nextSend = now;
        }
    }

    std::mt19937 random;
    std::vector<SimulatedNode> nodes;
    std::vector<Message> messages;
    std::size_t replicas = 0;
    std::size_t leavingReplicas = 0;
    std::uint32_t lossPercent = 0;
    bool hasForwarding = false;
    std::uint64_t revision = 0;
    std::vector<std::uint64_t> blocks;
};

/** @returns the number of seeds of each fleet; SNOWRUDDER_LEAVING_SEEDS sets a larger one for runs by hand. */
auto seedCount() -> unsigned
{
    constexpr auto inRegularRuns = 100U;
    const auto* text = std::getenv ("SNOWRUDDER_LEAVING_SEEDS");
    return text != nullptr ? static_cast<unsigned> (std::stoul (text)) : inRegularRuns;
}

} // namespace

TEST_CASE ("no request is sent to a replica that said in an answer that it leaves, whatever the store lists")
{
    for (const auto nodes :
         { std::size_t { 7 }, std::size_t { 83 }, std::size_t { 295 }, std::size_t { 986 } })
        for (auto seed = 1U; seed <= seedCount(); ++seed)
        {
            CAPTURE (nodes, seed);
            const auto result = LeavingWorld (nodes, seed).play();
            REQUIRE (result.told > 0);
            REQUIRE (result.lateAtNode == 0);
            REQUIRE (result.lateAtFleet == 0);
        }
}

TEST_CASE ("that a replica leaves is known as long as its incarnation is listed, and not of the next one at "
           "its address")
{
    ReplicaDirectory directory;
    auto entry = replicaEntry ("one", 3);
    entry.info.endpoint = "10.0.0.1:80";
    applyList (directory, { { entry }, {} }, 4, start);
    const auto incarnation = incarnationHash (entry.info);

    CHECK (recordShownLeaving (directory, incarnation, start));
    CHECK_FALSE (recordShownLeaving (directory, incarnation, start + 1s));
    CHECK (leaves (directory.entries.at (entry.key)));
    const auto changes = takeListChanges (directory);
    REQUIRE (changes.changed.size() == 1);
    CHECK (changes.changed.front().leaving);

    // The entry lapses and is written again, long after.
    applyList (directory, {}, 5, start + 2s);
    CHECK (directory.entries.empty());
    entry.revision = 6;
    applyList (directory, { { entry }, {} }, 6, start + 5min);
    CHECK (leaves (directory.entries.at (entry.key)));

    // What is known of listed incarnations is kept as others are forgotten.
    const auto muchLater = start + 5min + ReplicaDirectory::shownLeavingKept + 1s;
    CHECK (recordShownLeaving (directory, 77, start + 5min));
    CHECK (recordShownLeaving (directory, 78, muchLater));
    CHECK (directory.shownLeaving.contains (incarnation));
    CHECK_FALSE (directory.shownLeaving.contains (77));

    // The next replica at the address has another name.
    auto next = replicaEntry ("two", 8);
    next.info.endpoint = entry.info.endpoint;
    applyList (directory, { { next }, {} }, 9, muchLater);
    CHECK_FALSE (leaves (directory.entries.at (next.key)));
}

TEST_CASE ("nodes tell others that a replica leaves unless the store says so, each piece of news three times")
{
    ReplicaDirectory directory;
    auto entry = replicaEntry ("one", 3);
    applyList (directory, { { entry, replicaEntry ("two", 3) }, {} }, 4, start);
    const auto incarnation = incarnationHash (entry.info);
    const auto other = incarnationHash (replicaEntry ("two", 3).info);
    LeavingNews news;
    recordShownLeaving (directory, incarnation, start);
    recordShownLeaving (directory, other, start);
    addLeavingNews (news, incarnation, false, start);
    addLeavingNews (news, other, true, start);

    CHECK (takeLeavingNews (news, directory, start) == std::vector { other });
    CHECK (allLeavingNews (directory).size() == 2);
    entry.isLeaving = true;
    entry.revision = 7;
    applyEntry (directory, entry);

    auto sent = 1;

    for (auto now = start; now < start + 2s; now += 10ms)
    {
        const auto due = takeLeavingNews (news, directory, now);
        CHECK (std::ranges::find (due, incarnation) == due.end());
        sent += static_cast<int> (due.size());
    }

    CHECK (sent == 3);
    CHECK (news.pending.empty());
    CHECK (allLeavingNews (directory) == std::vector { other });
}
