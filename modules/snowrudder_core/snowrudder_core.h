/** @file
    snowrudder_core: what every other module builds on.

    - errors/      the closed list of error kinds and the table from kind to answer
    - ids/         request identifiers and the clock inside a UUIDv7
    - json/        reading members of JSON objects that come from outside
    - time/        the clock type and the reading of clocks
    - log/         structured log lines
    - metrics/     counters and histograms, Prometheus text
    - assertions/  invariants that stay on in every build
    - program/     command line and exit codes shared by all programs

    Depends on: Boost (Histogram, System), log4cplus, OpenSSL (random bytes, SHA-256), xxHash.
*/
#pragma once

#include "assertions/Invariant.h"
#include "errors/ErrorKind.h"
#include "errors/Problem.h"
#include "ids/Hash.h"
#include "ids/RequestId.h"
#include "ids/Signature.h"
#include "ids/Uuid.h"
#include "log/Log.h"
#include "metrics/Metrics.h"
#include "program/Program.h"
#include "random/Jitter.h"
#include "time/Time.h"
#include "json/JsonFields.h"
