#include "Caller.h"

#include "snowrudder_chat/snowrudder_chat.h"

#include <charconv>

namespace snowrudder
{

namespace json = boost::json;

namespace
{

constexpr auto maxAttempts = 8;
constexpr auto maxBodyBytes = std::size_t { 16 * 1024 * 1024 };

/** The state of one request over all its attempts. */
struct Progress
{
    TimePoint startTime {};
    TimePoint lastToken {};
    std::string requestId;
    std::string text;
    std::size_t lastEvent = 0;
    bool hasFinishReason = false;
    bool isDone = false;
    bool hasDuplicate = false;
    bool hasGap = false;
    /** The kind of the error that ended the request; empty when there is none. */
    std::string errorKind;
    std::string ran;
    unsigned resumes = 0;
    Duration firstToken {};
    Duration longestGap {};
    Duration summedGaps {};
    std::uint64_t tokens = 0;
    bool hasResponse = false;
};

auto pickRouter (CallerThread& thread) -> tcp::endpoint
{
    const auto count = thread.plan.routers.size();
    return thread.plan.routers[std::uniform_int_distribution<std::size_t> (0, count - 1) (thread.random)];
}

auto pickTarget (CallerThread& thread, const PlannedRequest& planned, bool direct) -> tcp::endpoint
{
    if (! direct)
        return pickRouter (thread);

    const auto& upstreams = planned.kind->shape() == schema::CHAT ? thread.engines : thread.services;
    return upstreams[std::uniform_int_distribution<std::size_t> (0, upstreams.size() - 1) (thread.random)];
}

auto makeHttpRequest (const PlannedRequest& planned, const std::string& key, bool direct) -> HttpRequest
{
    const auto& kind = *planned.kind;
    const auto isChat = kind.shape() == schema::CHAT;
    const auto target = isChat   ? std::string ("/v1/chat/completions")
                        : direct ? kind.path()
                                 : "/services/" + kind.service() + kind.path();
    const auto method = isChat ? http::verb::post : http::string_to_verb (toBeast (kind.method()));

    auto request = makeRequest (method, target, planned.body);
    request.set (http::field::authorization, "Bearer " + kind.key());

    if (! planned.callKey.empty())
        request.set ("Call-Key", planned.callKey);

    if (! key.empty())
        request.set ("Idempotency-Key", key);

    return request;
}

auto appendContent (Progress& progress, std::string_view content) -> void
{
    const auto now = BootClock::now();

    if (progress.tokens == 0)
    {
        progress.firstToken = now - progress.startTime;
    }
    else
    {
        progress.longestGap = std::max (progress.longestGap, now - progress.lastToken);
        progress.summedGaps += now - progress.lastToken;
    }

    progress.lastToken = now;
    ++progress.tokens;
    progress.text += content;
}

auto recordProblem (Progress& progress, const json::value& value) -> void
{
    boost::system::error_code error;
    const auto* kind = value.find_pointer ("/kind", error);
    progress.errorKind = kind != nullptr && kind->is_string() ? std::string (kind->get_string()) : "unnamed";
    const auto* ran = value.find_pointer ("/ran", error);
    progress.ran = ran != nullptr && ran->is_string() ? std::string (ran->get_string()) : "";
}

/** Processes the data of one event. The identifiers of the events are checked by NumberedEventReader. */
auto processEvent (Progress& progress, std::string_view data) -> void
{
    if (data == "[DONE]")
    {
        progress.isDone = true;
        return;
    }

    boost::system::error_code error;
    const auto value = json::parse (toBeast (data), error);

    if (error)
    {
        progress.hasGap = true;
        return;
    }

    if (value.is_object() && value.get_object().contains ("kind"))
    {
        recordProblem (progress, value);
        return;
    }

    if (const auto* content = value.find_pointer ("/choices/0/delta/content", error);
        content != nullptr && content->is_string())
        appendContent (progress, toView (content->get_string()));

    if (const auto* reason = value.find_pointer ("/choices/0/finish_reason", error);
        reason != nullptr && reason->is_string())
        progress.hasFinishReason = true;
}

/** Splits a router's stream into events and checks that their numbers have no gaps and no duplicates. */
class NumberedEventReader
{
public:
    auto add (Progress& progress, std::string_view bytes) -> void
    {
        buffer += bytes;

        for (auto end = buffer.find ("\n\n"); end != std::string::npos; end = buffer.find ("\n\n"))
        {
            readEvent (progress, std::string_view (buffer).substr (0, end));
            buffer.erase (0, end + 2);
        }
    }

private:
    static auto readEvent (Progress& progress, std::string_view event) -> void
    {
        constexpr auto idField = std::string_view ("id: ");
        constexpr auto dataField = std::string_view ("data: ");

        if (event.starts_with (idField))
        {
            auto number = std::size_t { 0 };
            std::from_chars (event.data() + idField.size(), event.data() + event.size(), number);
            progress.hasDuplicate = progress.hasDuplicate || number <= progress.lastEvent;
            progress.hasGap = progress.hasGap || number > progress.lastEvent + 1;
            progress.lastEvent = number;
            event.remove_prefix (event.find ('\n') + 1);
        }

        if (event.starts_with (dataField))
            processEvent (progress, event.substr (dataField.size()));
    }

