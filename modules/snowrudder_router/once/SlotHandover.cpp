#include "SlotHandover.h"

#include "../peers/PeerCalls.h"
#include "node_messages.pb.h"

#include "snowrudder_platform/snowrudder_platform.h"

namespace snowrudder
{

namespace
{

constexpr auto maxHandedAnswerBytes = std::size_t { 64 * 1024 };

/** A successor and the slots that it receives. */
struct SuccessorShare
{
    std::string name;
    std::string endpoint;
    std::uint64_t lease = 0;
    schema::HandedSlots message;
};

auto toHandedKey (const KeyEntry& entry, schema::HandedKey& handed) -> void
{
    handed.set_account (entry.account);
    handed.set_key (toString (entry.key));
    handed.set_content_hash (entry.contentHash);
    handed.set_state (static_cast<std::uint32_t> (entry.state));
    handed.set_request_id (entry.requestId);

    const auto record = entry.record.lock();
    const auto answer = record ? record->keptAnswer() : std::nullopt;

    if (! answer || answer->body.size() > maxHandedAnswerBytes)
        return;

    handed.mutable_answer()->set_status (answer->status);
    handed.mutable_answer()->set_content_type (answer->contentType);
    handed.mutable_answer()->set_body (answer->body);
}

/** Waits until no call with an idempotency key is running in any slot of this router, or until a point in time. */
auto waitForKeyedCalls (RouterState& state, Worker& worker, TimePoint until) -> Task<void>
{
    while (BootClock::now() < until)
    {
        auto running = std::size_t { 0 };

        {
            const std::lock_guard lock (state.once.mutex);

            for (const auto& [slot, owned] : state.once.table.owned())
                running += state.once.table.runningIn (slot);
        }

        if (running == 0)
            co_return;

        co_await pauseFor (worker.loop, 20ms);
    }
}

/** Freezes all slots and divides them among the routers with valid leases. */
auto divideSlots (RouterState& state) -> std::map<std::string, SuccessorShare>
{
    std::map<std::string, SuccessorShare> shares;
    const std::lock_guard lock (state.once.mutex);
    auto others = state.once.view;
    others.owners.erase (state.settings.node().name());

    for (const auto& [slot, owned] : state.once.table.owned())
    {
        const auto successor = preferredOwner (others, slot);
        const auto* peer = findPeer (state, successor);

        if (peer == nullptr)
            continue;

        auto& share = shares[successor];
        share.name = successor;
        share.endpoint = peer->endpoint();
        share.lease = others.owners[successor];

        auto& handed = *share.message.add_slots();
        handed.set_slot (slot);
        handed.set_epoch (owned.epoch + 1);
        handed.set_known_since_milliseconds (
            static_cast<std::uint64_t> (owned.knownSince.time_since_epoch().count()));
    }

    for (const auto& [name, share] : shares)
        for (const auto& handed : share.message.slots())
            state.once.table.setFrozen (handed.slot(), true);

    return shares;
}

auto fillKeys (RouterState& state, schema::HandedSlot& handed) -> void
{
    std::vector<KeyEntry> entries;

    {
        const std::lock_guard lock (state.once.mutex);
        entries = state.once.table.entriesOf (handed.slot());
    }

    for (const auto& entry : entries)
        toHandedKey (entry, *handed.add_keys());
}

/** Makes the successor the owner of a slot in the platform's record. */
auto writeSuccessor (RouterState& state,
                     PlatformClient& platform,
                     const SuccessorShare& share,
                     const schema::HandedSlot& handed) -> Task<void>
{
    SlotRecord record;
    record.owner = share.name;
    record.endpoint = share.endpoint;
    record.epoch = handed.epoch();
    record.lease = share.lease;
    record.knownSinceMilliseconds = handed.known_since_milliseconds();
    auto expected = std::uint64_t { 0 };

    {
        const std::lock_guard lock (state.once.mutex);
        state.once.table.releaseSlot (handed.slot());
        expected = state.once.view.slots[handed.slot()].version;
    }

    const auto written =
        co_await platform.swap (slotKey (handed.slot()), expected, toText (record), 0, "slots");

    // Updates the local view too, so that later calls are forwarded to the successor: a leaving router no longer reads the
    // slot listing.
    if (written.outcome == WriteOutcome::done)
    {
        const std::lock_guard lock (state.once.mutex);
        state.once.view.slots[handed.slot()] = record;
    }

    LogLine ("slot_handed_over")
        .with ("slot", handed.slot())
        .with ("to", share.name)
        .with ("epoch", handed.epoch())
        .with ("written", written.outcome == WriteOutcome::done ? "yes" : "no")
        .info();
}

/** Keeps the answer of a call that the slot's previous owner made, so that this router can return it again.

    @returns the record that holds the answer; nullptr if the request identifier is malformed
*/
auto keepHandedAnswer (RouterState& state, const schema::HandedKey& handed) -> std::shared_ptr<RequestRecord>
{
    const auto id = parseRequestId (handed.request_id());

    if (! id)
        return nullptr;

    RequestIdentity identity;
    identity.id = *id;
    identity.account = handed.account();
    identity.accepted = BootClock::now();
    identity.deadline = identity.accepted;
    identity.contentHash = handed.content_hash();

    // Allocated separately from its reference count (no make_shared), as a key keeps a weak pointer to it.
    const std::shared_ptr<RequestRecord> record = std::make_unique<RequestRecord> (std::move (identity));
    record->finish (
        KeptAnswer { handed.answer().status(), handed.answer().content_type(), handed.answer().body() });
    auto kept = state.requests.addHandedOver (record);

    if (kept == record)
        state.requests.markEnded (record, BootClock::now());

    return kept;
}

} // namespace

auto handOverSlots (RouterState& state, Worker& worker) -> Task<void>
{
    constexpr auto keyedCallTimeout = 10s;
    constexpr auto handoverTimeout = 2s;
    PlatformClient platform (worker.pool, parseEndpoint (state.settings.platform()), state.metrics);
    auto shares = divideSlots (state);
    co_await waitForKeyedCalls (state, worker, BootClock::now() + keyedCallTimeout);

    for (auto& [name, share] : shares)
    {
        for (auto& handed : *share.message.mutable_slots())
            fillKeys (state, handed);

        auto request = makeRequest (http::verb::post, "/internal/slots", share.message.SerializeAsString());
        const auto answer = co_await callPeer (state, worker, share.endpoint, std::move (request),
                                               { handoverTimeout, handoverTimeout, handoverTimeout });

        if (! answer.hasSucceeded())
        {
            LogLine ("slots_not_taken").with ("by", name).warning();
            continue;
        }

        for (const auto& handed : share.message.slots())
            co_await writeSuccessor (state, platform, share, handed);
    }

    auto lease = std::uint64_t { 0 };

    {
        const std::lock_guard lock (state.once.mutex);
        lease = std::exchange (state.once.lease, 0);
        state.once.leaseEnd.reset();
    }

    if (lease != 0)
        co_await platform.endLease (lease);
}

auto acceptHandedSlots (RouterState& state, const std::string& message) -> bool
{
    schema::HandedSlots handedSlots;

    if (! handedSlots.ParseFromString (message))
        return false;

    for (const auto& handed : handedSlots.slots())
    {
        HandedSlotTable handedTable;
        handedTable.epoch = handed.epoch();
        handedTable.knownSince = WallTime (std::chrono::milliseconds (handed.known_since_milliseconds()));

        for (const auto& key : handed.keys())
        {
            const auto uuid = parseUuid (key.key());

            if (! uuid || key.state() > static_cast<std::uint32_t> (KeyState::mayHaveRun))
                return false;

            const auto record = key.has_answer() ? keepHandedAnswer (state, key) : nullptr;
            handedTable.entries.push_back ({ key.account(), *uuid, key.content_hash(),
                                             static_cast<KeyState> (key.state()), key.request_id(), record });
        }

        const std::lock_guard lock (state.once.mutex);
        state.once.handedSlotTables[handed.slot()] = std::move (handedTable);
    }

    return true;
}

} // namespace snowrudder
