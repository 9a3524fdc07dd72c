#include "RequestRecord.h"

#include <algorithm>

namespace snowrudder
{

RequestRecord::RequestRecord (RequestIdentity requestIdentity)
    : about (std::move (requestIdentity)),
      writer (CompletionMetadata { toString (about.id), about.model, about.created }),
      unreadSince (about.accepted)
{
}

auto RequestRecord::append (const ChatChunk& chunk) -> void
{
    const std::lock_guard lock (mutex);

    if (reached == RecordState::handedOver)
        return;

    requireInvariant (reached == RecordState::open, "an answer that has ended gets nothing more");

    if (! chunk.other.empty())
        answer.appendChoice (chunk.other);
    else if (! chunk.content.empty())
        answer.appendText (chunk.content);

    notifyReaders();
}

auto RequestRecord::finish (std::string reason, const Usage& usage) -> void
{
    const std::lock_guard lock (mutex);

    if (! mayEnd())
        return;

    reached = RecordState::finished;
    finishReason = std::move (reason);
    counts = usage;
    notifyReaders();
}

auto RequestRecord::finish (KeptAnswer plainAnswer) -> void
{
    const std::lock_guard lock (mutex);

    if (! mayEnd())
        return;

    reached = RecordState::finished;
    kept = std::move (plainAnswer);
    notifyReaders();
}

auto RequestRecord::fail (Problem problem) -> void
{
    const std::lock_guard lock (mutex);

    if (! mayEnd())
        return;

    reached = RecordState::failed;
    failure = std::move (problem);
    notifyReaders();
}

auto RequestRecord::readStream (std::size_t after, std::string& target) const -> Part
{
    const std::lock_guard lock (mutex);
    Part part;
    part.state = reached;

    const auto eventCount = answer.eventCount();
    part.lastEvent = after < eventCount ? answer.write (writer, after, partBytes, target) : after;

    const auto hasEnd = reached == RecordState::finished || reached == RecordState::failed;

    if (! hasEnd || part.lastEvent < eventCount)
        return part;

    part.ended = true;

    if (reached == RecordState::failed)
    {
        ChatWriter::appendProblem (target, problemBody (failure, toString (about.id)));
        return part;
    }

    // Behind the last piece come the reason, the usage figures where asked for, and the end.
    if (part.lastEvent == eventCount)
        writer.appendFinish (target, ++part.lastEvent, finishReason);

    if (part.lastEvent == eventCount + 1 && about.includeUsage)
        writer.appendUsage (target, ++part.lastEvent, counts);

    ChatWriter::appendDone (target);
    return part;
}

auto RequestRecord::state() const -> RecordState
{
    const std::lock_guard lock (mutex);
    return reached;
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

auto RequestRecord::noteRead (std::size_t lastEvent) -> void
{
    const std::lock_guard lock (mutex);
    furthestRead = std::max (furthestRead, lastEvent);

    if (runSignal)
        runSignal->notify();
}

auto RequestRecord::noteWholeRead() -> void
{
    const std::lock_guard lock (mutex);
    furthestRead = std::max (furthestRead, lastOfWhole());
}

auto RequestRecord::isAhead() const -> bool
{
    const std::lock_guard lock (mutex);

    // A caller that wants the whole answer reads nothing until its end.
    return about.stream && ! readers.empty() && answer.eventCount() > furthestRead + mostAhead;
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

auto RequestRecord::noteUsage (const Usage& first, std::uint32_t answerTokens) -> void
{
    const std::lock_guard lock (mutex);
    counts = first;
    tokensSoFar = answerTokens;
}

auto RequestRecord::takeForHandover() -> std::optional<HandedState>
{
    const std::lock_guard lock (mutex);
    const auto isUnread = reached == RecordState::finished && furthestRead < lastOfWhole();

    if (! request || (reached != RecordState::open && ! isUnread))
        return {};

    HandedState handed { about, boost::json::serialize (request->body), answer, counts, tokensSoFar };

    // A whole answer can still be read here; its caller may come when this router is gone.
    if (isUnread)
    {
        handed.finishReason = finishReason;
        handed.answerTokens = counts.completionTokens;
        return handed;
    }

    reached = RecordState::handedOver;
    notifyReaders();

    if (interruptFunction)
        interruptFunction (FailureCause::abandoned);

    return handed;
}

auto RequestRecord::lastOfWhole() const -> std::size_t
{
    // Behind the last piece come the reason, and the usage figures where asked for.
    return answer.eventCount() + (about.includeUsage ? 2 : 1);
}

auto RequestRecord::mayEnd() const -> bool
{
    if (reached == RecordState::handedOver)
        return false;

    requireInvariant (reached == RecordState::open, "a request ends once");
    return true;
}

auto RequestRecord::notifyReaders() -> void
{
    for (const auto& signal : readers)
        signal->notify();
}

} // namespace snowrudder