    std::string buffer;
};

auto recordWholeAnswer (Progress& progress, const std::string& body, bool isChat) -> void
{
    progress.isDone = true;

    if (! isChat)
        return;

    boost::system::error_code error;
    const auto value = json::parse (body, error);
    const auto* content = error ? nullptr : value.find_pointer ("/choices/0/message/content", error);

    if (content == nullptr || ! content->is_string())
    {
        progress.hasGap = true;
        return;
    }

    appendContent (progress, toView (content->get_string()));
    progress.hasFinishReason = true;
}

/** Reads an answer until it ends or its connection fails.

    @returns whether the answer is complete
*/
auto readAnswer (UpstreamCall& call, Progress& progress, bool isChat) -> Task<bool>
{
    if (co_await call.readHeader())
        co_return false;

    progress.hasResponse = true;
    const auto id = toView (call.header()["Snowrudder-Request-Id"]);

    if (progress.requestId.empty())
        progress.requestId = id;

    const auto type = toView (call.header()[http::field::content_type]);

    if (type != "text/event-stream")
    {
        std::string body;
        const auto status = call.status();

        if (co_await call.readRest (body, maxBodyBytes))
            co_return false;

        boost::system::error_code error;

        if (status >= 400)
            recordProblem (progress, json::parse (body, error));
        else
            recordWholeAnswer (progress, body, isChat);

        co_return true;
    }

    NumberedEventReader events;
    std::string piece;

    while (! call.isDone())
    {
        if (co_await call.readSome (piece))
            co_return false;

        events.add (progress, piece);
    }

    co_return progress.isDone || ! progress.errorKind.empty();
}

auto resumeRequest (const PlannedRequest& planned, const Progress& progress) -> HttpRequest
{
    auto request = makeRequest (http::verb::get, "/v1/requests/" + progress.requestId);
    request.set (http::field::authorization, "Bearer " + planned.kind->key());
    request.set ("Last-Event-ID", std::to_string (progress.lastEvent));
    return request;
}

/** Sends a request until it has an answer or has used all attempts. A broken stream is resumed and a call with an
    idempotency key is repeated with its key, both at any router. A call that may run only once and has no key is sent
    once.
*/
auto sendWithRetries (CallerThread& thread,
                      const PlannedRequest& planned,
                      const std::string& key,
                      bool direct,
                      Progress& progress) -> Task<void>
{
    const auto isChat = planned.kind->shape() == schema::CHAT;
    CallTimeouts timeouts;
    timeouts.firstByte = 90s;

    for (auto attempt = 0; attempt < maxAttempts; ++attempt)
    {
        const auto isResume = ! progress.requestId.empty() && isChat;
        const auto mayRetry = isChat || ! key.empty() || ! planned.kind->once();

        if (attempt > 0 && (direct || ! mayRetry))
            co_return;

        if (attempt > 0)
        {
            BootTimer timer (thread.loop, 100ms * attempt);
            co_await timer.async_wait (asTuple);
        }

        const auto request =
            isResume ? resumeRequest (planned, progress) : makeHttpRequest (planned, key, direct);
        progress.resumes += isResume ? 1 : 0;

        UpstreamCall call (thread.pool, pickTarget (thread, planned, direct), timeouts);
        const auto mayReuse = true;

        if (co_await call.connect (mayReuse) || co_await call.send (request))
            continue;

        if (co_await readAnswer (call, progress, isChat))
            co_return;
    }
}

auto addResult (ClassResult& entry,
                const PlannedRequest& planned,
                const Progress& progress,
                const LatencyTarget& target) -> void
{
    const auto isChat = planned.kind->shape() == schema::CHAT;
    ++entry.requests;
    entry.resumed += progress.resumes;
    entry.tokens += progress.tokens;

    if (! progress.errorKind.empty())
    {
        ++entry.errors[progress.errorKind];
        return;
    }

    if (! progress.isDone)
    {
        if (! progress.hasResponse)
            ++entry.unreachable;
        else if (! progress.text.empty())
            ++entry.truncated;
        else
            ++entry.unanswered;

        return;
    }

    const auto isWhole =
        ! isChat || (progress.text == planned.expectedText && progress.hasFinishReason && ! progress.hasGap);

    if (progress.hasDuplicate)
        ++entry.duplicated;
    else if (! isWhole)
        ++(planned.expectedText.starts_with (progress.text) || progress.hasGap ? entry.truncated
                                                                               : entry.wrong);
    else
        ++entry.good;

    const auto now = BootClock::now();
    entry.total.add (now - progress.startTime);

    if (! planned.kind->stream())
    {
        entry.withinTarget += isWhole ? 1 : 0;
        return;
    }

    entry.firstToken.add (progress.firstToken);

    const auto gaps = std::max<std::uint64_t> (progress.tokens, 2) - 1;
    const auto meanGap = progress.summedGaps / static_cast<std::int64_t> (gaps);
    entry.betweenTokens.add (meanGap);

    if (isWhole && progress.firstToken <= target.firstToken && meanGap <= target.betweenTokens)
        ++entry.withinTarget;
}

} // namespace

CallerThread::CallerThread (const schema::LoadSettings& workload,
                            const LoadPlan& loadPlan,
                            std::uint64_t streamSeed)
    : settings (workload), plan (loadPlan),
      source (
          workload, streamSeed, loadPlan.rateFactor / static_cast<double> (std::max (1U, loadPlan.threads))),
      random (static_cast<std::minstd_rand::result_type> (streamSeed + 1))
{
}

auto makeOneRequest (CallerThread& thread, LoadResult& result, PlannedRequest planned, bool direct)
    -> Task<void>
{
    ++thread.openRequests;
    Progress progress;
    progress.startTime = BootClock::now();
    const auto key = planned.kind->keyed() ? toString (makeUuid (wallTimeNow())) : std::string();

    co_await sendWithRetries (thread, planned, key, direct, progress);
    --thread.openRequests;

    const std::lock_guard lock (result.mutex);
    addResult (direct ? result.direct[planned.classIndex] : result.classes[planned.classIndex], planned,
               progress, thread.plan.target);

    if (planned.kind->once())
    {
        auto& call = result.calls[planned.callKey];
        call.classIndex = planned.classIndex;
        call.wasSuccessful = progress.isDone && progress.errorKind.empty();
        call.wasReportedNotRun = progress.ran == "no";
    }

    if (planned.promptWords > 0)
    {
        result.promptBlocks.insert (planned.promptBlocks.begin(), planned.promptBlocks.end());
        result.promptRemainders += planned.promptWords % engineBlockTokens;
    }
}

} // namespace snowrudder
