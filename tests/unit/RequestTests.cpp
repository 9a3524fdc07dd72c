#include "snowrudder_requests/snowrudder_requests.h"

#include <catch2/catch.hpp>

#include <random>

using namespace snowrudder;

namespace
{

constexpr auto now = TimePoint (1h);
constexpr auto wallNow = WallTime (std::chrono::milliseconds (1'800'000'000'000));

auto inputAt (bool repeatable) -> RetryInput
{
    RetryInput input;
    input.repeatable = repeatable;
    input.deadline = now + 10s;
    return input;
}

auto entryAt (WallTime time, std::uint64_t content = 1) -> KeyEntry
{
    return { "account", makeUuid (time), content, KeyState::running, "r.1" };
}

/** @returns a table that owns every slot and is complete from a wall time on. */
auto owningTable (WallTime knownSince) -> KeyTable
{
    KeyTable table;

    for (auto slot = std::uint32_t { 0 }; slot < keySlotCount; ++slot)
        table.inherit (slot, 2, knownSince, {});

    return table;
}

} // namespace

TEST_CASE ("a complete answer is handed over until a caller has read it to the end")
{
    RequestIdentity identity;
    identity.stream = true;
    identity.includeUsage = true;
    RequestRecord record (std::move (identity));
    CHECK_FALSE (record.takeForHandover());
    record.keepRequest (std::make_shared<const ChatRequest>());
    ChatChunk chunk;
    chunk.content = "one";
    record.append (chunk);
    record.finish ("stop", { 7, 2, 3 });

    std::string events;
    CHECK (record.readStream (0, events).lastEvent == 3);
    record.updateReadPosition (2);
    const auto handed = record.takeForHandover();
    REQUIRE (handed);
    CHECK (handed->finishReason == "stop");
    CHECK (handed->answer.text() == "one");
    CHECK (handed->answerTokens == 3);
    CHECK (record.state() == RecordState::finished);

    record.updateReadPosition (3);
    CHECK_FALSE (record.takeForHandover());
}

TEST_CASE ("an incomplete answer is handed over once, and its record is closed here")
{
    RequestRecord record ({});
    record.keepRequest (std::make_shared<const ChatRequest>());
    const auto handed = record.takeForHandover();
    REQUIRE (handed);
    CHECK_FALSE (handed->finishReason);
    CHECK (record.state() == RecordState::handedOver);
    CHECK_FALSE (record.takeForHandover());
}

TEST_CASE ("only attempts that were not sent or were refused are proved not to have run")
{
    CHECK (ranAfter ({ CallStage::notSent, FailureCause::connectFailed }) == Ran::no);
    CHECK (ranAfter ({ CallStage::receiving, FailureCause::refused }) == Ran::no);

    for (const auto stage : { CallStage::sending, CallStage::sent, CallStage::receiving })
        for (const auto cause :
             { FailureCause::cut, FailureCause::timedOut, FailureCause::invalid, FailureCause::failed })
            CHECK (ranAfter ({ stage, cause }) == Ran::unknown);
}

TEST_CASE ("a non-repeatable request that may have run is not retried")
{
    const auto decision = decideAfterFailure ({ CallStage::sent, FailureCause::cut }, inputAt (false), now);
    CHECK_FALSE (decision.shouldRetry);
    CHECK (decision.ran == Ran::unknown);

    auto second = inputAt (false);
    second.mayHaveRun = true;
    const auto refused = decideAfterFailure ({ CallStage::receiving, FailureCause::refused }, second, now);
    CHECK_FALSE (refused.shouldRetry);
    CHECK (refused.ran == Ran::unknown);
}

