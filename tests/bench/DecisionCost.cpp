#include "snowrudder_core/snowrudder_core.h"
#include "snowrudder_limits/snowrudder_limits.h"
#include "snowrudder_routing/snowrudder_routing.h"

#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

/** Makes a number of complete routing decisions to count their instructions: admission, fair queue, prompt blocks,
    choice of a replica, release. The difference between two runs under callgrind, with different numbers of decisions,
    is the cost of the decisions without the setup.
*/
auto main (int argumentCount, char** arguments) -> int
{
    using namespace snowrudder;
    const auto line = readCommandLine (argumentCount, arguments,
                                       { "snowrudder-decision-cost",
                                         "Makes decisions, for counting their instructions.",
                                         false,
                                         { { "replicas", "N", "replicas of the service (740)" },
                                           { "decisions", "N", "how many (1000)" } } });
    const auto replicaCount = std::atoi (line.option ("replicas", "740").c_str());
    const auto decisionCount = std::atoi (line.option ("decisions", "1000").c_str());

    std::vector<ListedReplica> listed (static_cast<std::size_t> (replicaCount));

    for (auto index = std::size_t { 0 }; index < listed.size(); ++index)
    {
        listed[index].info.name = "replica-" + std::to_string (index);
        listed[index].info.vm = "vm-" + std::to_string (index);
        listed[index].info.service = "s";
    }

    const auto now = TimePoint (1h);
    ReplicaTable table;
    table.update (listed, now);
    FairQueue queue;
    queue.setWindow ({ 64, 64 }, now);
    AccountLimiter limiter;
    const auto document = std::string (8000, 'd');
    auto chosen = std::size_t { 0 };

    for (auto decision = 0; decision < decisionCount; ++decision)
    {
        limiter.admit ("account", { 1e9, 1000 }, 1.0, now);
        queue.request ({ static_cast<std::uint64_t> (decision), "account", 1, 100.0, now + 1h }, 100, now);

        const auto blocks = promptBlocks (document + std::to_string (decision), "account");
        ChoiceInput input;
        input.blocks = blocks;
        input.promptTokens = estimateTokens (document.size());
        const auto taken = table.take ("s", input, {}, now);
        chosen += taken->ticket.number;

        table.release (taken->ticket, AttemptHealth::good, now);
        queue.finish ("account", 1s, now);
        limiter.leave ("account");
    }

    std::printf ("%zu\n", chosen);
    return 0;
}
