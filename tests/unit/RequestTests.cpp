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

/** A table that owns every slot since a wall time. */
auto owningTable (WallTime knownSince) -> KeyTable
{
    KeyTable table;

    for (auto slot = std::uint32_t { 0 }; slot < keySlotCount; ++slot)
        table.inherit (slot, 2, knownSince, {});

    return table;
}

} // namespace

TEST_CASE ("an answer that is whole is handed over until a caller has read it to the end")
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
    record.noteRead (2);
    const auto handed = record.takeForHandover();
    REQUIRE (handed);
    CHECK (handed->finishReason == "stop");
    CHECK (handed->answer.text() == "one");
    CHECK (handed->answerTokens == 3);
    CHECK (record.state() == RecordState::finished);

    record.noteRead (3);
    CHECK_FALSE (record.takeForHandover());
}

TEST_CASE ("an answer that goes on is handed over once, and ends here")
{
    RequestRecord record ({});
    record.keepRequest (std::make_shared<const ChatRequest>());
    const auto handed = record.takeForHandover();
    REQUIRE (handed);
    CHECK_FALSE (handed->finishReason);
    CHECK (record.state() == RecordState::handedOver);
    CHECK_FALSE (record.takeForHandover());
}

TEST_CASE ("only what was not sent or was refused is proved not to have run")
{
    CHECK (ranAfter ({ CallStage::notSent, FailureCause::connectFailed }) == Ran::no);
    CHECK (ranAfter ({ CallStage::receiving, FailureCause::refused }) == Ran::no);

    for (const auto stage : { CallStage::sending, CallStage::sent, CallStage::receiving })
        for (const auto cause :
             { FailureCause::cut, FailureCause::timedOut, FailureCause::invalid, FailureCause::failed })
            CHECK (ranAfter ({ stage, cause }) == Ran::unknown);
}

TEST_CASE ("what may have run and may not repeat is not tried again")
{
    const auto decision = decideAfterFailure ({ CallStage::sent, FailureCause::cut }, inputAt (false), now);
    CHECK_FALSE (decision.again);
    CHECK (decision.ran == Ran::unknown);

    auto second = inputAt (false);
    second.mayHaveRun = true;
    const auto refused = decideAfterFailure ({ CallStage::receiving, FailureCause::refused }, second, now);
    CHECK_FALSE (refused.again);
    CHECK (refused.ran == Ran::unknown);
}

TEST_CASE ("what was not run is tried again, within attempts, budget and deadline")
{
    const AttemptOutcome refused { CallStage::receiving, FailureCause::refused };
    CHECK (decideAfterFailure (refused, inputAt (false), now).again);

    auto last = inputAt (true);
    last.attempts = usualMostAttempts;
    CHECK_FALSE (decideAfterFailure (refused, last, now).again);

    auto spent = inputAt (true);
    spent.budgetLeft = false;
    CHECK_FALSE (decideAfterFailure (refused, spent, now).again);

    auto begun = spent;
    begun.answerBegun = true;
    CHECK (decideAfterFailure (refused, begun, now).again);

    auto late = inputAt (true);
    late.deadline = now;
    const auto decision = decideAfterFailure (refused, late, now);
    CHECK_FALSE (decision.again);
    CHECK (decision.ran == Ran::no);
}

TEST_CASE ("attempts that met nobody leave a request's number of attempts and the budget untouched")
{
    const AttemptOutcome refusedConnection { CallStage::notSent, FailureCause::connectFailed };
    const AttemptOutcome misdirected { CallStage::receiving, FailureCause::misdirected };
    const AttemptOutcome declined { CallStage::receiving, FailureCause::refused };
    AttemptCount count;

    for (auto attempt = 0; attempt < 100; ++attempt)
        noteFailed (count, attempt % 2 == 0 ? refusedConnection : misdirected);

    CHECK (countedAttempts (count, 0) == 1);
    noteFailed (count, declined);
    noteFailed (count, declined);
    CHECK (countedAttempts (count, 0) == 2);
    CHECK (countedAttempts (count, 2) == 1);
    noteFailed (count, { CallStage::sent, FailureCause::cut });
    noteFailed (count, { CallStage::sent, FailureCause::cut });
    CHECK (countedAttempts (count, 2) == 2);

    auto input = inputAt (false);
    input.attempts = 1;
    input.budgetLeft = false;
    const auto decision = decideAfterFailure (refusedConnection, input, now);
    CHECK (decision.again);
    CHECK_FALSE (decision.takesBudget);
    CHECK (decision.pause == Duration::zero());
    // A replica did see this one.
    CHECK_FALSE (decideAfterFailure (misdirected, input, now).again);
    input.budgetLeft = true;
    CHECK (decideAfterFailure (misdirected, input, now).takesBudget);
}

