#pragma once

#include "snowrudder_requests/attempt/AttemptOutcome.h"
#include "snowrudder_routing/snowrudder_routing.h"

#include <system_error>

namespace snowrudder
{

/** @returns the failure that an error of a call step stands for. */
auto failureOf (std::error_code error) -> FailureCause;

/** @returns what a failed attempt says of its replica's health. */
auto healthOf (const AttemptOutcome& outcome) -> AttemptHealth;

} // namespace snowrudder
