#include "BrokenAnswers.h"

#include "snowrudder_serving/relay/AnswerRelay.h"
#include "snowrudder_serving/relay/RoutedRequestRunner.h"

#include <algorithm>
#include <map>
#include <random>

namespace snowrudder::tests
{

namespace
{

/** Number of requests that are in progress at a time. */
constexpr auto workerCount = std::size_t { 48 };

/** The time limit of the requests that must not reach it. */
constexpr auto ampleTimeLimit = Duration (20s);

/** How long after a caller has left its run may go on at the replica. */
constexpr auto allowedRunAfterLeaving = 500ms;

class Draw
{
public:
    explicit Draw (std::uint64_t seed) : engine (seed) {}

    auto below (std::size_t limit) -> std::size_t
    {
        return std::uniform_int_distribution<std::size_t> (0, limit - 1) (engine);
    }

    auto chance (double share) -> bool { return std::bernoulli_distribution (share) (engine); }

private:
    std::mt19937_64 engine;
};

auto makeEvents (Draw& draw, std::size_t size) -> std::vector<std::string>
{
    constexpr auto lineEnds = std::array<std::string_view, 3> { "\n", "\r\n", "\r" };
    const auto lineEnd = std::string (lineEnds.at (draw.below (lineEnds.size())));
    std::vector<std::string> events;

    for (auto number = std::size_t { 1 }, count = 1 + draw.below (6); number <= count; ++number)
    {
        auto& event = events.emplace_back ("id: ");
        event.append (std::to_string (number)).append (lineEnd);
        event.append ("data: ").append (1 + draw.below (size), 'd').append (lineEnd).append (lineEnd);
    }

    return events;
}

constexpr auto nextBody = std::string_view ("next");

/** @returns the bytes that an attempt after the first one brings. */
auto encodeNextAnswer (const AnswerPlan& plan) -> std::string
{
    if (plan.next == NextAttempt::cutHead)
        return "HTTP/1.1 200 OK\r\nContent-Ty";

    if (plan.next == NextAttempt::cutBody)
        return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 100\r\n\r\nid: 3\nda";

    constexpr auto bodiless = std::array { 101U, 204U, 304U };
    auto text = "HTTP/1.1 " + std::to_string (plan.nextStatus) + " Any\r\n";

    if (std::ranges::find (bodiless, plan.nextStatus) != bodiless.end())
        return text + "\r\n";

    return text + "Content-Length: " + std::to_string (nextBody.size()) + "\r\n\r\n" + std::string (nextBody);
}

/** @returns the offset of the end of the bytes that a replica sends: in the head, in a chunk's size line, between events,
    after a line or anywhere else.
*/
auto drawCut (Draw& draw, const AnswerPlan& plan, const std::vector<std::size_t>& offsets) -> std::size_t
{
    const auto headEnd = plan.wire.find ("\r\n\r\n") + 4;
    const auto offsetOf = [&] (std::size_t bytes)
    { return bytes == 0 ? headEnd : offsets.at (bytes - 1) + 1; };

    switch (draw.below (7))
    {
        case 0:
            return 1 + draw.below (headEnd - 1);
        case 1:
            return headEnd;
        case 2:
            // Where the answer has chunks, this is in a size line.
            return std::min (headEnd + 1, plan.wire.size() - 1);
        case 3:
        {
            auto sum = std::size_t { 0 };

            for (auto left = 1 + draw.below (plan.parts.size()); left > 0; --left)
                sum += plan.parts.at (left - 1).size();

            return offsetOf (sum);
        }
        case 4:
        {
            const auto lineEnd = plan.body.find_first_of ("\r\n", draw.below (plan.body.size()));
            return offsetOf (lineEnd == std::string::npos ? plan.body.size() / 2 : lineEnd + 1);
        }
        case 5:
            return offsetOf (plan.body.size());
        default:
            return headEnd + draw.below (plan.wire.size() - headEnd);
    }
}

} // namespace

auto AnswerPlan::isBrokenOff() const -> bool
{
    if (end == AnswerEnd::complete)
        return false;

    if (end != AnswerEnd::finish || ! isHeadSent || framing != AnswerFraming::endOfConnection)
        return true;

    if (! isStream())
        return false;

    auto eventEnd = std::size_t { 0 };

    for (const auto& part : parts)
        if (eventEnd += part.size(); eventEnd == bodySent)
            return false;

    return true;
}

auto encodeAnswer (const AnswerPlan& plan,
                   AnswerFraming framing,
                   const std::vector<std::string>& parts,
                   std::vector<std::size_t>& offsets) -> std::string
{
    auto size = std::size_t { 0 };

    for (const auto& part : parts)
        size += part.size();

    auto wire = std::string ("HTTP/1.1 200 OK\r\nContent-Type: ") +
                (plan.isStream() ? "text/event-stream" : "text/plain") + "\r\n";

    if (framing == AnswerFraming::length)
        wire += "Content-Length: " + std::to_string (size) + "\r\n";

    if (framing == AnswerFraming::chunks)
        wire += "Transfer-Encoding: chunked\r\n";

    wire += "\r\n";

    for (const auto& part : parts)
    {
        std::array<char, 16> sizeLine {};

        if (framing == AnswerFraming::chunks)
            wire.append (sizeLine.data(), static_cast<std::size_t> (std::snprintf (
                                              sizeLine.data(), sizeLine.size(), "%zx\r\n", part.size())));

        for (auto byte = std::size_t { 0 }; byte < part.size(); ++byte)
            offsets.push_back (wire.size() + byte);

        wire += part;

        if (framing == AnswerFraming::chunks)
            wire += "\r\n";
    }

    return framing == AnswerFraming::chunks ? wire + "0\r\n\r\n" : wire;
}

auto makeAnswerPlan (std::uint64_t seed) -> AnswerPlan
{
    Draw draw (seed);
    AnswerPlan plan;
    plan.seed = seed;
    plan.route = static_cast<AnswerRoute> (draw.below (4));
    plan.framing = static_cast<AnswerFraming> (draw.below (3));
    plan.callerVersion = draw.chance (0.5) ? 10 : 11;

    constexpr auto writeSizes = std::array<std::size_t, 6> { 1, 3, 17, 256, 4096, 65536 };
    plan.writeSize = writeSizes.at (draw.below (writeSizes.size()));

    // Answers of more than `readAheadBytes` are relayed while they are read.
    const auto isLarge = ! plan.isStream() && plan.writeSize == writeSizes.back() && draw.chance (0.3);
    const auto partSize = isLarge ? readAheadBytes / 2 : std::min<std::size_t> (plan.writeSize * 8, 2000);

    if (plan.isStream())
        plan.parts = makeEvents (draw, partSize);
    else
        for (auto left = 1 + draw.below (4) + (isLarge ? 2U : 0U); left > 0; --left)
            plan.parts.emplace_back (std::max<std::size_t> (partSize / 2, 1) + draw.below (partSize),
                                     static_cast<char> ('a' + left));

    for (const auto& part : plan.parts)
        plan.body += part;

    std::vector<std::size_t> offsets;
    plan.wire = encodeAnswer (plan, plan.framing, plan.parts, offsets);
    plan.bodySent = plan.body.size();

    // Plans that wait for time to pass take much longer than the others.
    constexpr auto slowShare = 0.06;
    constexpr auto completeShare = 0.2;

    if (draw.chance (slowShare))
        plan.end = draw.chance (0.5) ? AnswerEnd::stall : AnswerEnd::callerLeaves;
    else if (! draw.chance (completeShare))
        plan.end = draw.chance (0.5) ? AnswerEnd::finish : AnswerEnd::reset;

    if (plan.end == AnswerEnd::complete)
        return plan;

    const auto cut =
        std::min (drawCut (draw, plan, offsets),
                  plan.framing == AnswerFraming::endOfConnection ? plan.wire.size() : plan.wire.size() - 1);
    plan.wire.resize (cut);
    plan.isHeadSent = plan.wire.find ("\r\n\r\n") != std::string::npos;
    plan.bodySent = static_cast<std::size_t> (std::ranges::lower_bound (offsets, cut) - offsets.begin());
    return plan;
}

namespace
{

/** Sends requests one after another and plays the replicas that answer them. */
struct Worker
{
    explicit Worker (asio::io_context& loop) : first (loop), second (loop) {}

