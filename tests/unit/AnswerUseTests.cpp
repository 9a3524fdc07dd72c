#include "snowrudder_serving/attempt/AttemptErrors.h"
#include "snowrudder_serving/relay/AnswerUse.h"

#include <catch2/catch.hpp>

using namespace snowrudder;

namespace
{

constexpr auto statuses = std::array { 200U, 201U, 204U, 206U, 301U, 304U, 400U, 401U,
                                       404U, 408U, 421U, 429U, 500U, 502U, 503U, 504U };

auto isPromise (unsigned status) -> bool
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

template <typename Visitor>
auto forEachInput (Visitor&& visit) -> void
{
    for (const auto progress : { CallerProgress::nothing, CallerProgress::head, CallerProgress::events,
                                 CallerProgress::partOfOther })
        for (const auto status : statuses)
            for (auto flags = 0U; flags < 8; ++flags)
            {
                AnswerUseInput input;
                input.progress = progress;
                input.status = status;
                input.promisesNotRun = isPromise (status);
                input.hasEvents = (flags & 1U) != 0;
                input.isRepeatable = (flags & 2U) != 0;
                input.mayRunAgain = input.isRepeatable && (flags & 4U) != 0;
                visit (input);
            }
}

} // namespace

// Guards against a second head for a caller that has one.
TEST_CASE ("once a caller has part of an answer, only the rest of a stream of events follows")
{
    forEachInput (
        [] (const AnswerUseInput& input)
        {
            if (input.progress == CallerProgress::nothing)
                return;

            const auto isRest =
                input.progress != CallerProgress::partOfOther && input.status == 200 && input.hasEvents;
            CHECK (useOfAnswer (input) == (isRest ? AnswerUse::goOn : AnswerUse::discard));
        });
}

// Guards against a caller that sends a request again which has run and must not run twice.
TEST_CASE (
    "a status that promises that a request has not run reaches no caller whose request may not be repeated")
{
    forEachInput (
        [] (const AnswerUseInput& input)
        {
            if (input.progress != CallerProgress::nothing)
                return;

            if (input.promisesNotRun && ! input.isRepeatable)
                CHECK (useOfAnswer (input) == AnswerUse::discard);
            else
                CHECK (useOfAnswer (input) ==
                       (input.status >= 500 && input.mayRunAgain ? AnswerUse::discard : AnswerUse::passOn));
        });
}

TEST_CASE ("the error after the last attempt promises nothing of a request that may have run and may not be "
           "repeated")
{
    for (const auto cause : { FailureCause::noReplica, FailureCause::connectFailed, FailureCause::pathLost,
                              FailureCause::refused, FailureCause::misdirected, FailureCause::cut,
                              FailureCause::timedOut, FailureCause::invalid, FailureCause::failed,
                              FailureCause::moved, FailureCause::abandoned, FailureCause::deadline,
                              FailureCause::stopped, FailureCause::versionGone, FailureCause::nodeLeaving })
        for (const auto stage :
             { CallStage::notSent, CallStage::sending, CallStage::sent, CallStage::receiving })
            for (const auto isLate : { false, true })
            {
                LastFailure last;
                last.outcome = { stage, cause };
                last.isLate = isLate;
                last.mayHaveRun = true;
                last.decision = decideAfterFailure (last.outcome, {}, BootClock::now());
                const auto problem = problemAfterLast (last);
                CHECK_FALSE (isPromise (errorDescription (problem.kind).status));
                CHECK (problem.ran == Ran::unknown);
                last.mayHaveRun = false;
                CHECK (problemAfterLast (last).ran ==
                       (cause == FailureCause::versionGone && stage != CallStage::notSent ? Ran::unknown
                                                                                          : Ran::no));
            }
}