TEST_CASE ("retries are a share of requests")
{
    RetryBudget budget;
    CHECK (takeRetry (budget));
    CHECK_FALSE (takeRetry (budget));

    for (auto request = 0; request < 10; ++request)
        earnRetry (budget, 10.0);

    CHECK (budget.left == Approx (1.0));
}

// A node that had just started, and any node after a few requests, had a single retry: callers got an unproved version's failure
// (`upstream_failed sends=1`) while a sound version was in service.
TEST_CASE ("what an unproved version fails is always run again where its retry is taken before")
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
        budgets.setMostSaved (1.7);

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
    // The version is still seen by nearly all of its share.
    CHECK (runByTrial > 0.75 * exposed * requests);
}

TEST_CASE ("a node begins with the retries that it may save up, once it knows its part")
{
    RetryBudgets budgets;
    CHECK (budgets.take ("a", "s"));
    CHECK_FALSE (budgets.take ("a", "s"));
    budgets.setMostSaved (3.0);
    CHECK (budgets.take ("a", "s"));
    CHECK (budgets.take ("a", "s"));
    CHECK_FALSE (budgets.take ("a", "s"));

    // A change of its part gives nothing more.
    budgets.setMostSaved (8.0);
    CHECK_FALSE (budgets.take ("a", "s"));
    budgets.giveBack ("a", "s");
    CHECK (budgets.take ("a", "s"));

    for (auto count = 0; count < 8; ++count)
        CHECK (budgets.take ("a", "another"));

    CHECK_FALSE (budgets.take ("a", "another"));
}

TEST_CASE ("a key runs once and is joined after that")
{
    auto table = owningTable (wallNow - 1h);
    const auto call = entryAt (wallNow);
    CHECK (table.decide (call, now, wallNow, now + 1s).verdict == KeyVerdict::run);
    CHECK (table.decide (call, now, wallNow, now + 1s).verdict == KeyVerdict::join);

    auto other = call;
    other.contentHash = 2;
    CHECK (table.decide (other, now, wallNow, now + 1s).verdict == KeyVerdict::conflict);

    table.noteEnd (call.account, call.key, Ran::unknown, false);
    CHECK (table.decide (call, now, wallNow, now + 1s).verdict == KeyVerdict::unknown);
}

TEST_CASE ("a call that joins has the record of the call that runs from the moment at which the key is known")
{
    // The record was looked up in another table, to which it was added after the key: who came in between was told 409.
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

    // The key does not keep the answer: that is bounded by the bytes and the time of the table of records.
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
    CHECK (table.addHanded (first) == first);
    CHECK (table.addHanded (second) == first);
    CHECK (table.openCount() == 1);
}

TEST_CASE ("a call that is proved not to have run may run yet")
{
    auto table = owningTable (wallNow - 1h);
    const auto call = entryAt (wallNow);
    table.decide (call, now, wallNow, now + 1s);
    table.noteEnd (call.account, call.key, Ran::no, false);
    CHECK (table.decide (call, now, wallNow, now + 1s).verdict == KeyVerdict::run);
}

TEST_CASE ("an owner runs nothing past its lease, nor what an earlier owner may have run")
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

TEST_CASE ("keys handed over are known to the heir")
{
    auto first = owningTable (wallNow - 1h);
    const auto finished = entryAt (wallNow);
    const auto running = entryAt (wallNow);
    first.decide (finished, now, wallNow, now + 1s);
    first.decide (running, now, wallNow, now + 1s);
    first.noteEnd (finished.account, finished.key, Ran::yes, true);

    KeyTable heir;

    for (const auto& [slot, owned] : first.owned())
        heir.inherit (slot, owned.epoch + 1, owned.knownSince, first.entriesOf (slot));

    CHECK (heir.decide (finished, now, wallNow, now + 1s).verdict == KeyVerdict::join);
    CHECK (heir.decide (running, now, wallNow, now + 1s).verdict == KeyVerdict::unknown);
    CHECK (heir.decide (entryAt (wallNow), now, wallNow, now + 1s).verdict == KeyVerdict::run);
}

TEST_CASE ("slots without a living owner are claimed by one router only")
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

TEST_CASE ("slot records read back, and nonsense is passed over")
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
    std::string again;
    restored->write (writer, 1, 1 << 20, again);
    CHECK (again == rest);

    CHECK_FALSE (StreamedAnswer::restore ("one", { 2 }, {}).has_value());
    CHECK_FALSE (StreamedAnswer::restore ("one", { 6, 4 }, {}).has_value());
    CHECK_FALSE (StreamedAnswer::restore ("one", { 6, 1 }, {}).has_value());
}