    tcp::acceptor first;
    tcp::acceptor second;
    /** The request in progress. */
    const AnswerPlan* plan = nullptr;
    Route route;
    std::size_t attempts = 0;
    std::optional<TimePoint> runEndedAt;
    std::vector<std::string> listed;
};

class World
{
public:
    explicit World (const std::vector<AnswerPlan>& answerPlans) : plans (answerPlans), views (plans.size())
    {
        settings.retryShare = 10.0;
        state = std::make_unique<ServingState> (loop, settings);
        state->announcePrompt = [] (const PromptNotice&) {};
        // The list of replicas is always complete here, so that streams may go on.
        state->storeUpdates.ownDirectoryProvenAt = TimePoint::max();
        state->protocol.setFields = [] (HttpRequest& message, const AttemptFields& fields)
        { message.set ("Last-Event-Id", fields.lastEventId); };
        state->protocol.readAnswer = [] (const http::response_header<>& head, std::string_view)
        {
            UpstreamAnswer answer;
            answer.isSuccess = http::to_status_class (head.result()) == http::status_class::successful;
            return answer;
        };
        state->protocol.problem = [] (const Problem& problem, std::string_view id)
        { return problemResponse (problem, std::string (id)); };
        server = std::make_shared<HttpServer> (
            loop, ServerLimits(), [this] (Exchange& exchange) { return handle (exchange); },
            [] (const RejectedInput& input) {
                return Rejection { problemResponse (makeProblem (input.kind), {}), {} };
            });
    }

