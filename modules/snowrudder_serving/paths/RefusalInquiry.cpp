#include "RefusalInquiry.h"

#include <algorithm>

namespace snowrudder
{

auto recordWitness (RefusalInquiry& inquiry, const RelayNodes::Endpoint& node, WitnessAnswer answer) -> void
{
    inquiry.asked.push_back (node);

    switch (answer)
    {
        case WitnessAnswer::reached:
            inquiry.decisive = answer;
            break;
        case WitnessAnswer::leaving:
            inquiry.decisive = inquiry.decisive.value_or (answer);
            break;
        case WitnessAnswer::refused:
            ++inquiry.refusals;
            break;
        case WitnessAnswer::unverified:
            inquiry.hasUnverified = true;
            break;
        case WitnessAnswer::none:
            break;
    }
}

auto neededWitnesses (const RefusalInquiry& inquiry) -> std::size_t
{
    if (inquiry.decisive || inquiry.hasAskedAll)
        return 0;

    const auto missing = neededRefusals - std::min (inquiry.refusals, neededRefusals);
    return std::min (missing, maxWitnesses - std::min (inquiry.asked.size(), maxWitnesses));
}

auto resultOf (const RefusalInquiry& inquiry) -> EndpointState
{
    if (inquiry.decisive == WitnessAnswer::reached)
        return EndpointState::reachedByOthers;

    const auto isRefused =
        inquiry.refusals >= neededRefusals || (inquiry.refusals > 0 && inquiry.hasAskedAll);

    if (inquiry.decisive || isRefused)
        return EndpointState::refuses;

    return inquiry.isOnlyReplica && inquiry.hasUnverified ? EndpointState::refuses : EndpointState::silent;
}

auto answerOf (const RefusalInquiry& inquiry) -> WitnessAnswer
{
    if (inquiry.decisive)
        return *inquiry.decisive;

    if (inquiry.refusals > 0)
        return WitnessAnswer::refused;

    return inquiry.hasUnverified ? WitnessAnswer::unverified : WitnessAnswer::none;
}

auto toString (WitnessAnswer answer) -> std::string_view
{
    switch (answer)
    {
        case WitnessAnswer::reached:
            return "reached";
        case WitnessAnswer::leaving:
            return "leaving";
        case WitnessAnswer::refused:
            return "refused";
        case WitnessAnswer::unverified:
            return "unverified";
        case WitnessAnswer::none:
            break;
    }

    return "none";
}

} // namespace snowrudder
