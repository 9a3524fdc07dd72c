#pragma once

#include "ServingSimulation.h"

#include <string>

namespace snowrudder
{

/** Makes the plan of a deployment whose workload and settings tree are in the repository.

    @param deployment  `grauenfels` or `linenwise`
    @param load        the share of all slots that the workload keeps busy
*/
auto deploymentPlan (const std::string& deployment, double load) -> ServingPlan;

/** Multiplies the request rate of one class. */
auto floodPlan (ServingPlan& plan, const std::string& flooding, double times) -> void;

} // namespace snowrudder
