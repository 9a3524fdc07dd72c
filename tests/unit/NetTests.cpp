#include "snowrudder_chat/snowrudder_chat.h"
#include "snowrudder_fakes/snowrudder_fakes.h"
#include "snowrudder_net/server/ReadErrors.h"
#include "snowrudder_net/snowrudder_net.h"
#include "snowrudder_platform/snowrudder_platform.h"
#include "snowrudder_serving/relay/EventAssembler.h"

#include <catch2/catch.hpp>

#include <array>
#include <cstdio>
#include <thread>

using namespace snowrudder;

TEST_CASE ("a text of any bytes is one value of a query")
{
    constexpr auto plain =
        std::string_view ("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/");

    for (auto code = 0; code < 256; ++code)
    {
        const auto character = static_cast<char> (code);
        std::array<char, 4> escaped {};
        std::snprintf (escaped.data(), escaped.size(), "%%%02X", static_cast<unsigned> (code));
        const auto isPlain = plain.find (character) != std::string_view::npos;
        const auto expected = isPlain ? std::string (1, character) : std::string (escaped.data());
        CHECK (queryText (std::string (1, character)) == expected);
        CHECK (queryText ("a" + std::string (1, character) + "b") == "a" + expected + "b");
    }

    std::string all;

    for (auto code = 0; code < 256; ++code)
        all += static_cast<char> (code);

    CHECK (unescapedText (queryText (all)) == all);
    CHECK (unescapedText (segmentText (all)) == all);
    CHECK (segmentText ("a/b c") == "a%2Fb%20c");
    CHECK (unescapedText ("a+b") == "a+b");

    for (const auto* malformed : { "%", "a%4", "%zz", "%%41" })
        CHECK_FALSE (unescapedText (malformed).has_value());

    CHECK (queryText ("").empty());
    CHECK (queryText ("servers/a02&b=1+%C3 \u00e9") == "servers/a02%26b%3D1%2B%25C3%20%C3%A9");
}

TEST_CASE ("events are parsed from a stream however it is split")
{
    const auto text =
        std::string ("id: 1\r\ndata: one\r\n\r\n: comment\n\ndata: two\ndata: lines\n\ndata:three\n\n");

    for (auto step = std::size_t { 1 }; step < text.size(); ++step)
    {
        EventReader reader;
        std::vector<std::string> events;

        for (auto begin = std::size_t { 0 }; begin < text.size(); begin += step)
        {
            reader.add (std::string_view (text).substr (begin, step));

            while (const auto data = reader.next())
                events.emplace_back (*data);
        }

        CHECK (events == std::vector<std::string> { "one", "two\nlines", "three" });
    }
}

TEST_CASE ("events whose lines end with CR are complete as soon as their empty line is received")
{
    for (const auto* lineEnd : { "\n", "\r\n", "\r" })
    {
        std::string text;

        for (const auto* line : { "id: 7", "data: one", "", "id: 8", "data: two", "" })
            text.append (line).append (lineEnd);

        for (auto step = std::size_t { 1 }; step <= text.size(); ++step)
        {
            EventAssembler assembler;
            EventReader reader;
            std::string relayed;
            std::vector<std::string> events;

            for (auto begin = std::size_t { 0 }; begin < text.size(); begin += step)
            {
                relayed += assembler.add (std::string_view (text).substr (begin, step));
                reader.add (std::string_view (text).substr (begin, step));

                while (const auto data = reader.next())
                    events.emplace_back (*data);
            }

            CHECK (relayed == text);
            CHECK_FALSE (assembler.hasPartial());
            CHECK (assembler.lastEventId() == "8");
            CHECK (events == std::vector<std::string> { "one", "two" });
        }
    }
}

TEST_CASE ("the end of the last complete event is found at any end of the bytes")
{
    CHECK (endOfCompleteEvents ("") == 0);
    CHECK (endOfCompleteEvents ("data: one") == 0);
    CHECK (endOfCompleteEvents ("data: one\n") == 0);
    CHECK (endOfCompleteEvents ("data: one\n\n") == 11);
    CHECK (endOfCompleteEvents ("data: one\n\n\n") == 12);
    CHECK (endOfCompleteEvents ("data: one\r\n\r") == 0);
    CHECK (endOfCompleteEvents ("data: one\r\n\r\n") == 13);
    CHECK (endOfCompleteEvents ("data: one\n\r\n") == 12);
    CHECK (endOfCompleteEvents ("data: one\r\r") == 11);
    CHECK (endOfCompleteEvents ("data: one\r\r\n") == 12);
    CHECK (endOfCompleteEvents ("data: one\r\rdata: two\r") == 11);
    CHECK (endOfCompleteEvents ("data: one\n\ndata: two\n") == 11);
}

