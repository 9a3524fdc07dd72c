#include "RandomRuns.h"
#include "VirtualTime.h"

#include "snowrudder_core/snowrudder_core.h"

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <thread>
#include <vector>

/** Runs many seeds of the randomised tests, for use from a shell: snowrudder-seeds --first 1 --count 10000. Prints each
    violation with its shortest trace.
*/
auto main (int argumentCount, char** arguments) -> int
{
    using namespace snowrudder;
    const auto line =
        readCommandLine (argumentCount, arguments,
                         { "snowrudder-seeds",
                           "Runs randomised seeds on the decision code and prints what they find.",
                           false,
                           { { "first", "N", "first seed (1)" }, { "count", "N", "how many (1000)" } } });
    const auto first = std::strtoull (line.option ("first", "1").c_str(), nullptr, 10);
    const auto count = std::strtoull (line.option ("count", "1000").c_str(), nullptr, 10);
    throwOnViolation();

    std::atomic<std::uint64_t> next { first };
    std::atomic<std::uint64_t> found { 0 };
    std::mutex mutex;
    RandomCounts total;
    std::vector<std::thread> threads;

    const auto work = [&]
    {
        RandomCounts counts;

        for (auto seed = next++; seed < first + count; seed = next++)
        {
            const auto violation = runSeed (seed, InjectedBug::none, counts);

            if (! violation)
                continue;

            ++found;
            const std::lock_guard lock (mutex);
            std::printf ("seed %llu breaks \"%s\" among %s within %zu events\n",
                         static_cast<unsigned long long> (violation->seed), violation->guarantee.c_str(),
                         violation->simulation.c_str(), violation->events);

            for (const auto& entry : violation->trace)
                std::printf ("  %s\n", entry.c_str());
        }

        const std::lock_guard lock (mutex);
        total.seeds += counts.seeds;
        total.calls += counts.calls;
        total.successfulCalls += counts.successfulCalls;
        total.streams += counts.streams;
        total.completedStreams += counts.completedStreams;
        total.edits += counts.edits;
        total.storedEdits += counts.storedEdits;
    };

    for (auto index = 0U; index < std::max (1U, std::thread::hardware_concurrency()); ++index)
        threads.emplace_back (work);

    for (auto& thread : threads)
        thread.join();

    std::printf (
        "%llu seeds, %llu breaches; %llu keyed calls answered, %llu with their answer; %llu streams, %llu "
        "whole; %llu edits, %llu stored\n",
        static_cast<unsigned long long> (total.seeds), static_cast<unsigned long long> (found.load()),
        static_cast<unsigned long long> (total.calls),
        static_cast<unsigned long long> (total.successfulCalls),
        static_cast<unsigned long long> (total.streams),
        static_cast<unsigned long long> (total.completedStreams),
        static_cast<unsigned long long> (total.edits), static_cast<unsigned long long> (total.storedEdits));
    return static_cast<int> (found == 0 ? ExitCode::success : ExitCode::failed);
}
