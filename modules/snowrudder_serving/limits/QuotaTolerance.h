#pragma once

#include "snowrudder_core/snowrudder_core.h"

namespace snowrudder
{

/** By how much all nodes together may exceed a limit within a sliding window. */
struct QuotaTolerance
{
    /** Tokens. */
    double slack = 0.0;
    /** Fraction of what the limit allows within a window. */
    double overshoot = 0.0;
    Duration window {};
};

} // namespace snowrudder
