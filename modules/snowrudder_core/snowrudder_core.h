/** @file
    snowrudder_core: the basis of all other modules.

    - errors/      the error kinds, and the table of their responses
    - ids/         request identifiers, UUIDv7, hashes and signatures
    - json/        reading members of external JSON objects
    - time/        clock and duration types, the current wall time, detection of suspensions of the VM
    - log/         structured logging
    - metrics/     counters, gauges and histograms in Prometheus' text format
    - assertions/  invariants that are checked in every build
    - program/     command line, exit codes, signals and use of memory, shared by all programs

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
#include "program/MemoryWatch.h"
#include "program/Program.h"
#include "program/Signals.h"
#include "random/Jitter.h"
#include "time/BootClock.h"
#include "time/Suspension.h"
#include "time/Time.h"
#include "json/JsonFields.h"
#include "json/TolerantParsing.h"