TEST_CASE ("the pool keeps at most the configured number of idle connections per address")
{
    asio::io_context loop (1);
    tcp::acceptor acceptor (loop, tcp::endpoint (asio::ip::address_v4::loopback(), 0));
    const auto address = acceptor.local_endpoint();
    ConnectionPool pool (loop.get_executor());
    std::vector<tcp::socket> accepted;
    const auto now = BootClock::now();
    pool.setMaxIdle (2);

    for (auto count = 0; count < 3; ++count)
    {
        auto connection = pool.createConnection();
        connection->stream.connect (address);
        connection->maxIdleTime = 10s;
        accepted.push_back (acceptor.accept());
        pool.returnToPool (address, std::move (connection), now);
    }

    CHECK (pool.acquireIdle (address, now) != nullptr);
    CHECK (pool.acquireIdle (address, now) != nullptr);
    CHECK (pool.acquireIdle (address, now) == nullptr);
}

TEST_CASE ("hop-by-hop headers are distinguished from end-to-end headers")
{
    CHECK (isHopByHop ("Transfer-Encoding", ""));
    CHECK (isHopByHop ("X-Named", "close, x-named"));
    CHECK_FALSE (isHopByHop ("X-Other", "close, x-named"));
    CHECK_FALSE (isHopByHop ("Content-Type", ""));
}

TEST_CASE ("an engine's chunks are parsed, and malformed ones are rejected")
{
    const auto event = parseChatEvent (R"({"choices":[{"delta":{"content":"x"},"finish_reason":"stop"}],
        "usage":{"prompt_tokens":7,"completion_tokens":2,"prompt_tokens_details":{"cached_tokens":5}}})");
    REQUIRE (event.has_value());
    const auto& chunk = std::get<ChatChunk> (*event);
    CHECK (chunk.content == "x");
    CHECK (chunk.finishReason == "stop");
    CHECK (chunk.usage->cachedTokens == 5);
    CHECK (chunk.other.empty());

    CHECK (std::holds_alternative<StreamEnd> (*parseChatEvent ("[DONE]")));
    CHECK (std::holds_alternative<StreamError> (*parseChatEvent (R"({"error":{"message":"m"}})")));

    for (const auto* text : { "", "x", "{", "[]", "{}", R"({"choices":1})" })
        CHECK_FALSE (parseChatEvent (text).has_value());
}

TEST_CASE ("tool calls are merged across chunks")
{
    boost::json::array calls;
    mergeToolCalls (
        calls,
        R"({"delta":{"tool_calls":[{"index":0,"id":"a","function":{"name":"f","arguments":"{\"x"}}]}})");
    mergeToolCalls (calls, R"({"delta":{"tool_calls":[{"index":0,"function":{"arguments":"\":1}"}}]}})");
    REQUIRE (calls.size() == 1);
    CHECK (calls[0].at ("function").at ("arguments").as_string() == "{\"x\":1}");
    CHECK (calls[0].at ("id").as_string() == "a");
}

TEST_CASE ("a resumed request contains the text already relayed")
{
    const auto parsed =
        parseChatRequest (R"({"model":"m","max_tokens":10,"messages":[{"role":"user","content":"q"}]})");
    const auto body =
        boost::json::parse (engineRequestBody (std::get<ChatRequest> (parsed), 3, "salt", "part", 4))
            .as_object();
    CHECK (body.at ("max_tokens").as_int64() == 6);
    CHECK (body.at ("continue_final_message").as_bool());
    CHECK (body.at ("messages").as_array().back().at ("content").as_string() == "part");
    CHECK (body.at ("cache_salt").as_string() == "salt");
}

TEST_CASE ("a VM list is parsed, and invalid entries are counted")
{
    auto skipped = std::size_t { 0 };
    const auto vms = parseVmList (R"({"vms":[
        {"name":"a","failure_domain":"d","state":"leaving","leaves_in_milliseconds":2000,
         "replicas":[{"name":"r","service":"s","endpoint":"127.0.0.1:1"},{"name":"r2"}]},
        {"name":"b"}, 7 ]})",
                                  skipped);
    REQUIRE (vms.has_value());
    CHECK (vms->size() == 1);
    CHECK (vms->front().leaving);
    CHECK (vms->front().leavesIn == std::chrono::milliseconds (2000));
    CHECK (vms->front().replicas.size() == 1);
    CHECK (skipped == 3);
    CHECK_FALSE (parseVmList ("[]", skipped).has_value());
}

