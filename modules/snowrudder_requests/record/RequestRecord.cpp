#include "RequestRecord.h"

#include <algorithm>

namespace snowrudder
{

RequestRecord::RequestRecord (RequestIdentity requestIdentity)
    : requestInfo (std::move (requestIdentity)),
      writer (CompletionMetadata { toString (requestInfo.id), requestInfo.model, requestInfo.created }),
      unreadSince (requestInfo.accepted)
{
}

auto RequestRecord::append (const ChatChunk& chunk) -> void
{
    const std::lock_guard lock (mutex);

    if (currentState == RecordState::handedOver)
        return;

    requireInvariant (currentState == RecordState::open, "nothing is appended to an answer that has ended");

    if (! chunk.other.empty())
        answer.appendChoice (chunk.other);
    else if (! chunk.content.empty())
        answer.appendText (chunk.content);

    notifyReaders();
}

auto RequestRecord::finish (std::string reason, const Usage& usage) -> void
{
    const std::lock_guard lock (mutex);

    if (! canEnd())
        return;

    currentState = RecordState::finished;
    finishReason = std::move (reason);
    counts = usage;
    notifyReaders();
}

auto RequestRecord::finish (KeptAnswer plainAnswer) -> void
{
    const std::lock_guard lock (mutex);

    if (! canEnd())
        return;

    currentState = RecordState::finished;
    kept = std::move (plainAnswer);
    notifyReaders();
}

auto RequestRecord::fail (Problem problem) -> void
{
    const std::lock_guard lock (mutex);

    if (! canEnd())
        return;

    currentState = RecordState::failed;
    failure = std::move (problem);
    notifyReaders();
}

auto RequestRecord::readStream (std::size_t after, std::string& target) const -> Part
{
    const std::lock_guard lock (mutex);
    Part part;
    part.state = currentState;

    const auto eventCount = answer.eventCount();
    part.lastEvent = after < eventCount ? answer.write (writer, after, partBytes, target) : after;

    const auto hasEnd = currentState == RecordState::finished || currentState == RecordState::failed;

    if (! hasEnd || part.lastEvent < eventCount)
        return part;

    part.ended = true;

    if (currentState == RecordState::failed)
    {
        ChatWriter::appendProblem (target, problemBody (failure, toString (requestInfo.id)));
        return part;
    }

    // The last piece is followed by the finish reason, the usage figures if requested, and the end marker.
    if (part.lastEvent == eventCount)
        writer.appendFinish (target, ++part.lastEvent, finishReason);

    if (part.lastEvent == eventCount + 1 && requestInfo.includeUsage)
        writer.appendUsage (target, ++part.lastEvent, counts);

    ChatWriter::appendDone (target);
    return part;
}

auto RequestRecord::state() const -> RecordState
{
    const std::lock_guard lock (mutex);
    return currentState;
}

auto RequestRecord::wholeAnswer() const -> std::string
{
    const std::lock_guard lock (mutex);
    boost::json::array toolCalls;

    for (const auto& choice : answer.choices())
        mergeToolCalls (toolCalls, choice);

    return writer.wholeAnswer (answer.text(), finishReason, counts, toolCalls);
}

auto RequestRecord::keptAnswer() const -> std::optional<KeptAnswer>
{
    const std::lock_guard lock (mutex);
    return kept;
}

auto RequestRecord::problem() const -> Problem
{
    const std::lock_guard lock (mutex);
    return failure;
}

auto RequestRecord::usage() const -> Usage
{
    const std::lock_guard lock (mutex);
    return counts;
}

auto RequestRecord::text() const -> std::string
{
    const std::lock_guard lock (mutex);
    return answer.text();
}

auto RequestRecord::eventCount() const -> std::size_t
{
    const std::lock_guard lock (mutex);
    return answer.eventCount();
}

auto RequestRecord::bytes() const -> std::size_t
{
    const std::lock_guard lock (mutex);
    return sizeof (RequestRecord) + answer.bytes() + (kept ? kept->body.capacity() : 0);
}

auto RequestRecord::addReader (const std::shared_ptr<Signal>& signal) -> void
{
    const std::lock_guard lock (mutex);
    readers.push_back (signal);
    unreadSince.reset();
}

auto RequestRecord::removeReader (const std::shared_ptr<Signal>& signal, TimePoint now) -> void
{
    const std::lock_guard lock (mutex);
    std::erase (readers, signal);

    if (readers.empty())
        unreadSince = now;

    if (runSignal)
        runSignal->notify();
}

auto RequestRecord::updateReadPosition (std::size_t lastEvent) -> void
{
    const std::lock_guard lock (mutex);
    furthestRead = std::max (furthestRead, lastEvent);

    if (runSignal)
        runSignal->notify();
}

auto RequestRecord::markReadToEnd() -> void
{
    const std::lock_guard lock (mutex);
    furthestRead = std::max (furthestRead, finalEventNumber());
}

auto RequestRecord::isAhead() const -> bool
{
    const std::lock_guard lock (mutex);

    // A caller that did not request a stream reads nothing until the answer is complete.
    return requestInfo.stream && ! readers.empty() && answer.eventCount() > furthestRead + maxEventsAhead;
}

auto RequestRecord::abandonedSince() const -> std::optional<TimePoint>
{
    const std::lock_guard lock (mutex);
    return unreadSince;
}

auto RequestRecord::setInterrupt (std::function<void (FailureCause)> function) -> void
{
    const std::lock_guard lock (mutex);
    interruptFunction = std::move (function);
}

auto RequestRecord::interrupt (FailureCause cause) -> void
{
    const std::lock_guard lock (mutex);

    if (interruptFunction)
        interruptFunction (cause);
}

auto RequestRecord::setRunSignal (std::shared_ptr<Signal> signal) -> void
{
    const std::lock_guard lock (mutex);
    runSignal = std::move (signal);
}

auto RequestRecord::restore (const StreamedAnswer& begun) -> void
{
    const std::lock_guard lock (mutex);
    answer = begun;
}

auto RequestRecord::keepRequest (std::shared_ptr<const ChatRequest> chatRequest) -> void
{
    const std::lock_guard lock (mutex);
    request = std::move (chatRequest);
}

auto RequestRecord::updateUsage (const Usage& first, std::uint32_t answerTokens) -> void
{
    const std::lock_guard lock (mutex);
    counts = first;
    prefixTokens = answerTokens;
}

auto RequestRecord::takeForHandover() -> std::optional<HandoverState>
{
    const std::lock_guard lock (mutex);
    const auto isUnread = currentState == RecordState::finished && furthestRead < finalEventNumber();

    if (! request || (currentState != RecordState::open && ! isUnread))
        return {};

    HandoverState handed { requestInfo, boost::json::serialize (request->body), answer, counts,
                           prefixTokens };

    // A complete answer can still be read here, but its caller may ask for it only after this router has stopped.
    if (isUnread)
    {
        handed.finishReason = finishReason;
        handed.answerTokens = counts.completionTokens;
        return handed;
    }

    currentState = RecordState::handedOver;
    notifyReaders();

    if (interruptFunction)
        interruptFunction (FailureCause::abandoned);

    return handed;
}

auto RequestRecord::finalEventNumber() const -> std::size_t
{
    // The last piece is followed by the finish reason, and by the usage figures if requested.
    return answer.eventCount() + (requestInfo.includeUsage ? 2 : 1);
}

auto RequestRecord::canEnd() const -> bool
{
    if (currentState == RecordState::handedOver)
        return false;

    requireInvariant (currentState == RecordState::open, "a request ends once");
    return true;
}

auto RequestRecord::notifyReaders() -> void
{
    for (const auto& signal : readers)
        signal->notify();
}

} // namespace snowrudder
