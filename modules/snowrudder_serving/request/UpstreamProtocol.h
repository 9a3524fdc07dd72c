#pragma once

#include "RoutedRequest.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace snowrudder
{

/** The fields that this node sets on each attempt sent to a replica. */
struct AttemptFields
{
    /** The incarnation of the replica to which the attempt is addressed. */
    std::string replica;
    std::string account;
    /** Time left until the request's deadline. */
    std::chrono::milliseconds timeLeft {};
    /** 0 is the most urgent, 9 the least. */
    std::uint32_t urgency = 0;
    /** Identifier of the last event that the caller has received, if a stream is resumed; otherwise empty. */
    std::string lastEventId;
};

/** The contents of the head of a replica's answer, apart from the status. */
struct UpstreamAnswer
{
    /** Whether the answer belongs to the request: a replica may send unsolicited bytes on a connection. */
    bool belongsToRequest = true;
    /** Whether the replica declares that it has not run the request and never will. */
    bool wasNotRun = false;
    /** Whether callers take the answer's status for a promise that the request has not run and never will. */
    bool promisesNotRun = false;
    /** Whether the address now belongs to another replica. */
    bool isAddressReassigned = false;
    bool isSuccess = false;
    /** Requests running and waiting, if the replica reports them. */
    std::optional<LoadReport> load;
    /** What of the load could not be read; empty where all of it could. */
    std::string unreadableLoad {};
    /** Requests a second that the replica takes from all nodes together, if it states a limit. */
    std::optional<double> rateLimit {};
    /** The stated limit if it could not be read; otherwise empty. */
    std::string unreadableRateLimit {};
    /** Rejections a second that the replica bears from all nodes together, if it states a number. */
    std::optional<double> rejectionLimit {};
    /** The stated number if it could not be read; otherwise empty. */
    std::string unreadableRejectionLimit {};
    /** Whether the replica states that it is leaving. */
    bool statesLeaving = false;
    /** What it states on leaving if that could not be read; otherwise empty. */
    std::string unreadableLeaving {};
    /** For how long the replica, which rejects the request, asks this node for no further ones. */
    std::optional<Duration> rest {};
    /** The stated time if it could not be read; otherwise empty. */
    std::string unreadableRest {};
};

/** The upstreams' protocol of a face: functions that encode and decode messages and make no decisions. */
struct UpstreamProtocol
{
    /** Sets an attempt's fields on a request's message, replacing those of an earlier attempt. */
    std::function<void (HttpRequest&, const AttemptFields&)> setFields;
    /** Decodes the head of an answer to a request. */
    std::function<UpstreamAnswer (const http::response_header<>&, std::string_view requestId)> readAnswer;
    /** Encodes a refusal or failure as a response to the caller. */
    std::function<HttpResponse (const Problem&, std::string_view requestId)> problem;
    /** Finds a request's identifier in the fields of its header; empty if it has none. */
    std::function<std::string (const http::fields&)> requestId = [] (const http::fields&)
    { return std::string(); };
};

} // namespace snowrudder