// Guards against connections that were lost while a proper request arrived being answered as malformed requests.
TEST_CASE ("a read error is the caller's fault only if the parser reports what it read")
{
    for (const auto error :
         { http::error::end_of_stream, http::error::partial_message, http::error::bad_alloc })
        CHECK_FALSE (errorKindOf (error));

    for (const auto error :
         { asio::error::connection_reset, asio::error::operation_aborted, asio::error::timed_out,
           asio::error::connection_aborted, asio::error::broken_pipe, asio::error::network_down,
           asio::error::network_unreachable, asio::error::host_unreachable, asio::error::no_buffer_space,
           asio::error::not_connected })
        CHECK_FALSE (errorKindOf (error));

    CHECK_FALSE (errorKindOf (asio::error::eof));
    CHECK (errorKindOf (http::error::header_limit) == ErrorKind::headerTooLarge);
    CHECK (errorKindOf (http::error::body_limit) == ErrorKind::bodyTooLarge);

    for (const auto error :
         { http::error::bad_method, http::error::bad_target, http::error::bad_version, http::error::bad_field,
           http::error::bad_value, http::error::bad_line_ending, http::error::bad_content_length,
           http::error::bad_transfer_encoding, http::error::bad_chunk, http::error::multiple_content_length })
        CHECK (errorKindOf (error) == ErrorKind::invalidRequest);
}

TEST_CASE ("a signature is valid for one message, one secret and a limited time")
{
    const auto time = wallTimeNow();
    const auto signature = signMessage ("secret", "a", time, "message");
    const auto age = std::chrono::milliseconds (1000);
    CHECK (checkSignature ("secret", signature, "message", time, age) == "a");
    CHECK_FALSE (checkSignature ("secret", signature, "another", time, age).has_value());
    CHECK_FALSE (checkSignature ("other", signature, "message", time, age).has_value());
    CHECK_FALSE (checkSignature ("secret", signature, "message", time + 2s, age).has_value());
    CHECK_FALSE (checkSignature ("secret", "b" + signature.substr (1), "message", time, age).has_value());

    for (const auto* text : { "", ";", ";;", "a;b;c" })
        CHECK_FALSE (checkSignature ("secret", text, "message", time, age).has_value());
}

TEST_CASE ("the fake engine caches prompts and continues an answer")
{
    EngineLimits limits;
    limits.slots = 1;
    EngineModel engine (limits);

    const auto run = [&engine] (std::uint64_t id, std::uint32_t first, std::uint32_t last)
    {
        EngineRequest request;
        request.id = id;
        request.seed = 42;
        request.firstPosition = first;
        request.lastPosition = last;
        request.promptTokens.assign (100, 7);
        engine.submit (request);
        std::string text;

        while (! engine.isIdle())
            for (const auto& step : engine.step())
                text += step.text;

        return text;
    };

    const auto whole = run (1, 0, 30);
    CHECK (whole == expectedAnswer (42, 30));
    CHECK (engine.counts().computedPromptTokens == 100);
    run (2, 0, 30);
    CHECK (engine.counts().computedPromptTokens == 104);
    CHECK (run (3, 0, 10) + run (4, 10, 30) == whole);
}

TEST_CASE ("a wait that is over is noticed soon after a suspension, however long it was")
{
    CHECK (BootWaitTraits::to_wait_duration (Duration (50ms)) == 50ms);
    CHECK (BootWaitTraits::to_wait_duration (Duration (10min)) == BootWaitTraits::maxSleep);
    CHECK (BootWaitTraits::to_wait_duration (TimePoint::max()) == BootWaitTraits::maxSleep);
    CHECK (BootWaitTraits::to_wait_duration (BootClock::now() - 1s) < 0s);
}

TEST_CASE ("a wait longer than Asio's longest sleep ends at its time")
{
    asio::io_context loop;
    const auto began = BootClock::now();
    BootTimer timer (loop, BootWaitTraits::maxSleep + 100ms);
    auto ended = TimePoint();
    timer.async_wait ([&] (auto) { ended = BootClock::now(); });
    loop.run();
    CHECK (ended - began >= BootWaitTraits::maxSleep + 100ms);
}

namespace
{

/** Plays a node that relays a connection: answers the request for it, sends an answer without a length, and closes. */
auto playRelay (tcp::acceptor& acceptor, std::string head) -> Task<void>
{
    auto [acceptError, socket] = co_await acceptor.async_accept (asTuple);
    beast::flat_buffer buffer;

    for (const auto& text : { head, std::string ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
                                                 "id: 1\ndata: one\n\n") })
    {
        HttpRequest request;
        co_await http::async_read (socket, buffer, request, asTuple);
        co_await asio::async_write (socket, asio::buffer (text), asTuple);
    }
}

