#pragma once

#include <cstdint>
#include <string_view>

namespace snowrudder
{

/** How much of its answer a caller has received. */
enum class CallerProgress
{
    nothing,
    /** The head of a stream, and nothing of it that a second run would repeat. */
    head,
    /** Events of a stream up to one with an identifier, after which another run can go on. */
    events,
    /** A part of an answer that no other run can go on with. */
    partOfOther
};

/** What becomes of a replica's answer. */
enum class AnswerUse
{
    /** The caller gets it. */
    passOn,
    /** Its events follow those that the caller has received. */
    goOn,
    /** The caller gets nothing of it: the attempt has failed. */
    discard
};

/** The head of a replica's answer and the state of its request. */
struct AnswerUseInput
{
    CallerProgress progress = CallerProgress::nothing;
    unsigned status = 0;
    /** Whether the body is a stream of events. */
    bool hasEvents = false;
    /** Whether callers take the status for a promise that the request has not run. */
    bool promisesNotRun = false;
    /** Whether the request may run more than once. */
    bool isRepeatable = false;
    /** Whether another attempt may be made if this one fails. */
    bool mayRunAgain = false;
};

/** Decides what becomes of an answer of a replica that may have run the request. */
auto useOfAnswer (const AnswerUseInput& input) -> AnswerUse;

/** @returns whether another attempt can continue what the caller has received. */
inline auto mayGoOn (CallerProgress progress) -> bool
{
    return progress != CallerProgress::partOfOther;
}

/** @returns the value's name in the log. */
auto toString (CallerProgress progress) -> std::string_view;

} // namespace snowrudder
