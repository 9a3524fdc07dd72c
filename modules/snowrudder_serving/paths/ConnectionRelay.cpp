#include "ConnectionRelay.h"

#include "PathMonitor.h"

#include <array>

namespace snowrudder
{

namespace
{

/** The largest number of connections that are relayed at a time. Each takes two file descriptors. */
constexpr auto maxRelayedConnections = std::size_t { 512 };

constexpr auto maxRequestBytes = std::uint32_t { 4096 };

/** Limit for a node's request, which it sends as soon as it is connected. */
constexpr auto requestTimeout = Duration (1s);

/** Connections within the platform are established in a few milliseconds. */
constexpr auto replicaConnectTimeout = Duration (250ms);

/** How long a relayed connection outlives the request's deadline, by which the node that asked has closed it. */
constexpr auto closeMargin = Duration (1s);

/** Bytes that are relayed at a time. */
constexpr auto copyBytes = std::size_t { 4096 };

} // namespace

/** The two sides of a relayed connection. */
struct ConnectionRelay::Relayed
{
    Relayed (tcp::socket socket, Watchdog& watchdog)
        : node (std::move (socket)), replica (node.get_executor()), nodeDeadline (watchdog, node),
          replicaDeadline (watchdog, replica)
    {
    }

    tcp::socket node;
    tcp::socket replica;
    Watchdog::Watch nodeDeadline;
    Watchdog::Watch replicaDeadline;
    /** The node that asked. */
    std::string nodeName;
    /** Why it gets no connection, for the log; empty if it gets one. */
    std::string_view refusal;
};

ConnectionRelay::ConnectionRelay (ServingState& servingState)
    : state (servingState), acceptor (state.loop), watchdog (state.loop.get_executor())
{
}

auto ConnectionRelay::listen (const tcp::endpoint& endpoint) -> std::error_code
{
    boost::system::error_code error;
    acceptor.open (endpoint.protocol(), error);

    if (! error)
        acceptor.set_option (tcp::acceptor::reuse_address (true), error);

    if (! error)
        acceptor.bind (endpoint, error);

    if (! error)
        acceptor.listen (asio::socket_base::max_listen_connections, error);

    if (! error)
        asio::co_spawn (
            state.loop, [self = shared_from_this()] { return self->acceptLoop(); }, asio::detached);

    return error;
}

auto ConnectionRelay::acceptLoop() -> Task<void>
{
    // While descriptors are scarce, accepting fails at once.
    constexpr auto pauseAfterError = Duration (10ms);
    const auto self = shared_from_this();

    for (;;)
    {
        auto [error, socket] = co_await acceptor.async_accept (asTuple);

        if (error == asio::error::operation_aborted)
            co_return;

        if (error)
            co_await pauseFor (state.loop, pauseAfterError);
        else
            asio::co_spawn (state.loop, serve (std::move (socket)), asio::detached);
    }
}

auto ConnectionRelay::serve (tcp::socket socket) -> Task<void>
{
    const auto self = shared_from_this();
    Relayed relayed (std::move (socket), watchdog);
    boost::system::error_code ignored;
    relayed.node.set_option (tcp::no_delay (true), ignored);

    const auto request = co_await readRequest (relayed);
    auto status = relayUnauthorized;

    if (request)
        status = co_await connect (relayed, *request);

    http::response<http::empty_body> response (status, 11);

    // Once the node is connected, the end of this process must not look like the replica's close.
    if (status == relayConnected && setResetAtClose (relayed.node, true))
        response.set (relayEndField, toBeast (relayEndIsReset));

    const auto [error, bytes] = co_await http::async_write (relayed.node, response, asTuple);

    LogLine ("connection_relayed")
        .with ("for", relayed.nodeName)
        .with ("replica", request ? request->replica : std::string())
        .with ("status", static_cast<unsigned> (status))
        .with ("reason", relayed.refusal)
        .with ("relayed", state.relayedConnections)
        .info();

    if (error || status != relayConnected)
        co_return;

    ++state.relayedConnections;
    relayed.nodeDeadline.start (request->timeLeft + closeMargin);
    relayed.replicaDeadline.start (request->timeLeft + closeMargin);
    co_await runAll (state.loop, 2, [&] (std::size_t direction) { return copy (relayed, direction == 0); });
    --state.relayedConnections;
}

auto ConnectionRelay::readRequest (Relayed& relayed) -> Task<std::optional<RelayRequest>>
{
    beast::flat_buffer buffer (2 * maxRequestBytes);
    http::request_parser<http::string_body> parser;
    parser.header_limit (maxRequestBytes);
    parser.body_limit (0);
    relayed.nodeDeadline.start (requestTimeout);
    const auto [error, bytes] = co_await http::async_read (relayed.node, buffer, parser, asTuple);

    if (error)
        co_return std::nullopt;

    const auto& message = parser.get();
    const auto signer =
        state.fleetSecret.empty() ? std::nullopt : verifiedSigner (state.fleetSecret, message);

    if (! signer)
        co_return std::nullopt;

    relayed.nodeName = *signer;
    co_return decodeRelayRequest (message);
}

auto ConnectionRelay::refusalReason() const -> std::string_view
{
    if (state.leaving)
        return "leaving";

    if (arePathsLost (state.paths))
        return "paths_lost";

    return state.relayedConnections >= maxRelayedConnections ? "busy" : "";
}

auto ConnectionRelay::connect (Relayed& relayed, const RelayRequest& request) -> Task<http::status>
{
    relayed.refusal = refusalReason();

    if (! relayed.refusal.empty())
        co_return relayUnavailable;

    auto endpoint = request.endpoint;

    if (const auto listed = state.replicas.addressOf (replicaHash (request.replica)))
    {
        if (listed->isLeaving)
            co_return relayReplicaLeaving;

        if (state.replicas.isResting (replicaHash (request.replica), BootClock::now()))
        {
            relayed.refusal = "resting";
            co_return relayReplicaResting;
        }

        endpoint = listed->endpoint;
    }

    relayed.replicaDeadline.start (replicaConnectTimeout);
    const auto [error] = co_await relayed.replica.async_connect (parseEndpoint (endpoint), asTuple);

    if (error)
    {
        const auto isRefused = error == asio::error::connection_refused;
        auto isVerified = false;

        if (isRefused)
            isVerified = co_await reachesOtherReplica (state, request.replica);

        // Also the node that asks has failed to reach this replica. It says something of this node's paths only if
        // nothing else does.
        if (const auto now = BootClock::now();
            ! isVerified && now - state.paths.lastContact >= silenceBeforeProbe)
            recordConnectFailure (state, request.replica, now);

        if (arePathsLost (state.paths))
            co_return relayUnavailable;

        const auto witness = witnessOf (isRefused, isVerified);
        relayed.refusal = toString (witness);
        co_return witness == WitnessAnswer::refused ? relayReplicaUnreachable : relayUnverified;
    }

    boost::system::error_code ignored;
    relayed.replica.set_option (tcp::no_delay (true), ignored);
    co_return relayConnected;
}

auto ConnectionRelay::copy (Relayed& relayed, bool isFromReplica) -> Task<void>
{
    auto& source = isFromReplica ? relayed.replica : relayed.node;
    auto& sink = isFromReplica ? relayed.node : relayed.replica;
    std::array<char, copyBytes> bytes {};
    boost::system::error_code ignored;

    for (;;)
    {
        const auto [readError, size] = co_await source.async_read_some (asio::buffer (bytes), asTuple);

        // The node closes its connection only as a whole. A replica's close ends its answer, and the node closes then.
        if (readError == asio::error::eof && isFromReplica)
        {
            sink.shutdown (tcp::socket::shutdown_send, ignored);
            co_return;
        }

        if (readError == asio::error::eof)
        {
            sink.close (ignored);
            source.close (ignored);
            co_return;
        }

        auto error = readError;

        // A deadline cancels an operation that waits. A replica that never stops sending leaves none waiting.
        if (relayed.nodeDeadline.hasExpired() || relayed.replicaDeadline.hasExpired())
            error = asio::error::timed_out;

        if (! error)
        {
            const auto [writeError, written] =
                co_await asio::async_write (sink, asio::buffer (bytes.data(), size), asTuple);
            error = writeError;
        }

        if (error)
        {
            resetConnection (sink);
            resetConnection (source);
            co_return;
        }
    }
}

} // namespace snowrudder
