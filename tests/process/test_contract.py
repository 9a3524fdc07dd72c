"""The HTTP interface for callers, with real processes: answers, and errors for invalid input."""
import http.client
import json
import unittest

from harness import (Deployment, MODEL, Stream, bearer, chat_body, raw, request, text_of, uuid7, wait_until)


class ContractTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.deployment = Deployment(router={"limits": {"header_bytes": 4096, "body_bytes": 65536},
                                            "timeouts": {"header_milliseconds": 1500, "body_milliseconds": 1500,
                                                         "first_byte_milliseconds": 1500, "idle_milliseconds": 1500,
                                                         "resume_milliseconds": 500}})
        cls.deployment.__enter__()

    @classmethod
    def tearDownClass(cls):
        cls.deployment.__exit__()

    def setUp(self):
        self.port = self.deployment.router
        self.ports = list(self.deployment.routers.values())

    def tearDown(self):
        self.assertTrue(self.deployment.all_alive(), "a process ended")

    def chat(self, body, port=None, **headers):
        return request(port or self.port, "POST", "/v1/chat/completions", body, bearer(**headers))

    def assert_problem(self, answer, status, kind, ran="no"):
        self.assertEqual((answer.status, answer.json()["kind"], answer.json()["ran"]), (status, kind, ran))
        self.assertEqual(answer.headers["content-type"], "application/problem+json")

    # Valid requests

    def test_whole_chat_answer_has_the_openai_shape(self):
        answer = self.chat(chat_body())
        self.assertEqual(answer.status, 200)
        body = answer.json()
        self.assertEqual(body["object"], "chat.completion")
        self.assertEqual(body["model"], MODEL)
        self.assertEqual(body["choices"][0]["message"]["role"], "assistant")
        self.assertEqual(len(body["choices"][0]["message"]["content"].split()), 8)
        self.assertEqual(body["usage"]["completion_tokens"], 8)
        self.assertEqual(body["usage"]["total_tokens"], body["usage"]["prompt_tokens"] + 8)
        self.assertIn(answer.headers["snowrudder-request-id"], body["id"])

    def test_streamed_answer_is_the_whole_one_in_pieces(self):
        whole = self.chat(chat_body()).json()["choices"][0]["message"]["content"]
        stream = Stream(self.port, "POST", "/v1/chat/completions", chat_body(stream=True), bearer())
        events = list(stream.events())
        self.assertEqual(text_of(iter(events)), (whole, True))
        self.assertEqual([number for number, _ in events[:-1]], list(range(1, len(events))))
        chunks = [json.loads(data) for _, data in events[:-1]]
        self.assertEqual({chunk["object"] for chunk in chunks}, {"chat.completion.chunk"})
        self.assertEqual(len({chunk["id"] for chunk in chunks}), 1)
        self.assertNotIn("usage", chunks[-1])

    def test_usage_comes_where_asked_for(self):
        body = chat_body(stream=True, stream_options={"include_usage": True})
        events = list(Stream(self.port, "POST", "/v1/chat/completions", body, bearer()).events())
        last = json.loads(events[-2][1])
        self.assertEqual(last["choices"], [])
        self.assertEqual(last["usage"]["completion_tokens"], 8)

    def test_models_are_those_of_the_account(self):
        models = request(self.port, "GET", "/v1/models", headers=bearer()).json()
        self.assertEqual([model["id"] for model in models["data"]], [MODEL])
        self.assertEqual(request(self.port, "GET", "/v1/models", headers=bearer("key-narrow")).json()["data"], [])

    def test_probes_and_metrics(self):
        self.assertEqual(request(self.port, "GET", "/livez").status, 200)
        self.assertEqual(request(self.port, "GET", "/readyz").status, 200)
        self.chat(chat_body())
        self.assertIn(b"snowrudder_first_token_seconds_count", request(self.port, "GET", "/metrics").body)

    def test_each_decision_has_a_log_line_without_prompt_or_key(self):
        answer = self.chat(chat_body("a secret prompt"))
        log = self.deployment.log("router-1")
        lines = [line for line in log.splitlines() if answer.headers["snowrudder-request-id"] in line]
        self.assertEqual(len(lines), 1)
        for field in ("account=alpha", "service=models", "vm=vm-engine-", "failure_domain=domain-", "scores=", "reason="):
            self.assertIn(field, lines[0])
        self.assertNotIn("secret prompt", log)
        self.assertNotIn("key-alpha", log)

    # Resuming

    def test_stream_resumes_at_any_router_without_gap_or_repeat(self):
        whole = self.chat(chat_body("resume me", max_tokens=200)).json()["choices"][0]["message"]["content"]
        stream = Stream(self.port, "POST", "/v1/chat/completions", chat_body("resume me", True, 200), bearer())
        events = stream.events()
        first = [next(events) for _ in range(5)]
        stream.close()
        head = "".join(json.loads(data)["choices"][0]["delta"]["content"] for _, data in first)
        for port in self.ports:
            resumed = Stream(port, "GET", f"/v1/requests/{stream.id}", None,
                             bearer(Last_Event_ID=str(first[-1][0])))
            rest = list(resumed.events())
            self.assertEqual(rest[0][0], 6)
            tail, done = text_of(iter(rest))
            self.assertEqual((head + tail, done), (whole, True))

    def test_finished_answer_is_kept(self):
        answer = self.chat(chat_body())
        again = request(self.ports[1], "GET", "/v1/requests/" + answer.headers["snowrudder-request-id"], headers=bearer())
        self.assertEqual((again.status, again.body), (200, answer.body))

    def test_another_account_finds_nothing(self):
        answer = self.chat(chat_body())
        path = "/v1/requests/" + answer.headers["snowrudder-request-id"]
        for port in self.ports:
            self.assert_problem(request(port, "GET", path, headers=bearer("key-beta")), 404, "unknown_request", "unknown")

    def test_unknown_request_identifiers(self):
        for name in ("x", "router-2." + uuid7(), "router-1." + uuid7(), "nobody." + uuid7(), "..", "%00"):
            self.assert_problem(request(self.port, "GET", "/v1/requests/" + name, headers=bearer()), 404,
                                "unknown_request", "unknown")

    def test_stream_that_nobody_resumes_is_cancelled_at_the_engine(self):
        before = sum(self.deployment.stats(port)["cancelled"] for port in self.deployment.engines.values())
        self.deployment.fault(list(self.deployment.engines.values())[0], stall=True)
        self.deployment.fault(list(self.deployment.engines.values())[1], stall=True)
        try:
            connection = http.client.HTTPConnection("127.0.0.1", self.port)
            connection.request("POST", "/v1/chat/completions", json.dumps(chat_body("left alone", True, 400)), bearer())
            wait_until(lambda: sum(self.deployment.stats(port)["open"] for port in self.deployment.engines.values()) > 0,
                       "the engine has the request")
            connection.close()
            wait_until(lambda: sum(self.deployment.stats(port)["cancelled"]
                                   for port in self.deployment.engines.values()) > before, "cancelled at the engine")
        finally:
            for port in self.deployment.engines.values():
                self.deployment.fault(port, stall=False)

    # Idempotency keys

    def test_a_keyed_call_runs_once_and_answers_alike(self):
        key, call = uuid7(), uuid7()
        answers = [request(self.port, "POST", "/services/plain/once", "x", bearer(Idempotency_Key=key, Call_Key=call))
                   for _ in range(3)]
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertEqual(len({answer.body for answer in answers}), 1)
        self.assertEqual(self.deployment.runs(call), 1)

    def test_a_key_is_not_taken_for_another_request(self):
        key = uuid7()
        request(self.port, "POST", "/services/plain/once", "x", bearer(Idempotency_Key=key))
        other = request(self.port, "POST", "/services/plain/once", "y", bearer(Idempotency_Key=key))
        self.assert_problem(other, 409, "key_conflict")
        beta = request(self.port, "POST", "/services/plain/once", "y", bearer("key-beta", Idempotency_Key=key))
        self.assertEqual(beta.status, 200)

    def test_keys_must_be_uuids_of_version_7(self):
        for key in ("1", "01a236aa-846a-4eae-8a4a-2bdabcca12cf", "z" * 36, uuid7() + "0"):
            for path, body in (("/services/plain/once", "x"), ("/v1/chat/completions", json.dumps(chat_body()))):
                self.assert_problem(request(self.port, "POST", path, body, bearer(Idempotency_Key=key)), 400,
                                    "invalid_request")

    # Plain services

    def test_plain_calls_are_relayed_as_they_are(self):
        headers = bearer(X_Custom="one, two", Connection="X-Hop", X_Hop="dropped", Snowrudder_Repeatable="no")
        answer = request(self.port, "POST", "/services/plain/a/b?c=%20d&e", "body", headers)
        body = answer.json()
        self.assertEqual((body["method"], body["target"]), ("POST", "/a/b?c=%20d&e"))
        self.assertIn("snowrudder-request-id", answer.headers)
        binary = bytes(range(256)) * 40
        self.assertEqual(request(self.port, "PUT", "/services/plain/echo", binary, bearer()).body, binary)
        for method in ("PUT", "DELETE", "PATCH", "OPTIONS"):
            self.assertEqual(request(self.port, method, "/services/plain/x", headers=bearer()).json()["method"], method)

    def test_small_plain_answers_are_kept(self):
        answer = request(self.port, "GET", "/services/plain/kept", headers=bearer())
        path = "/v1/requests/" + answer.headers["snowrudder-request-id"]
        for port in self.ports:
            again = request(port, "GET", path, headers=bearer())
            self.assertEqual((again.status, again.body), (200, answer.body))
        self.assert_problem(request(self.port, "GET", path, headers=bearer("key-beta")), 404, "unknown_request", "unknown")

    def test_statuses_and_sizes_are_relayed(self):
        for status in (201, 204, 304, 404, 418, 500):
            self.assertEqual(request(self.port, "GET", f"/services/plain/status/{status}", headers=bearer()).status, status)
        for size in (0, 1, 100_000, 3_000_000):
            self.assertEqual(len(request(self.port, "GET", f"/services/plain/bytes/{size}", headers=bearer()).body), size)
        head = request(self.port, "HEAD", "/services/plain/bytes/1234", headers=bearer())
        self.assertEqual((head.status, head.headers["content-length"], head.body), (200, "1234", b""))

    def test_a_refused_call_goes_to_another_replica(self):
        ports = list(self.deployment.services.values())
        self.deployment.fault(ports[0], refuse=True)
        try:
            for index in range(6):
                call = uuid7()
                answer = request(self.port, "POST", "/services/plain/once", "x", bearer(Call_Key=call))
                if answer.status != 200:
                    # The retry budget may be exhausted: the refusal is then returned, and the call must not have run.
                    self.assert_problem(answer, 503, "upstream_refused")
                self.assertEqual(self.deployment.runs(call), 1 if answer.status == 200 else 0)
        finally:
            self.deployment.fault(ports[0], refuse=False)

    def test_a_once_only_call_whose_answer_is_lost_is_not_repeated(self):
        ports = list(self.deployment.services.values())
        for port in ports:
            self.deployment.fault(port, lose_answers=True)
        try:
            call = uuid7()
            answer = request(self.port, "POST", "/services/plain/once", "x", bearer(Call_Key=call))
            self.assert_problem(answer, 502, "upstream_failed", "unknown")
            self.assertEqual(self.deployment.runs(call), 1)
            tightened = uuid7()
            request(self.port, "POST", "/services/plain/again", "x", bearer(Call_Key=tightened, Snowrudder_Repeatable="no"))
            self.assertEqual(self.deployment.runs(tightened), 1)
        finally:
            for port in ports:
                self.deployment.fault(port, lose_answers=False)

    # Authentication, authorization and rate limits

    def test_keys_and_rights(self):
        for headers in ({}, bearer("nope"), {"Authorization": "Basic a2V5"}, {"Authorization": "Bearer "}):
            self.assert_problem(request(self.port, "GET", "/v1/models", headers=headers), 401, "unauthorized")
        self.assert_problem(self.chat(chat_body(), key="key-narrow"), 403, "forbidden")
        self.assert_problem(request(self.port, "GET", "/services/none/x", headers=bearer()), 404, "not_found")
        self.assert_problem(request(self.port, "GET", "/services/models/x", headers=bearer()), 404, "not_found")

    def test_rates_of_an_account(self):
        answers = [request(self.port, "GET", "/services/plain/x", headers=bearer("key-slow")) for _ in range(4)]
        limited = [answer for answer in answers if answer.status == 429]
        self.assertTrue(limited)
        self.assert_problem(limited[0], 429, "rate_limited")
        self.assertGreaterEqual(int(limited[0].headers["retry-after"]), 1)

    # Invalid input

    def test_bad_chat_bodies(self):
        message = [{"role": "user", "content": "x"}]
        bad = ["", "{", "[]", "null", "17", '{"model":', json.dumps({"messages": message}),
               json.dumps({"model": 3, "messages": message}), json.dumps({"model": MODEL}),
               json.dumps({"model": MODEL, "messages": []}), json.dumps({"model": MODEL, "messages": ["x"]}),
               json.dumps({"model": MODEL, "messages": message, "stream": "yes"}),
               json.dumps({"model": MODEL, "messages": message, "max_tokens": -1}),
               json.dumps({"model": MODEL, "messages": message, "max_tokens": 0.5}),
               json.dumps({"model": MODEL, "messages": message, "stream_options": 1}),
               '{"model":"' + MODEL + '","messages":' + "[" * 2000 + "]" * 2000 + "}"]
        for body in bad:
            with self.subTest(body[:60]):
                self.assert_problem(self.chat(body), 400, "invalid_request")
        self.assert_problem(self.chat({"model": MODEL, "messages": message, "n": 2}), 400, "unsupported")
        self.assert_problem(self.chat({"model": "other", "messages": message}), 404, "unknown_model")

    def test_wrong_paths_and_methods(self):
        self.assert_problem(request(self.port, "GET", "/v1/chat/completions", headers=bearer()), 405, "method_not_allowed")
        self.assert_problem(request(self.port, "POST", "/v1/models", headers=bearer()), 405, "method_not_allowed")
        self.assert_problem(request(self.port, "GET", "/else", headers=bearer()), 404, "not_found")

    def test_last_event_id_must_be_a_number(self):
        answer = self.chat(chat_body())
        path = "/v1/requests/" + answer.headers["snowrudder-request-id"]
        for value in ("x", "-1", "1.5", "99999999999999999999999"):
            self.assert_problem(request(self.port, "GET", path, headers=bearer(Last_Event_ID=value)), 400, "invalid_request")

    def test_oversized_headers_and_bodies(self):
        self.assert_problem(request(self.port, "GET", "/v1/models", headers=bearer(X_Big="a" * 8000)), 431, "header_too_large")
        self.assert_problem(self.chat("x" * 100_000), 413, "body_too_large")

    def first_line(self, data):
        return raw(self.port, data).split(b"\r\n")[0]

    def test_malformed_http(self):
        for data in (b"nonsense\r\n\r\n", b"GET\r\n\r\n", b"GET / HTTP/9.9\r\n\r\n", b"GET / HTTP/1.1\r\nbad header\r\n\r\n",
                     b"GET / HTTP/1.1\r\nA\x00B: x\r\n\r\n", b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + b"\r\n\r\n"):
            with self.subTest(data[:30]):
                self.assertTrue(self.first_line(data).startswith(b"HTTP/1.1 400"), self.first_line(data))

    def test_truncated_requests_get_a_time_out(self):
        self.assertTrue(self.first_line(b"GET /livez HTT").startswith(b"HTTP/1.1 408"))
        self.assertTrue(self.first_line(b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 50\r\n\r\n{").startswith(
            b"HTTP/1.1 408"))

    def test_smuggling_is_refused(self):
        head = b"POST /services/plain/smuggle HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-alpha\r\n"
        tries = (b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                 b"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
                 b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcd",
                 b"Content-Length: 4, 5\r\n\r\nabcd", b"Content-Length: +4\r\n\r\nabcd", b"Content-Length: 0x4\r\n\r\nabcd",
                 b"Transfer-Encoding: chunked\r\n\r\nZ\r\nabc\r\n0\r\n\r\n",
                 b"Transfer-Encoding: chunked\r\n\r\n-1\r\nabc\r\n0\r\n\r\n",
                 b"Transfer-Encoding: chunked\r\n\r\n10000000000000000\r\nabc\r\n0\r\n\r\n",
                 b"Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n")
        for rest in tries:
            with self.subTest(rest[:50]):
                answer = raw(self.port, head + rest + b"GET /services/plain/stolen HTTP/1.1\r\nHost: x\r\n\r\n")
                self.assertTrue(answer.startswith(b"HTTP/1.1 400"), answer[:80])
                self.assertEqual(answer.count(b"HTTP/1.1 "), 1, answer)

    def test_chunked_bodies_and_pipelined_requests(self):
        head = b"POST /services/plain/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-alpha\r\n"
        first = head + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        second = head + b"Connection: close\r\nContent-Length: 3\r\n\r\nxyz"
        answer = raw(self.port, first + second)
        self.assertEqual(answer.count(b"HTTP/1.1 200"), 2, answer)
        self.assertLess(answer.index(b'"echo":"abcde"'), answer.index(b'"echo":"xyz"'))

    # Failing upstreams

    def with_engine_fault(self, fault, check):
        for port in self.deployment.engines.values():
            self.deployment.fault(port, **{fault: True})
        try:
            check()
        finally:
            for port in self.deployment.engines.values():
                self.deployment.fault(port, **{fault: False})
            wait_until(lambda: self.chat(chat_body("recovered")).status == 200, "serves again")

    def test_engine_that_answers_nonsense(self):
        self.with_engine_fault("nonsense", lambda: self.assert_problem(self.chat(chat_body("n")), 502, "upstream_invalid", "unknown"))

    def test_engine_that_stalls(self):
        self.with_engine_fault("stall", lambda: self.assert_problem(self.chat(chat_body("s")), 504, "upstream_timeout", "unknown"))

    def test_engine_that_cuts_off(self):
        self.with_engine_fault("cut", lambda: self.assert_problem(self.chat(chat_body("c")), 502, "upstream_failed", "unknown"))

    def test_engine_that_refuses(self):
        self.with_engine_fault("refuse", lambda: self.assert_problem(self.chat(chat_body("r")), 503, "upstream_refused"))

    def test_slow_reader_does_not_stop_others(self):
        slow = Stream(self.port, "POST", "/v1/chat/completions", chat_body("slow reader", True, 400), bearer())
        for _ in range(5):
            self.assertEqual(self.chat(chat_body()).status, 200)
        text, done = text_of(slow.events())
        self.assertTrue(done)
        self.assertGreater(len(text.split()), 8)


if __name__ == "__main__":
    unittest.main()