TEST_CASE ("a request that did not run is retried within its attempts, budget and deadline")
{
    const AttemptOutcome refused { CallStage::receiving, FailureCause::refused };
    CHECK (decideAfterFailure (refused, inputAt (false), now).shouldRetry);

    auto last = inputAt (true);
    last.attempts = defaultMaxAttempts;
    CHECK_FALSE (decideAfterFailure (refused, last, now).shouldRetry);

    auto spent = inputAt (true);
    spent.budgetLeft = false;
    CHECK_FALSE (decideAfterFailure (refused, spent, now).shouldRetry);

    auto begun = spent;
    begun.answerBegun = true;
    CHECK (decideAfterFailure (refused, begun, now).shouldRetry);

    auto late = inputAt (true);
    late.deadline = now;
    const auto decision = decideAfterFailure (refused, late, now);
    CHECK_FALSE (decision.shouldRetry);
    CHECK (decision.ran == Ran::no);
}

TEST_CASE ("attempts at stale entries don't count against the limit, and refused connections need no budget")
{
    const AttemptOutcome refusedConnection { CallStage::notSent, FailureCause::connectFailed };
    const AttemptOutcome misdirected { CallStage::receiving, FailureCause::misdirected };
    const AttemptOutcome declined { CallStage::receiving, FailureCause::refused };
    AttemptCount count;

    for (auto attempt = 0; attempt < 100; ++attempt)
        recordFailure (count, attempt % 2 == 0 ? refusedConnection : misdirected);

    CHECK (countedAttempts (count, 0) == 1);
    recordFailure (count, declined);
    recordFailure (count, declined);
    CHECK (countedAttempts (count, 0) == 2);
    CHECK (countedAttempts (count, 2) == 1);
    recordFailure (count, { CallStage::sent, FailureCause::cut });
    recordFailure (count, { CallStage::sent, FailureCause::cut });
    CHECK (countedAttempts (count, 2) == 2);

    auto input = inputAt (false);
    input.attempts = 1;
    input.budgetLeft = false;
    const auto decision = decideAfterFailure (refusedConnection, input, now);
    CHECK (decision.shouldRetry);
    CHECK_FALSE (decision.takesBudget);
    CHECK (decision.pause == Duration::zero());
    // A replica received this attempt, so that a retry needs the budget.
    CHECK_FALSE (decideAfterFailure (misdirected, input, now).shouldRetry);
    input.budgetLeft = true;
    CHECK (decideAfterFailure (misdirected, input, now).takesBudget);
}

TEST_CASE ("retries are limited to a share of the requests")
{
    RetryBudget budget;
    CHECK (takeRetry (budget));
    CHECK_FALSE (takeRetry (budget));

    for (auto request = 0; request < 10; ++request)
        earnRetry (budget, 10.0);

    CHECK (budget.left == Approx (1.0));
}

// Guards against a budget too small for requests that a version on trial fails: a node that had just started or had
// received few requests had a single retry, and callers got the failure (`upstream_failed sends=1`) although a working
// version was in service.
TEST_CASE ("requests that fail on a version on trial are always retried if the retry is taken beforehand")
{
    const auto account = std::string();
    const auto service = std::string ("model");
    constexpr auto requests = 10'000;
    constexpr auto exposed = 0.06;
    constexpr auto percent = 10.0;
    std::mt19937 random (1);
    std::bernoulli_distribution isExposed (exposed);
    auto withoutReserve = 0;
    auto runByTrial = 0;

    for (const auto isTakenBefore : { false, true })
    {
        RetryBudgets budgets;
        budgets.setMaxSaved (1.7);

        for (auto request = 0; request < requests; ++request)
        {
            budgets.earn (account, service, percent);

            if (! isExposed (random))
                continue;

            const auto hasRetry = budgets.take (account, service);
            withoutReserve += ! isTakenBefore && ! hasRetry ? 1 : 0;
            runByTrial += isTakenBefore && hasRetry ? 1 : 0;
        }
    }

    CHECK (withoutReserve > 50);
    // The version on trial still receives most of its share of the requests.
    CHECK (runByTrial > 0.75 * exposed * requests);
}

