#pragma once

#include "../gateway/CallerScope.h"

namespace snowrudder
{

/** Handles `POST /v1/chat/completions`. */
auto handleChat (RouterState& state, Worker& worker, Exchange& exchange, CallerScope scope) -> Task<void>;

/** Handles `GET /v1/models`: lists the models that the caller's client account may use. */
auto handleModels (RouterState& state, Exchange& exchange, CallerScope scope) -> Task<void>;

} // namespace snowrudder