    ~World() { loop.destroyWaitingCoroutines(); }

    World (const World&) = delete;
    auto operator= (const World&) -> World& = delete;

    auto play() -> std::vector<CallerView>
    {
        const tcp::endpoint anyPort (asio::ip::address_v4::loopback(), 0);
        server->listen (anyPort);

        for (auto number = std::size_t { 0 }; number < workerCount; ++number)
        {
            auto& worker = *workers.emplace_back (std::make_unique<Worker> (loop));

            for (auto* acceptor : { &worker.first, &worker.second })
            {
                acceptor->open (anyPort.protocol());
                acceptor->bind (anyPort);
                acceptor->listen();
                asio::co_spawn (loop, accept (worker, *acceptor), asio::detached);
            }

            asio::co_spawn (loop, work (worker), asio::detached);
        }

        loop.run();
        return std::move (views);
    }

private:
    auto work (Worker& worker) -> Task<void>
    {
        while (next < plans.size())
        {
            const auto index = next++;
            list (worker, plans[index]);
            co_await call (worker, views[index]);
        }

        if (++finishedWorkers == workerCount)
            loop.stop();
    }

    /** Lists two new replicas for a request, in a service of its own. */
    auto list (Worker& worker, const AnswerPlan& plan) -> void
    {
        worker.plan = &plan;
        worker.attempts = 0;
        worker.runEndedAt.reset();
        const auto name = std::to_string (plan.seed);
        worker.route = {};
        worker.route.name = name;
        worker.route.mostAttempts = 3;
        worker.route.kind = plan.isStream()                         ? RouteKind::stream
                            : plan.route == AnswerRoute::repeatable ? RouteKind::repeatable
                                                                    : RouteKind::once;
        worker.route.canResume = plan.route == AnswerRoute::resumableStream;

        std::vector<ListedReplica> changed;

        for (const auto* acceptor : { &worker.first, &worker.second })
        {
            ReplicaInfo info;
            info.name = name + (acceptor == &worker.first ? "a" : "b");
            info.service = name;
            info.endpoint = "127.0.0.1:" + std::to_string (acceptor->local_endpoint().port());
            changed.push_back ({ info, false });
        }

        state->applyReplicaChanges ({ std::move (changed), worker.listed }, BootClock::now());
        worker.listed = { name + "a", name + "b" };
    }

