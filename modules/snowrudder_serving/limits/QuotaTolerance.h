#pragma once

#include "snowrudder_core/snowrudder_core.h"

namespace snowrudder
{

/** By how much all nodes together may go over a limit in a window that slides. */
struct QuotaTolerance
{
    /** Tokens. */
    double slack = 0.0;
    /** Part of what the limit allows in a window. */
    double overshoot = 0.0;
    Duration window {};
};

} // namespace snowrudder
