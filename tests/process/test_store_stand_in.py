"""Tests that the stand-in of the platform's store accepts what its contract allows, and nothing else."""
import base64
import json
import socket
import time
import unittest
import urllib.parse

from harness import free_ports, request
from platform_deployment import FOREIGN_ENTRIES, Platform
from platform_stand_in import KEY_BYTES, TRANSACTION_ENTRIES, VALUE_BYTES, Store

# Seconds to read 6,000 entries in pages of one.
READ_TIME = 10.0


def text(data=b"value"):
    return base64.b64encode(data).decode()


def setting(key, value=text(), lease=0):
    return {"key": key, "value": value, "lease": lease}


class StoreStandIn(unittest.TestCase):
    def setUp(self):
        (self.port,) = free_ports(1)
        self.store = Store(self.port)
        self.addCleanup(self.close)

    def close(self):
        self.store.server.shutdown()
        self.store.server.server_close()

    def call(self, method, target, body=None):
        answer = request(self.port, method, "/snowrudder/" + target, None if body is None else json.dumps(body))
        return answer.status, answer.json()

    def commit(self, *puts, expected=(), removals=()):
        return self.call("POST", "kv-txn", {"expected_rev": list(expected), "set_keys": list(puts), "remove": list(removals)})

    def lease(self, milliseconds=1000):
        return self.call("POST", "kv-lease", {"ttl_ms": milliseconds})

    def keys(self, prefix, pages=0):
        """Returns the keys of a list, and the number of its pages."""
        found, after, more = [], "", True
        while more:
            target = f"kv-range?path_prefix={urllib.parse.quote(prefix)}" + (f"&after={urllib.parse.quote(after)}" if after else "")
            _, page = self.call("GET", target)
            found += [item["key"] for item in page["items"]]
            after, more, pages = found[-1] if found else "", page["more_pages"], pages + 1
        return found, pages

    def test_calls_within_the_contract_are_served_and_not_recorded(self):
        self.assertEqual(self.lease()[0], 200)
        status, granted = self.lease(600_000)
        self.assertEqual((status, granted["ttl_ms"]), (200, 600_000))
        status, done = self.commit(setting("k" * KEY_BYTES, text(b"x" * VALUE_BYTES), granted["lease"]),
                                   expected=[{"key": "k" * KEY_BYTES, "revision": 0}])
        self.assertEqual(status, 200)
        status, item = self.call("GET", "kv-key?key=" + "k" * KEY_BYTES)
        self.assertEqual((status, item["created"], item["revision"], item["lease"]),
                         (200, done["revision"], done["revision"], granted["lease"]))
        status, again = self.commit(setting("k" * KEY_BYTES))
        status, item = self.call("GET", "kv-key?stale_ok=1&key=" + "k" * KEY_BYTES)
        self.assertEqual((item["created"], item["revision"], item["lease"]), (done["revision"], again["revision"], 0))
        self.assertEqual(self.commit(expected=[{"key": "k" * KEY_BYTES, "revision": 1}])[0], 412)
        self.assertEqual(self.commit(*[setting(f"many/{number}") for number in range(TRANSACTION_ENTRIES)])[0], 200)
        self.assertEqual(self.call("GET", f"kv-watch?path_prefix=many/&after=0&wait_ms=30000")[0], 200)
        self.assertEqual(self.call("POST", f"kv-keep/{granted['lease']}")[0], 200)
        self.assertEqual(self.call("DELETE", f"kv-lease-end/{granted['lease']}")[0], 200)
        self.assertEqual(self.store.malformed, [])

    def test_leases_that_are_not_there_are_404_and_nothing_is_written(self):
        self.assertEqual(self.commit(setting("a", lease=7))[0], 404)
        self.assertEqual(self.call("POST", "kv-keep/7")[0], 404)
        self.assertEqual(self.call("DELETE", "kv-lease-end/7")[0], 404)
        self.assertEqual(self.call("GET", "kv-key?key=a")[0], 404)

    def test_an_items_creation_begins_anew_after_its_removal(self):
        self.commit(setting("a"))
        self.commit(removals=["a"])
        _, last = self.commit(setting("a"))
        self.assertEqual(self.call("GET", "kv-key?key=a")[1]["created"], last["revision"])

    def test_keys_of_the_operator_and_the_replicas_are_not_the_systems_to_write(self):
        self.store.put("servers/i-0", "entry")
        for puts, removals in (([setting("op/config")], []), ([setting("a"), setting("servers/i-0")], []), ([], ["servers/i-0"])):
            with self.subTest(puts=puts, removals=removals):
                self.store.malformed.clear()
                self.assertEqual(self.commit(*puts, removals=removals)[0], 403)
                self.assertEqual(len(self.store.malformed), 1)
        self.assertEqual(self.store.value("servers/i-0"), "entry")
        self.assertIsNone(self.store.value("a"))

    def test_calls_outside_the_contract_are_refused_and_recorded(self):
        whole = {"expected_rev": [], "set_keys": [], "remove": []}
        refused = [("GET", "kv-txn", None), ("POST", "kv-key?key=a", None), ("POST", "kv-lease-end/1001", None),
                   ("GET", "kv-keep/1001", None), ("GET", "kv-other", None), ("POST", "kv-keep", None), ("POST", "kv-keep/x", None),
                   ("GET", "kv-key", None), ("GET", "kv-key?key=", None), ("GET", "kv-key?key=" + "k" * (KEY_BYTES + 1), None),
                   ("GET", "kv-key?key=" + "%C3%A9" * 101, None), ("GET", "kv-key?key=%", None), ("GET", "kv-key?key=a&stale_ok=2", None),
                   ("GET", "kv-range", None), ("GET", "kv-watch?path_prefix=a&after=0", None), ("GET", "kv-key/1?key=a", None),
                   ("GET", "kv-watch?path_prefix=a&after=-1&wait_ms=10", None),
                   ("GET", "kv-watch?path_prefix=a&after=0&wait_ms=30001", None),
                   ("GET", "kv-watch?path_prefix=a&after=0&wait_ms=1.5", None), ("GET", "kv-key?key=a", {}),
                   ("POST", "kv-lease", None), ("POST", "kv-lease", {}), ("POST", "kv-lease", {"ttl_ms": 999}),
                   ("POST", "kv-lease", {"ttl_ms": 600_001}), ("POST", "kv-lease", {"ttl_ms": 3000.5}),
                   ("POST", "kv-lease", {"ttl_ms": "3000"}), ("POST", "kv-lease", {"ttl_ms": True}),
                   ("POST", "kv-txn", []), ("POST", "kv-txn", {}), ("POST", "kv-txn", {**whole, "more": []}),
                   ("POST", "kv-txn", {**whole, "remove": "a"}), ("POST", "kv-txn", {**whole, "remove": [1]}),
                   ("POST", "kv-txn", {**whole, "remove": ["k" * (KEY_BYTES + 1)]}),
                   ("POST", "kv-txn", {**whole, "expected_rev": [{"key": "a"}]}),
                   ("POST", "kv-txn", {**whole, "expected_rev": [{"key": "a", "revision": "1"}]}),
                   ("POST", "kv-txn", {**whole, "set_keys": [{"key": "a", "value": text()}]}),
                   ("POST", "kv-txn", {**whole, "set_keys": [setting("a", lease=-1)]}),
                   ("POST", "kv-txn", {**whole, "set_keys": [setting("a", "YQ")]}),
                   ("POST", "kv-txn", {**whole, "set_keys": [setting("a", "Y Q=")]}),
                   ("POST", "kv-txn", {**whole, "set_keys": [setting("a", "__8=")]}),
                   ("POST", "kv-txn", {**whole, "set_keys": [setting("k" * (KEY_BYTES + 1))]}),
                   ("POST", "kv-txn", {**whole, "set_keys": [setting("a", text(b"x" * (VALUE_BYTES + 1)))]}),
                   ("POST", "kv-txn", {**whole, "set_keys": [setting("a")] * 20, "remove": ["b"] * 13})]
        for method, target, body in refused:
            with self.subTest(method=method, target=target, body=str(body)[:100]):
                self.store.malformed.clear()
                self.assertEqual(self.call(method, target, body)[0], 400)
                self.assertEqual(len(self.store.malformed), 1)
        self.assertEqual(self.store.items, {})

    def test_a_list_of_any_pages_has_each_key_once_in_the_order_of_bytes(self):
        self.store.page_items = 3
        keys = ["b/" + key for key in ("%", "a", "é", "z", "\uffff", "😀", "a/b", "\n", "~")]
        for key in (*keys, "a/x", "b", "c/x"):
            self.store.put(key, "entry")
        self.assertEqual(self.keys("b/"), (sorted(keys, key=str.encode), 3))
        self.store.remove("b/z")
        self.store.remove("b/none")
        keys.remove("b/z")
        self.assertEqual(self.keys("b/"), (sorted(keys, key=str.encode), 3))
        self.store.page_items, self.store.page_bytes = 500, 1
        self.assertEqual(self.keys("b/"), (sorted(keys, key=str.encode), len(keys)))

    def test_thousands_of_pages_are_read_in_some_seconds(self):
        self.store.page_items = 1
        for number in range(6000):
            self.store.put(f"servers/{number:04}", "entry")
        began = time.monotonic()
        found, pages = self.keys("servers/")
        self.assertEqual((len(found), pages), (6000, 6000))
        self.assertLess(time.monotonic() - began, READ_TIME)

    def test_a_malformed_call_fails_the_test_in_which_it_was_made(self):
        with self.assertRaisesRegex(AssertionError, "1 malformed calls to the store.*kv-other"):
            with Platform(nodes=0) as platform:
                self.assertEqual(request(platform.store_port, "GET", "/snowrudder/kv-other").status, 400)

    def test_a_call_whose_caller_ends_in_the_middle_of_it_is_not_malformed(self):
        with Platform(nodes=0) as platform:
            with socket.create_connection(("127.0.0.1", platform.store_port), 5) as caller:
                caller.sendall(b"POST /snowrudder/kv-txn HTTP/1.1\r\nContent-Length: 60\r\n\r\n{")
                caller.shutdown(socket.SHUT_WR)
                self.assertEqual(caller.recv(100), b"")

    def test_the_store_holds_entries_of_others_and_gives_lists_in_several_pages_by_default(self):
        with Platform(nodes=0) as platform:
            self.assertTrue(all(platform.store.value(f"servers/{key}") is not None for key in FOREIGN_ENTRIES))
            page = request(platform.store_port, "GET", "/snowrudder/kv-range?path_prefix=servers/").json()
            self.assertTrue(page["more_pages"])


if __name__ == "__main__":
    unittest.main()
