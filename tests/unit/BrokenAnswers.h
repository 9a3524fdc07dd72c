#pragma once

#include "snowrudder_net/snowrudder_net.h"

#include <cstdint>
#include <string>
#include <vector>

namespace snowrudder::tests
{

/** How a replica marks the end of an answer's body. */
enum class AnswerFraming
{
    length,
    chunks,
    endOfConnection
};

/** What a replica does at the end of the bytes that it sends. */
enum class AnswerEnd
{
    complete,
    finish,
    reset,
    /** It says nothing more until the request's deadline has passed. */
    stall,
    /** It says nothing more, and the caller disconnects. */
    callerLeaves
};

/** What each attempt after the first one brings. */
enum class NextAttempt
{
    /** The whole answer, or the rest of the stream. */
    whole,
    /** An answer with another status, after a pause. */
    status,
    /** The connection is closed in the head. */
    cutHead,
    /** The connection is closed in the body. */
    cutBody,
    /** Nothing until the request's deadline has passed. */
    silent
};

/** The kind of route that a request is sent on. */
enum class AnswerRoute
{
    repeatable,
    once,
    resumableStream,
    stream
};

/** One request and the answer of the first replica that gets it; every later attempt gets the whole answer, or the rest
    of the stream.
*/
struct AnswerPlan
{
    std::uint64_t seed = 0;
    AnswerRoute route = AnswerRoute::once;
    AnswerFraming framing = AnswerFraming::length;
    AnswerEnd end = AnswerEnd::complete;
    unsigned callerVersion = 11;
    /** Parts of the body: the events of a stream, or pieces of any other body. */
    std::vector<std::string> parts;
    /** The bytes that the first replica sends, and the size of its writes. */
    std::string wire;
    std::size_t writeSize = 1;
    /** The body of the whole answer. */
    std::string body;
    /** Bytes of the body that the first replica sends, if it sends the whole head. */
    std::size_t bodySent = 0;
    bool isHeadSent = true;
    NextAttempt next = NextAttempt::whole;
    unsigned nextStatus = 0;
    Duration nextPause {};

    /** @returns whether the request gets a short time limit, as one of its replicas waits for the end of it. */
    [[nodiscard]] auto reachesDeadline() const -> bool
    {
        return end == AnswerEnd::stall || next == NextAttempt::silent || nextPause > Duration::zero();
    }

    [[nodiscard]] auto isStream() const -> bool
    {
        return route == AnswerRoute::stream || route == AnswerRoute::resumableStream;
    }

    [[nodiscard]] auto mayRepeat() const -> bool
    {
        return route == AnswerRoute::repeatable || route == AnswerRoute::resumableStream;
    }

    /** @returns whether the bytes sent show that the answer is incomplete. An answer that ends with its connection shows
        it by a reset only, or in a stream by an end inside an event or before the first one.
    */
    [[nodiscard]] auto isBrokenOff() const -> bool;
};

/** @returns the bytes of a whole answer with the given parts, and the offset in them of each byte of the body. */
auto encodeAnswer (const AnswerPlan& plan,
                   AnswerFraming framing,
                   const std::vector<std::string>& parts,
                   std::vector<std::size_t>& offsets) -> std::string;

/** @returns an answer that is drawn at random. */
auto makeAnswerPlan (std::uint64_t seed) -> AnswerPlan;

/** What a caller received. */
struct CallerView
{
    unsigned status = 0;
    std::string body;
    /** Whether the answer is complete by the rules of HTTP. */
    bool isComplete = false;
    /** Whether the replica's connection was closed within half a second after the caller had left. */
    bool isRunEnded = true;
};

/** Sends the requests of all plans through RoutedRequestRunner, over loopback connections.

    @returns what the callers received, in the order of the plans
*/
auto playAnswers (const std::vector<AnswerPlan>& plans) -> std::vector<CallerView>;

/** @returns what is wrong with a caller's view of an answer; empty if nothing is. */
auto findFault (const AnswerPlan& plan, const CallerView& view) -> std::string;

/** The time limit of the requests whose replicas wait for the end of it. */
inline constexpr auto shortTimeLimit = Duration (60ms);

/** @returns for each kind of route, framing and state of the answer to the caller, one plan for each thing that the next
    attempt may bring.
*/
auto makeNextAttemptPlans() -> std::vector<AnswerPlan>;

/** @returns what the caller of such a plan must not have seen, or an empty string. */
auto findNextAttemptFault (const AnswerPlan& plan, const CallerView& view) -> std::string;

} // namespace snowrudder::tests