    auto handle (Exchange& exchange) -> Task<void>
    {
        const auto& worker = *workers.at (std::stoul (std::string (exchange.path().substr (1))));
        RoutedRequest request;
        request.caller.id = worker.route.name;
        request.caller.message = HttpRequest (http::verb::get, "/", 11);
        request.configuration = configuration;
        request.route = &worker.route;
        request.service = worker.route.name;
        request.accepted = BootClock::now();
        request.deadline =
            request.accepted + (worker.plan->reachesDeadline() ? shortTimeLimit : ampleTimeLimit);
        request.subjects.request = fingerprintOf ("secret", { worker.route.name, "GET", "host", "/", {} });
        RoutedRequestRunner runner (*state, exchange, std::move (request));
        co_await runner.run();
    }

    auto call (Worker& worker, CallerView& view) -> Task<void>
    {
        const auto& plan = *worker.plan;
        const auto number =
            std::ranges::find (workers, &worker, &std::unique_ptr<Worker>::get) - workers.begin();
        tcp::socket socket (loop);
        co_await socket.async_connect (server->localEndpoint(), asTuple);
        const auto text = "GET /" + std::to_string (number) + " HTTP/1." +
                          std::to_string (plan.callerVersion - 10) + "\r\nHost: h\r\n\r\n";
        co_await asio::async_write (socket, asio::buffer (text), asTuple);

        if (plan.end == AnswerEnd::callerLeaves)
        {
            while (worker.attempts == 0)
                co_await pauseFor (loop, 1ms);

            const auto left = BootClock::now();
            socket.close();

            while (! worker.runEndedAt && BootClock::now() - left < allowedRunAfterLeaving)
                co_await pauseFor (loop, 1ms);

            view.isRunEnded = worker.runEndedAt.has_value();
            co_return;
        }

        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.body_limit (std::numeric_limits<std::uint64_t>::max());
        const auto [error, bytes] = co_await http::async_read (socket, buffer, parser, asTuple);
        view.isComplete = ! error;
        view.status = parser.is_header_done() ? parser.get().result_int() : 0;
        view.body = parser.get().body();
    }

    auto accept (Worker& worker, tcp::acceptor& acceptor) -> Task<void>
    {
        for (;;)
        {
            auto [error, socket] = co_await acceptor.async_accept (asTuple);

            if (! error)
                asio::co_spawn (loop, serve (worker, std::move (socket)), asio::detached);
        }
    }

    /** Plays a replica on one connection. */
    auto serve (Worker& worker, tcp::socket socket) -> Task<void>
    {
        socket.set_option (tcp::no_delay (true));
        beast::flat_buffer buffer;

        for (;;)
        {
            HttpRequest request;
            const auto [error, bytes] = co_await http::async_read (socket, buffer, request, asTuple);

            if (error)
                co_return;

            const auto& plan = *worker.plan;
            const auto isFirst = worker.attempts++ == 0;

            if (! isFirst && plan.next != NextAttempt::whole)
            {
                co_await serveNext (plan, socket);
                co_return;
            }

            const auto wire = isFirst ? plan.wire : restOf (plan, toView (request["Last-Event-Id"]));

            for (auto sent = std::size_t { 0 }; sent < wire.size();)
            {
                const auto size = std::min (isFirst ? plan.writeSize : wire.size(), wire.size() - sent);
                const auto [writeError, written] =
                    co_await asio::async_write (socket, asio::buffer (wire.data() + sent, size), asTuple);

                if (writeError)
                    break;

                sent += size;
            }

            if (! isFirst || plan.end == AnswerEnd::complete)
            {
                if (isFirst && plan.framing == AnswerFraming::endOfConnection)
                    co_return;

                continue;
            }

            co_await end (worker, socket, plan.end);
            co_return;
        }
    }

    auto serveNext (const AnswerPlan& plan, tcp::socket& socket) -> Task<void>
    {
        if (plan.next == NextAttempt::silent)
        {
            std::array<char, 1> byte {};
            co_await socket.async_read_some (asio::buffer (byte), asTuple);
            co_return;
        }

        if (plan.nextPause > Duration::zero())
            co_await pauseFor (loop, plan.nextPause);

        const auto text = encodeNextAnswer (plan);
        co_await asio::async_write (socket, asio::buffer (text), asTuple);
    }

