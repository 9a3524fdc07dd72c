#pragma once

#include "RoutedRequest.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace snowrudder
{

/** What the node itself tells a replica with each attempt. */
struct AttemptFields
{
    /** The replica's incarnation that is meant. */
    std::string replica;
    std::string account;
    /** How long the answer is of use. */
    std::chrono::milliseconds timeLeft {};
    /** 0 is the most urgent, 9 the least. */
    std::uint32_t urgency = 0;
    /** The last event that the caller has, where a stream goes on. */
    std::string lastEventId;
};

/** What the head of a replica's answer says beside its status. */
struct UpstreamAnswer
{
    /** Whether it belongs to the request: replicas may send bytes that nobody asked for. */
    bool belongsToRequest = true;
    /** Whether the replica says that it did not run the request and never will. */
    bool wasNotRun = false;
    /** Whether another replica has the address now. */
    bool isAddressReassigned = false;
    bool isSuccess = false;
    /** Requests running and waiting, where the replica tells. */
    std::optional<LoadReport> load;
};

/** What a face knows of its upstreams' protocol. Plain functions that decide nothing. */
struct UpstreamProtocol
{
    /** Sets an attempt's fields on a request's message, in place of an earlier attempt's. */
    std::function<void (HttpRequest&, const AttemptFields&)> setFields;
    /** Reads the head of an answer to a request. */
    std::function<UpstreamAnswer (const http::response_header<>&, std::string_view requestId)> readAnswer;
    /** Writes a refusal or failure for a caller. */
    std::function<HttpResponse (const Problem&, std::string_view requestId)> problem;
};

} // namespace snowrudder