auto readThroughRelay (ConnectionPool& pool, tcp::endpoint relay, std::error_code& error, std::string& body)
    -> Task<void>
{
    UpstreamCall call (pool, relay, {});
    co_await call.connectThrough (relay, makeRequest (http::verb::get, "/replica"), 1s);
    co_await call.sendAndReadHeader (makeRequest (http::verb::get, "/x"));
    error = co_await call.readRest (body, 1000);
}

} // namespace

// Guards against the end of a relaying node that was taken for the end of an answer.
TEST_CASE ("an answer that ends with a relayed connection is whole only if the relay's own end is a reset")
{
    for (const auto isMarked : { false, true })
    {
        asio::io_context loop (1);
        tcp::acceptor acceptor (loop, tcp::endpoint (asio::ip::address_v4::loopback(), 0));
        ConnectionPool pool (loop.get_executor());
        const std::string mark = isMarked ? "Snowrudder-Relay-End: reset\r\n" : "";
        std::error_code error;
        std::string body;
        asio::co_spawn (loop, playRelay (acceptor, "HTTP/1.1 200 OK\r\n" + mark + "\r\n"), asio::detached);
        asio::co_spawn (loop, readThroughRelay (pool, acceptor.local_endpoint(), error, body),
                        asio::detached);
        loop.run();
        CHECK (body == "id: 1\ndata: one\n\n");
        CHECK ((! error) == isMarked);
    }
}

namespace
{

/** Accepts a connection and reads what comes after a pause, until it ends. */
auto readLate (tcp::acceptor& acceptor, Duration pause, std::size_t& received, boost::system::error_code& end)
    -> Task<void>
{
    auto [acceptError, socket] = co_await acceptor.async_accept (asTuple);
    BootTimer timer (socket.get_executor(), pause);
    co_await timer.async_wait (asTuple);
    std::array<char, 65536> bytes;

    while (! end)
    {
        const auto [error, count] = co_await socket.async_read_some (asio::buffer (bytes), asTuple);
        received += count;
        end = error;
    }
}

auto callWithTimeout (ConnectionPool& pool, tcp::endpoint endpoint, std::size_t bytes, Delivery delivery)
    -> Task<void>
{
    constexpr auto timeout = Duration (100ms);
    CallTimeouts timeouts { timeout, timeout, timeout };
    timeouts.end = BootClock::now() + timeout;
    co_await callOnce (pool, endpoint, makeRequest (http::verb::post, "/x", std::string (bytes, 'x')),
                       timeouts, 1000, delivery);
}

} // namespace

// Guards against duty calls that the kernel delivers after they have timed out and another node has taken the duties over.
TEST_CASE ("a call that is to be delivered by its deadline is not delivered after it")
{
    // More than the buffers of both ends take, so that the rest waits in the kernel of the sender.
    constexpr auto bytes = std::size_t { 32 } * 1024 * 1024;

    for (const auto delivery : { Delivery::mayBeLate, Delivery::byDeadline })
    {
        asio::io_context loop (1);
        tcp::acceptor acceptor (loop, tcp::endpoint (asio::ip::address_v4::loopback(), 0));
        ConnectionPool pool (loop.get_executor());
        std::size_t received = 0;
        boost::system::error_code end;
        asio::co_spawn (loop, readLate (acceptor, 300ms, received, end), asio::detached);
        asio::co_spawn (loop, callWithTimeout (pool, acceptor.local_endpoint(), bytes, delivery),
                        asio::detached);
        loop.run();
        CHECK ((end == asio::error::connection_reset) == (delivery == Delivery::byDeadline));
    }
}

// Guards against a frozen process whose kernel goes on delivering.
TEST_CASE (
    "the kernel gives up a call that is to be delivered by its deadline while the process does nothing")
{
    asio::io_context loop (1);
    tcp::acceptor acceptor (loop, tcp::endpoint (asio::ip::address_v4::loopback(), 0));
    tcp::socket sender (loop);
    sender.connect (acceptor.local_endpoint());
    auto receiver = acceptor.accept();
    CHECK (setDeliveryLimit (sender, 100ms));
    sender.non_blocking (true);
    const std::string part (65536, 'x');
    boost::system::error_code error;

    while (! error)
        sender.write_some (asio::buffer (part), error);

    CHECK (error == asio::error::would_block);
    std::this_thread::sleep_for (1500ms);
    sender.write_some (asio::buffer (part), error);
    CHECK (error == asio::error::timed_out);
}
