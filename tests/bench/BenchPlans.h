#pragma once

#include "ServingSimulation.h"

#include <string>

namespace snowrudder
{

/** @returns the plan of a committed deployment: `grauenfels` or `linenwise`, its workload read from the repository.

    @param load  share of all slots that the workload keeps busy
*/
auto deploymentPlan (const std::string& deployment, double load) -> ServingPlan;

/** Multiplies the rate of one class. */
auto floodPlan (ServingPlan& plan, const std::string& flooding, double times) -> void;

} // namespace snowrudder
