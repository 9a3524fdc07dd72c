#pragma once

#include "../attempt/AttemptOutcome.h"
#include "StreamedAnswer.h"

#include "snowrudder_chat/snowrudder_chat.h"
#include "snowrudder_core/snowrudder_core.h"
#include "snowrudder_net/concurrency/Signal.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace snowrudder
{

/** What is known of a request when it is accepted, and never changes. */
struct RequestIdentity
{
    RequestId id;
    std::string account;
    std::string service;
    std::string model;
    /** Whether the caller asked for a stream. */
    bool stream = false;
    bool includeUsage = false;
    TimePoint accepted {};
    TimePoint deadline {};
    std::chrono::sys_seconds created {};
    /** Hash of method, path and body, to tell a repeated key's request from another. */
    std::uint64_t contentHash = 0;
};

/** A plain service's answer, kept whole. */
struct KeptAnswer
{
    unsigned status = 0;
    std::string contentType;
    std::string body;
};

/** How far a record has come. */
enum class RecordState
{
    open,
    finished,
    failed,
    /** Another router goes on with it: callers find it there by its identifier. */
    handedOver
};

/** What another router needs to go on with a model request. */
struct HandoverState
{
    RequestIdentity identity;
    /** As the caller sent it. */
    std::string body;
    StreamedAnswer answer;
    /** Counts of the first attempt, and the answer's tokens so far; of a whole answer, its counts. */
    Usage usage;
    std::uint32_t answerTokens = 0;
    /** Why the answer ended, as the engine states it; set where it is whole and its caller may lack a part of it. */
    std::optional<std::string> finishReason {};
};

/** One accepted request: who asked, and its answer as far as it is made. One run writes it; the caller's connection
    and any that resume read it, on whichever thread they are. A mutex guards each record; it is the last lock
    taken, and no other is taken while it is held.
*/
class RequestRecord
{
public:
    explicit RequestRecord (RequestIdentity requestIdentity);

    /** Takes over the part of an answer that another router made. */
    auto restore (const StreamedAnswer& begun) -> void;

    /** Keeps the caller's request at hand, to hand it over. */
    auto keepRequest (std::shared_ptr<const ChatRequest> chatRequest) -> void;

    /** Notes the counts so far, to hand them over. */
    auto updateUsage (const Usage& first, std::uint32_t answerTokens) -> void;

    /** Gives out what another router needs to go on, and ends the record here where it is open.

        @returns nothing where no caller can lack anything, or where it is no model request
    */
    auto takeForHandover() -> std::optional<HandoverState>;

    [[nodiscard]] auto identity() const -> const RequestIdentity& { return about; }

    //==================================================================================================================
    /** Adds what one chunk of an engine brought. Nothing can be added to a record that has ended; what still comes for
        one that was handed over is dropped.
    */
    auto append (const ChatChunk& chunk) -> void;

    /** Ends the answer.

        @param reason  as the engine states it
    */
    auto finish (std::string reason, const Usage& usage) -> void;

    /** Ends a plain service's call with its answer. */
    auto finish (KeptAnswer answer) -> void;

    /** Ends the request with a failure. */
    auto fail (Problem problem) -> void;

    //==================================================================================================================
    /** What a reader gets in one go. */
    struct Part
    {
        RecordState state = RecordState::open;
        /** The last event that the reader has now. */
        std::size_t lastEvent = 0;
        /** Whether the stream's end was written too. */
        bool ended = false;
    };

    /** Appends what a streaming caller lacks.

        @param after  the last event that it has
    */
    auto readStream (std::size_t after, std::string& target) const -> Part;

    [[nodiscard]] auto state() const -> RecordState;

    /** @returns the whole answer of a finished model request. */
    [[nodiscard]] auto wholeAnswer() const -> std::string;

    /** @returns the kept answer of a finished plain call. */
    [[nodiscard]] auto keptAnswer() const -> std::optional<KeptAnswer>;

    /** @returns why a failed request failed. */
    [[nodiscard]] auto problem() const -> Problem;

    [[nodiscard]] auto usage() const -> Usage;

    /** @returns the text so far. */
    [[nodiscard]] auto text() const -> std::string;

    [[nodiscard]] auto eventCount() const -> std::size_t;
    [[nodiscard]] auto bytes() const -> std::size_t;

    //==================================================================================================================
    /** Adds a reader; the signal is notified at each change. */
    auto addReader (const std::shared_ptr<Signal>& signal) -> void;
    auto removeReader (const std::shared_ptr<Signal>& signal, TimePoint now) -> void;

    /** Notes how far the readers are: lets a run that waits for room go on. */
    auto updateReadPosition (std::size_t lastEvent) -> void;

    /** Notes that a caller has the whole answer. */
    auto markReadToEnd() -> void;

    /** @returns whether the run is far ahead of its readers and should wait. */
    [[nodiscard]] auto isAhead() const -> bool;

    /** @returns since when nobody reads, or nothing while somebody does. */
    [[nodiscard]] auto abandonedSince() const -> std::optional<TimePoint>;

    //==================================================================================================================
    /** Sets what ends the attempt in progress, from any thread. */
    auto setInterrupt (std::function<void (FailureCause)> function) -> void;

    /** Ends the attempt in progress, if there is one. */
    auto interrupt (FailureCause cause) -> void;

    /** The number of the replica that works on it, or 0; any thread may read it. */
    std::atomic<std::uint32_t> currentReplica { 0 };

    /** The signal by which a run that waits for room is woken. */
    auto setRunSignal (std::shared_ptr<Signal> signal) -> void;

private:
    /** Events that a run may be ahead of the furthest reader. */
    static constexpr auto maxEventsAhead = std::size_t { 512 };
    static constexpr auto partBytes = std::size_t { 32 * 1024 };

    auto notifyReaders() -> void;

    /** @returns the number of the last event of a stream that is whole. */
    [[nodiscard]] auto finalEventNumber() const -> std::size_t;

    /** @returns whether the record can be ended here, and checks that it has not ended before. */
    [[nodiscard]] auto canEnd() const -> bool;

    const RequestIdentity about;
    const ChatWriter writer;

    mutable std::mutex mutex;
    RecordState currentState = RecordState::open;
    StreamedAnswer answer;
    std::string finishReason;
    Usage counts;
    std::optional<KeptAnswer> kept;
    Problem failure;
    std::shared_ptr<const ChatRequest> request;
    std::uint32_t tokensSoFar = 0;
    std::vector<std::shared_ptr<Signal>> readers;
    std::size_t furthestRead = 0;
    std::optional<TimePoint> unreadSince;
    std::function<void (FailureCause)> interruptFunction;
    std::shared_ptr<Signal> runSignal;
};

} // namespace snowrudder
