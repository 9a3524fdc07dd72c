/** @file
    snowrudder_router: the router process, built from the modules that make the decisions.

    - state/       state that all workers share, and state of one worker
    - gateway/     dispatch by path; identity and limits of the caller
    - model/       chat completions: the run that produces an answer, the relay that sends it to the caller, the handover
    - plain/       calls to plain services
    - once/        calls with idempotency keys that run at most once: ownership and handover of key slots
    - peers/       calls between nodes: signatures, exchange of the settings tree and of crash evidence
    - resume/      answers by request identifier, from this router or the one that holds them
    - background/  polling of the platform and of the replicas' load; the sweep over open requests

    Depends on: every module except the fakes used in tests.
*/
#pragma once

#include "Router.h"
