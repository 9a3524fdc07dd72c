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

/** The properties of a request that are known when it is accepted and never change. */
struct RequestIdentity
{
    RequestId id;
    std::string account;
    std::string service;
    std::string model;
    /** Whether the caller requested a stream. */
    bool stream = false;
    /** Whether the caller requested usage figures at the end of the stream. */
    bool includeUsage = false;
    TimePoint accepted {};
    TimePoint deadline {};
    std::chrono::sys_seconds created {};
    /** Hash of method, path and body, to detect a different request with the same key. */
    std::uint64_t contentHash = 0;
};

/** The complete answer of a plain service. */
struct KeptAnswer
{
    unsigned status = 0;
    std::string contentType;
    std::string body;
};

/** State of a record. */
enum class RecordState
{
    open,
    finished,
    failed,
    /** Another router continues the request; callers find it there by its identifier. */
    handedOver
};

/** The state that another router needs to continue a model request. */
struct HandoverState
{
    RequestIdentity identity;
    /** The request body as the caller sent it. */
    std::string body;
    StreamedAnswer answer;
    /** Usage counts of the first attempt, or of the whole answer if it is complete. */
    Usage usage;
    /** Tokens of the answer so far. */
    std::uint32_t answerTokens = 0;
    /** The engine's finish reason; set if the answer is complete and its caller may not have received all of it. */
    std::optional<std::string> finishReason {};
};

/** An accepted request and the part of its answer received so far. One run writes it; the caller's connection and those
    that resume the answer read it. Thread-safe: a mutex guards each record. No other lock is taken while it is held.
*/
class RequestRecord
{
public:
    explicit RequestRecord (RequestIdentity requestIdentity);

    /** Sets the part of the answer that another router received before the handover. */
    auto restore (const StreamedAnswer& begun) -> void;

    /** Keeps the caller's request for a handover. */
    auto keepRequest (std::shared_ptr<const ChatRequest> chatRequest) -> void;

    /** Updates the usage counts that a handover includes.

        @param first         counts of the first attempt
        @param answerTokens  tokens of the answer so far
    */
    auto updateUsage (const Usage& first, std::uint32_t answerTokens) -> void;

    /** Returns the state that another router needs to continue, and closes the record here if it is open.

        @returns nothing if all of the answer has been read, or if this is not a model request
    */
    auto takeForHandover() -> std::optional<HandoverState>;

    [[nodiscard]] auto identity() const -> const RequestIdentity& { return requestInfo; }

    //==================================================================================================================
    /** Appends the content of a chunk from an engine. Chunks for a record that was handed over are dropped; appending
        to one that has ended otherwise is an error.
    */
    auto append (const ChatChunk& chunk) -> void;

    /** Ends the answer of a model request.

        @param reason  the engine's finish reason
    */
    auto finish (std::string reason, const Usage& usage) -> void;

    /** Ends a call of a plain service with its answer. */
    auto finish (KeptAnswer answer) -> void;

    /** Ends the request with a failure. */
    auto fail (Problem problem) -> void;

    //==================================================================================================================
    /** Result of one read. */
    struct Part
    {
        RecordState state = RecordState::open;
        /** Number of the last event that the reader has received. */
        std::size_t lastEvent = 0;
        /** Whether the end of the stream was written. */
        bool ended = false;
    };

    /** Appends the events that a streaming caller has not received to `target`, about `partBytes` at most.

        @param after  number of the last event that the caller has received
    */
    auto readStream (std::size_t after, std::string& target) const -> Part;

    [[nodiscard]] auto state() const -> RecordState;

    /** @returns the whole answer of a finished model request. */
    [[nodiscard]] auto wholeAnswer() const -> std::string;

    /** @returns the answer of a finished call of a plain service. */
    [[nodiscard]] auto keptAnswer() const -> std::optional<KeptAnswer>;

    /** @returns the error of a failed request. */
    [[nodiscard]] auto problem() const -> Problem;

    /** @returns the usage counts so far. */
    [[nodiscard]] auto usage() const -> Usage;

    /** @returns the text of the answer so far. */
    [[nodiscard]] auto text() const -> std::string;

    [[nodiscard]] auto eventCount() const -> std::size_t;
    /** @returns the memory that the record takes, in bytes. */
    [[nodiscard]] auto bytes() const -> std::size_t;

    //==================================================================================================================
    /** Adds a reader. Its signal is notified of each change. */
    auto addReader (const std::shared_ptr<Signal>& signal) -> void;
    auto removeReader (const std::shared_ptr<Signal>& signal, TimePoint now) -> void;

    /** Updates the furthest event that a reader has received, and resumes a run that waits because it is too far ahead.
    */
    auto updateReadPosition (std::size_t lastEvent) -> void;

    /** Records that a caller has received the complete answer. */
    auto markReadToEnd() -> void;

    /** @returns whether the run is more than `maxEventsAhead` ahead of its readers and should wait. */
    [[nodiscard]] auto isAhead() const -> bool;

    /** @returns since when the record has had no reader, or nothing while it has one. */
    [[nodiscard]] auto abandonedSince() const -> std::optional<TimePoint>;

    //==================================================================================================================
    /** Sets the function that ends the attempt in progress. It may be called on any thread. */
    auto setInterrupt (std::function<void (FailureCause)> function) -> void;

    /** Ends the attempt in progress, if there is one. */
    auto interrupt (FailureCause cause) -> void;

    /** Number of the replica that runs the request, or 0. Any thread may read it. */
    std::atomic<std::uint32_t> currentReplica { 0 };

    /** Sets the signal that wakes a run which waits because it is too far ahead. */
    auto setRunSignal (std::shared_ptr<Signal> signal) -> void;

private:
    /** Number of events that a run may be ahead of the furthest reader. */
    static constexpr auto maxEventsAhead = std::size_t { 512 };
    /** Number of bytes after which a read stops. */
    static constexpr auto partBytes = std::size_t { 32 * 1024 };

    auto notifyReaders() -> void;

    /** @returns the number of the last event of a complete stream. */
    [[nodiscard]] auto finalEventNumber() const -> std::size_t;

    /** @returns whether the record can be ended here: false if it was handed over. Checks that it has not ended before.
    */
    [[nodiscard]] auto canEnd() const -> bool;

    const RequestIdentity requestInfo;
    const ChatWriter writer;

    mutable std::mutex mutex;
    RecordState currentState = RecordState::open;
    StreamedAnswer answer;
    std::string finishReason;
    Usage counts;
    std::optional<KeptAnswer> kept;
    Problem failure;
    std::shared_ptr<const ChatRequest> request;
    std::uint32_t prefixTokens = 0;
    std::vector<std::shared_ptr<Signal>> readers;
    std::size_t furthestRead = 0;
    std::optional<TimePoint> unreadSince;
    std::function<void (FailureCause)> interruptFunction;
    std::shared_ptr<Signal> runSignal;
};

} // namespace snowrudder