    auto end (Worker& worker, tcp::socket& socket, AnswerEnd how) -> Task<void>
    {
        if (how == AnswerEnd::reset)
        {
            // The destructor of a socket turns this option off.
            socket.set_option (asio::socket_base::linger (true, 0));
            socket.close();
        }

        if (how != AnswerEnd::stall && how != AnswerEnd::callerLeaves)
            co_return;

        std::array<char, 1> byte {};
        co_await socket.async_read_some (asio::buffer (byte), asTuple);
        worker.runEndedAt = BootClock::now();
    }

    /** @returns a whole answer with the events that follow the given one, or with all parts. */
    static auto restOf (const AnswerPlan& plan, std::string_view lastEventId) -> std::string
    {
        auto parts = plan.parts;

        if (! lastEventId.empty())
            parts.erase (parts.begin(), parts.begin() + std::stol (std::string (lastEventId)));

        std::vector<std::size_t> offsets;
        return encodeAnswer (plan, plan.seed % 2 == 0 ? AnswerFraming::length : AnswerFraming::chunks, parts,
                             offsets);
    }

    const std::vector<AnswerPlan>& plans;
    std::vector<CallerView> views;
    EventLoop loop { 1 };
    ServingSettings settings;
    const std::shared_ptr<const RoutingConfiguration> configuration =
        std::make_shared<RoutingConfiguration>();
    std::unique_ptr<ServingState> state;
    std::shared_ptr<HttpServer> server;
    std::vector<std::unique_ptr<Worker>> workers;
    std::size_t next = 0;
    std::size_t finishedWorkers = 0;
};

auto describe (const AnswerPlan& plan, const CallerView& view) -> std::string
{
    return "seed " + std::to_string (plan.seed) + ", route " +
           std::to_string (static_cast<int> (plan.route)) + ", framing " +
           std::to_string (static_cast<int> (plan.framing)) + ", end " +
           std::to_string (static_cast<int> (plan.end)) + ", HTTP version " +
           std::to_string (plan.callerVersion) + ", " + std::to_string (plan.bodySent) + " of " +
           std::to_string (plan.body.size()) + " bytes sent; caller: status " + std::to_string (view.status) +
           (view.isComplete ? ", complete, " : ", incomplete, ") + std::to_string (view.body.size()) +
           " bytes";
}

} // namespace

auto playAnswers (const std::vector<AnswerPlan>& plans) -> std::vector<CallerView>
{
    return World (plans).play();
}

auto findFault (const AnswerPlan& plan, const CallerView& view) -> std::string
{
    if (plan.end == AnswerEnd::callerLeaves)
        return view.isRunEnded ? "" : "the run goes on after its caller has left: " + describe (plan, view);

    const auto isSuccess = view.status == static_cast<unsigned> (http::status::ok);
    const auto isWhole = isSuccess && view.isComplete;

    if (! plan.isBrokenOff())
        return isWhole && view.body == plan.body.substr (0, plan.bodySent)
                   ? ""
                   : "a whole answer was changed or broken off: " + describe (plan, view);

    if (isWhole && view.body != plan.body)
        return "an answer that was broken off looks complete: " + describe (plan, view);

    if (isSuccess && ! plan.body.starts_with (view.body))
        return "an answer that was broken off was changed: " + describe (plan, view);

    // After the first `readAheadBytes`, the caller has part of an answer that can't be resumed.
    const auto isUnfinishable =
        plan.end == AnswerEnd::stall || (! plan.isStream() && plan.bodySent >= readAheadBytes);

    return plan.mayRepeat() && ! isUnfinishable && ! isWhole
               ? "an answer that may be repeated was not finished at another replica: " +
                     describe (plan, view)
               : "";
}

namespace
{

/** @returns the plans whose first answer ends at the same place and whose next attempts differ. */
auto withNextAttempts (const AnswerPlan& first) -> std::vector<AnswerPlan>
{
    std::vector<AnswerPlan> plans;

    for (const auto status : { 101U, 200U, 201U, 204U, 206U, 301U, 304U, 400U, 401U, 404U, 408U, 421U, 429U,
                               500U, 502U, 503U, 504U })
    {
        auto& plan = plans.emplace_back (first);
        plan.next = NextAttempt::status;
        plan.nextStatus = status;
    }

    for (const auto next :
         { NextAttempt::whole, NextAttempt::cutHead, NextAttempt::cutBody, NextAttempt::silent })
        plans.emplace_back (first).next = next;

    // The deadline cancels a read up to two intervals late.
    for (const auto fromDeadline : { -5ms, 0ms, 10ms, 25ms, 45ms })
    {
        auto& plan = plans.emplace_back (first);
        plan.next = NextAttempt::status;
        plan.nextStatus = 504;
        plan.nextPause = shortTimeLimit + fromDeadline;
    }

    return plans;
}

} // namespace

auto makeNextAttemptPlans() -> std::vector<AnswerPlan>
{
    std::vector<AnswerPlan> plans;

    for (auto route = 0; route < 4; ++route)
        for (auto framing = 0; framing < 3; ++framing)
            for (auto end : { AnswerEnd::finish, AnswerEnd::reset })
                for (auto state = 0; state < 6; ++state)
                {
                    AnswerPlan plan;
                    plan.route = static_cast<AnswerRoute> (route);
                    plan.framing = static_cast<AnswerFraming> (framing);
                    plan.end = end;
                    // The last state is an answer of which a part has been passed on, also where it is no stream.
                    const auto dataBytes =
                        state == 5 && ! plan.isStream() ? readAheadBytes / 2 : std::size_t { 5 };
                    plan.writeSize = readAheadBytes;

                    for (auto number = 1; number <= 4; ++number)
                    {
                        plan.parts.push_back ("id: " + std::to_string (number) +
                                              "\ndata: " + std::string (dataBytes, 'd') + "\n\n");
                        plan.body += plan.parts.back();
                    }

                    std::vector<std::size_t> offsets;
                    plan.wire = encodeAnswer (plan, plan.framing, plan.parts, offsets);
                    const auto headEnd = plan.wire.find ("\r\n\r\n") + 4;
                    const auto eventsEnd = plan.parts[0].size() + plan.parts[1].size();
                    const auto cuts = std::array { std::size_t { 10 },
                                                   headEnd,
                                                   offsets.at (4),
                                                   offsets.at (eventsEnd - 1) + 1,
                                                   offsets.at (eventsEnd + 4),
                                                   offsets.at (3 * eventsEnd / 2 + 4) };
                    plan.wire.resize (cuts.at (static_cast<std::size_t> (state)));
                    plan.isHeadSent = state > 0;
                    plan.bodySent = static_cast<std::size_t> (
                        std::ranges::lower_bound (offsets, plan.wire.size()) - offsets.begin());

                    for (auto& next : withNextAttempts (plan))
                        plans.push_back (std::move (next));
                }

    for (auto index = std::size_t { 0 }; index < plans.size(); ++index)
    {
        plans[index].seed = index;
        plans[index].callerVersion = index % 2 == 0 ? 11 : 10;
    }

    return plans;
}

auto findNextAttemptFault (const AnswerPlan& plan, const CallerView& view) -> std::string
{
    if (! view.isComplete)
        return view.status == 0 || plan.body.starts_with (view.body) ||
                       std::string_view (nextBody).starts_with (view.body)
                   ? ""
                   : "a part of an answer was changed: " + describe (plan, view);

    // What ends between two events with its connection can't be told from a whole stream.
    const auto isNextPassedOn = plan.next == NextAttempt::status && view.status == plan.nextStatus &&
                                (view.body == nextBody || view.body.empty());
    const auto isWhole = view.status == 200 && (view.body == plan.body || ! plan.isBrokenOff());
    const auto isOwn = view.status == 502 || view.status == 503 || view.status == 504;
    return isNextPassedOn || isWhole || isOwn ? "" : "joined from two answers: " + describe (plan, view);
}

} // namespace snowrudder::tests
