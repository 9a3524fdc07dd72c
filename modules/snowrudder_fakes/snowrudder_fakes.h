/** @file
    snowrudder_fakes: simple fakes of the systems that snowrudder depends on: a model engine, a plain service, the
    platform.

    - engine/    a step-based model of an engine without input and output (EngineModel), and its HTTP server
    - service/   a plain service that counts its runs by key
    - platform/  key-value service, VM list, cloud API, weight store, each with faults that are injected over HTTP
    - common/    helpers shared by the three

    They are used in tests and experiments and are not part of a deployment.
    Depends on: snowrudder_core, snowrudder_schema, snowrudder_chat, snowrudder_net.
*/
#pragma once

#include "common/FakeServer.h"
#include "engine/AnswerText.h"
#include "engine/EngineModel.h"
#include "engine/FakeEngine.h"
#include "platform/FakePlatform.h"
#include "service/FakeService.h"