TEST_CASE ("a node starts with the full retry budget once it knows its share")
{
    RetryBudgets budgets;
    CHECK (budgets.take ("a", "s"));
    CHECK_FALSE (budgets.take ("a", "s"));
    budgets.setMaxSaved (3.0);
    CHECK (budgets.take ("a", "s"));
    CHECK (budgets.take ("a", "s"));
    CHECK_FALSE (budgets.take ("a", "s"));

    // A change of its share adds no retries.
    budgets.setMaxSaved (8.0);
    CHECK_FALSE (budgets.take ("a", "s"));
    budgets.giveBack ("a", "s");
    CHECK (budgets.take ("a", "s"));

    for (auto count = 0; count < 8; ++count)
        CHECK (budgets.take ("a", "another"));

    CHECK_FALSE (budgets.take ("a", "another"));
}

TEST_CASE ("a keyed call runs once, and repeats of it join")
{
    auto table = owningTable (wallNow - 1h);
    const auto call = entryAt (wallNow);
    CHECK (table.decide (call, now, wallNow, now + 1s).verdict == KeyVerdict::run);
    CHECK (table.decide (call, now, wallNow, now + 1s).verdict == KeyVerdict::join);

    auto other = call;
    other.contentHash = 2;
    CHECK (table.decide (other, now, wallNow, now + 1s).verdict == KeyVerdict::conflict);

    table.recordEnd (call.account, call.key, Ran::unknown, false);
    CHECK (table.decide (call, now, wallNow, now + 1s).verdict == KeyVerdict::unknown);
}

TEST_CASE ("a call that joins gets the record of the running call as soon as the key is known")
{
    // Guards against a separate lookup of the record in a table to which it was added after the key: a repeat that
    // arrived in between got 409.
    auto table = owningTable (wallNow - 1h);
    auto call = entryAt (wallNow);
    auto record = std::make_shared<RequestRecord> (RequestIdentity {});
    call.record = record;
    CHECK (table.decide (call, now, wallNow, now + 1s).verdict == KeyVerdict::run);

    auto second = call;
    second.record = std::make_shared<RequestRecord> (RequestIdentity {});
    const auto joined = table.decide (second, now, wallNow, now + 1s);
    CHECK (joined.verdict == KeyVerdict::join);
    CHECK (joined.entry->record.lock() == record);

    // The key does not keep the answer alive: the table of records bounds its memory and time.
    record.reset();
    CHECK (table.decide (second, now, wallNow, now + 1s).entry->record.expired());
}

TEST_CASE ("a request that is handed over twice is added once")
{
    RequestTable table (1s, 1024);
    RequestIdentity identity;
    identity.id = { "router", makeUuid (wallNow) };
    const auto first = std::make_shared<RequestRecord> (identity);
    const auto second = std::make_shared<RequestRecord> (identity);
    CHECK (table.addHandedOver (first) == first);
    CHECK (table.addHandedOver (second) == first);
    CHECK (table.openCount() == 1);
}

TEST_CASE ("a call that is proved not to have run can be made again")
{
    auto table = owningTable (wallNow - 1h);
    const auto call = entryAt (wallNow);
    table.decide (call, now, wallNow, now + 1s);
    table.recordEnd (call.account, call.key, Ran::no, false);
    CHECK (table.decide (call, now, wallNow, now + 1s).verdict == KeyVerdict::run);
}

TEST_CASE ("an owner runs no call after its lease, and none that an earlier owner may have run")
{
    auto table = owningTable (wallNow);
    CHECK (table.decide (entryAt (wallNow + 1ms), now, wallNow, now).verdict == KeyVerdict::notOwner);
    CHECK (table.decide (entryAt (wallNow + 1ms), now, wallNow, {}).verdict == KeyVerdict::notOwner);
    CHECK (table.decide (entryAt (wallNow - 1ms), now, wallNow, now + 1s).verdict == KeyVerdict::unknown);
    CHECK (table.decide (entryAt (wallNow + 2s), now, wallNow, now + 1s).verdict == KeyVerdict::tooNew);

    auto old = owningTable ({});
    CHECK (old.decide (entryAt (wallNow - std::chrono::minutes (11)), now, wallNow, now + 1s).verdict ==
           KeyVerdict::unknown);
    CHECK (KeyTable().decide (entryAt (wallNow), now, wallNow, now + 1s).verdict == KeyVerdict::notOwner);
}

