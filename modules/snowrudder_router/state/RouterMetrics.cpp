#include "RouterMetrics.h"

namespace snowrudder
{

RouterMetrics::RouterMetrics (Metrics& metrics)
    : requests (metrics.counter ("snowrudder_requests_total")),
      attempts (metrics.counter ("snowrudder_attempts_total")),
      retries (metrics.counter ("snowrudder_retries_total")),
      moves (metrics.counter ("snowrudder_moves_total")),
      relayedTokens (metrics.counter ("snowrudder_relayed_tokens_total")),
      computedPromptTokens (metrics.counter ("snowrudder_computed_prompt_tokens_total")),
      cachedPromptTokens (metrics.counter ("snowrudder_cached_prompt_tokens_total")),
      resumed (metrics.counter ("snowrudder_resumed_total")),
      firstToken (metrics.histogram ("snowrudder_first_token_seconds")),
      betweenTokens (metrics.histogram ("snowrudder_between_tokens_seconds")),
      plainCalls (metrics.histogram ("snowrudder_plain_call_seconds")),
      openRequests (metrics.gauge ("snowrudder_open_requests")),
      keptBytes (metrics.gauge ("snowrudder_kept_bytes"))
{
    for (auto index = std::size_t { 1 }; index < kindCount; ++index)
    {
        const auto name = toString (static_cast<ErrorKind> (index));
        errors[index] = &metrics.counter ("snowrudder_errors_total", "kind=\"" + std::string (name) + "\"");
    }
}

} // namespace snowrudder
