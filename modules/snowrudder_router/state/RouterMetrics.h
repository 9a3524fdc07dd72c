#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <array>

namespace snowrudder
{

/** Metrics that are updated for every request. They are looked up by name once, at construction. */
struct RouterMetrics
{
    explicit RouterMetrics (Metrics& metrics);

    /** Counts an error response to a caller by its kind. */
    auto countError (ErrorKind kind) -> void { errors[static_cast<std::size_t> (kind)]->add(); }

    Counter& requests;
    Counter& attempts;
    Counter& retries;
    Counter& moves;
    Counter& relayedTokens;
    Counter& computedPromptTokens;
    Counter& cachedPromptTokens;
    Counter& resumed;
    TimeHistogram& firstToken;
    TimeHistogram& betweenTokens;
    TimeHistogram& plainCalls;
    Gauge& openRequests;
    Gauge& keptBytes;

private:
    static constexpr auto kindCount = static_cast<std::size_t> (ErrorKind::internal) + 1;
    std::array<Counter*, kindCount> errors {};
};

} // namespace snowrudder