TEST_CASE ("keys that are handed over are known to the new owner")
{
    auto first = owningTable (wallNow - 1h);
    const auto finished = entryAt (wallNow);
    const auto running = entryAt (wallNow);
    first.decide (finished, now, wallNow, now + 1s);
    first.decide (running, now, wallNow, now + 1s);
    first.recordEnd (finished.account, finished.key, Ran::yes, true);

    KeyTable newOwner;

    for (const auto& [slot, owned] : first.owned())
        newOwner.inherit (slot, owned.epoch + 1, owned.knownSince, first.entriesOf (slot));

    CHECK (newOwner.decide (finished, now, wallNow, now + 1s).verdict == KeyVerdict::join);
    CHECK (newOwner.decide (running, now, wallNow, now + 1s).verdict == KeyVerdict::unknown);
    CHECK (newOwner.decide (entryAt (wallNow), now, wallNow, now + 1s).verdict == KeyVerdict::run);
}

TEST_CASE ("slots without a live owner are claimed by one router only")
{
    SlotView view;
    view.owners = { { "a", 1 }, { "b", 2 }, { "c", 3 } };
    auto claimed = std::size_t { 0 };

    for (const auto* name : { "a", "b", "c" })
    {
        const auto slots = slotsToClaim (view, name);
        CHECK (slots.size() > keySlotCount / 6);
        claimed += slots.size();
    }

    CHECK (claimed == keySlotCount);

    for (auto slot = std::uint32_t { 0 }; slot < keySlotCount; ++slot)
        view.slots[slot] = { "a", "127.0.0.1:1", 1, 1, 0, 9 };

    CHECK (slotsToClaim (view, "b").empty());
    view.owners["a"] = 7;
    CHECK (liveOwner (view, 0) == nullptr);
}

TEST_CASE ("slot records survive a round trip, and malformed ones are skipped")
{
    const SlotRecord record { "a", "127.0.0.1:1", 4, 5, 6, 0 };
    const auto read = parseSlotRecord (toText (record));
    REQUIRE (read.has_value());
    CHECK (read->owner == "a");
    CHECK (read->epoch == 4);
    CHECK (read->lease == 5);

    for (const auto* text :
         { "", "{", "[]", "{}", R"({"owner":"a"})", R"({"owner":1,"endpoint":"x","epoch":1})" })
        CHECK_FALSE (parseSlotRecord (text).has_value());

    SlotView view;
    addToView (view, "slots/99", toText (record), 1);
    addToView (view, "slots/x", toText (record), 1);
    addToView (view, "slots/3", "nonsense", 1);
    CHECK (view.slots.empty());
}

TEST_CASE ("a streamed answer resumes from any event")
{
    const ChatWriter writer ({ "id", "m", {} });
    StreamedAnswer answer;
    answer.appendText ("one");
    answer.appendChoice (R"({"index":0,"delta":{"tool_calls":[]}})");
    answer.appendText (" two");

    std::string rest;
    CHECK (answer.write (writer, 1, 1 << 20, rest) == 3);
    CHECK (rest.find ("id: 2\n") != std::string::npos);
    CHECK (rest.find (R"("content":" two")") != std::string::npos);
    CHECK (rest.find (R"("content":"one")") == std::string::npos);

    const auto restored = StreamedAnswer::restore (answer.text(), answer.eventCodes(), answer.choices());
    REQUIRE (restored.has_value());
    std::string rewritten;
    restored->write (writer, 1, 1 << 20, rewritten);
    CHECK (rewritten == rest);

    CHECK_FALSE (StreamedAnswer::restore ("one", { 2 }, {}).has_value());
    CHECK_FALSE (StreamedAnswer::restore ("one", { 6, 4 }, {}).has_value());
    CHECK_FALSE (StreamedAnswer::restore ("one", { 6, 1 }, {}).has_value());
}
