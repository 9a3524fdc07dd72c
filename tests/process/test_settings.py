"""Tests of editing the settings tree through the administration API, with real processes."""
import concurrent.futures
import json
import os
import subprocess
import unittest

from harness import BUILD, Deployment, bearer, chat_body, request, usual_tree, wait_until


class SettingsTest(unittest.TestCase):
    def deployment(self, **settings):
        deployment = Deployment(**{"routers": 4, "engines": 1, "services": 1, **settings})
        deployment.__enter__()
        self.addCleanup(deployment.__exit__)
        deployment.start_admin()
        return deployment

    def ask(self, deployment, method, path, body=None, key="key-ops", **headers):
        return request(deployment.admin, method, path, body, bearer(key, **headers))

    def revision(self, deployment):
        return self.ask(deployment, "GET", "/v1/settings").json()["revision"]

    def put(self, deployment, path, value, revision=None, key="key-ops", **headers):
        known = self.revision(deployment) if revision is None else revision
        return self.ask(deployment, "PUT", f"/v1/settings/{path}", json.dumps(value), key, If_Match=str(known), **headers)

    def held(self, deployment):
        return [deployment.metric(name, "snowrudder_settings_revision") for name in deployment.routers]

    def ctl(self, deployment, *arguments, key="key-ops"):
        environment = {**os.environ, "SNOWRUDDER_KEY": key, "SNOWRUDDER_ADMIN": f"127.0.0.1:{deployment.admin}"}
        return subprocess.run([BUILD / "snowrudderctl", *arguments], env=environment, capture_output=True, text=True, timeout=30)

    def test_an_accepted_edit_is_in_force_everywhere(self):
        deployment = self.deployment()
        answer = self.put(deployment, "accounts/narrow/policy/services", ["plain", "models"])
        self.assertEqual((answer.status, answer.json()["accepted"]), (200, True))
        revision = answer.json()["revision"]
        wait_until(lambda: self.held(deployment) == [revision] * 4, "in force everywhere")
        for port in deployment.routers.values():
            self.assertEqual(request(port, "POST", "/v1/chat/completions", chat_body(), bearer("key-narrow")).status, 200)

    def test_two_operators_racing_one_wins_and_the_other_sees_why(self):
        deployment = self.deployment()
        known = self.revision(deployment)
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            answers = list(pool.map(lambda weight: self.put(deployment, "accounts/alpha/policy/weight", weight, known), range(1, 9)))
        self.assertEqual(sorted(answer.status for answer in answers), [200] + [409] * 7)
        winner = next(answer for answer in answers if answer.status == 200).json()["revision"]
        loser = next(answer for answer in answers if answer.status == 409).json()
        self.assertEqual((loser["kind"], loser["ran"], loser["revision"]), ("edit_conflict", "no", winner))
        late = self.put(deployment, "accounts/alpha/policy/weight", 99, known).json()
        self.assertEqual([change["path"] for change in late["changes"]], ["accounts/alpha/policy"])

    def test_the_same_edit_asked_again_is_stored_once(self):
        deployment = self.deployment()
        known = self.revision(deployment)
        first = self.put(deployment, "accounts/alpha/policy/weight", 7, known, Snowrudder_Edit_Id="edit-1")
        again = self.put(deployment, "accounts/alpha/policy/weight", 7, known, Snowrudder_Edit_Id="edit-1")
        self.assertEqual(first.json()["revision"], again.json()["revision"])
        self.put(deployment, "accounts/alpha/policy/weight", 8)
        later = self.put(deployment, "accounts/alpha/policy/weight", 7, known, Snowrudder_Edit_Id="edit-1")
        self.assertEqual((later.status, later.json()["revision"]), (200, first.json()["revision"]))
        value = self.ask(deployment, "GET", "/v1/settings/accounts/alpha/policy/weight").json()["value"]
        self.assertEqual(value, 8)

    def test_lost_answers_are_read_back(self):
        deployment = self.deployment()
        known = self.revision(deployment)
        deployment.fault(deployment.platform, lose_answers=True)
        answer = self.put(deployment, "accounts/alpha/policy/weight", 5, known, Snowrudder_Edit_Id="lost-1")
        self.assertIn(answer.json().get("kind", "stored"), ("edit_unknown", "stored"))
        deployment.fault(deployment.platform, lose_answers=False)
        answer = self.put(deployment, "accounts/alpha/policy/weight", 5, known, Snowrudder_Edit_Id="lost-1")
        self.assertEqual((answer.status, answer.json()["accepted"]), (200, True))
        revisions = self.ask(deployment, "GET", "/v1/settings/history").json()["revisions"]
        self.assertEqual(len(revisions), 2)

    def test_an_edit_accepted_right_before_an_outage_reaches_every_router(self):
        deployment = self.deployment(routers=6)
        # This router is down during the edit and starts during the outage of the key-value service.
        late = "router-6"
        deployment.processes[late].kill()
        deployment.processes[late].wait()
        answer = self.put(deployment, "accounts/alpha/policy/weight", 3)
        self.assertEqual((answer.status, answer.json()["accepted"]), (200, True))
        deployment.fault(deployment.platform, key_value_down=True)
        deployment.processes["admin"].kill()
        deployment.start_router(late)
        wait_until(lambda: deployment.answers(deployment.routers[late]), "started")
        wait_until(lambda: set(self.held(deployment)) == {answer.json()["revision"]}, "in force everywhere")

    def test_what_is_not_valid_is_not_stored(self):
        deployment = self.deployment()
        known = self.revision(deployment)
        answer = self.put(deployment, "accounts/alpha/policy/weight", "heavy", known)
        self.assertEqual((answer.status, answer.json()["kind"]), (422, "settings_invalid"))
        self.assertIn("accounts.alpha.policy.weight", answer.json()["errors"][0])
        unknown = self.put(deployment, "accounts/alpha/policy/services", ["nowhere"], known)
        self.assertEqual(unknown.status, 422)
        self.assertEqual(self.put(deployment, "edit/id", "x", known).status, 422)
        missing = self.ask(deployment, "DELETE", "/v1/settings/accounts/nobody", If_Match=str(known))
        self.assertEqual(missing.status, 422)
        self.assertEqual(self.revision(deployment), known)

    def test_an_edit_that_would_open_or_empty_the_tree_changes_nothing(self):
        deployment = self.deployment(routers=1)
        known = self.revision(deployment)
        for path, value in (("accounts", []), ("accounts", "alpha"), ("accounts", None), ("accounts/alpha/keys", "key"),
                            ("accounts/alpha/keys", [{"sha256": 7}]), ("accounts/beta/keys", usual_tree()["accounts"]["alpha"]["keys"]),
                            ("services", []), ("services/plain/kind", "NEITHER"), ("policy/services", "models")):
            with self.subTest(path=path, value=value):
                answer = self.put(deployment, path, value, known)
                self.assertEqual((answer.status, answer.json()["kind"]), (422, "settings_invalid"))
                self.assertIn(path.split("/")[0], answer.json()["errors"][0])
        self.assertEqual(self.revision(deployment), known)
        answer = request(deployment.router, "POST", "/v1/chat/completions", chat_body(), bearer("key-alpha"))
        self.assertEqual(answer.status, 200)

    def test_a_tree_without_accounts_opens_nothing(self):
        without = usual_tree()
        without["accounts"] = {}
        deployment = self.deployment(routers=1, tree=without)
        for headers in (bearer("key-alpha"), bearer("unknown"), {}):
            answer = request(deployment.router, "POST", "/v1/chat/completions", chat_body(), headers)
            self.assertEqual(answer.status, 401)
            self.assertEqual(request(deployment.router, "POST", "/services/plain/again", "x", headers).status, 401)

    def test_operators_have_roles(self):
        deployment = self.deployment()
        self.assertEqual(self.ask(deployment, "GET", "/v1/settings", key="key-alpha").status, 401)
        self.assertEqual(self.ask(deployment, "GET", "/v1/settings", key="key-viewer").status, 200)
        self.assertEqual(self.put(deployment, "accounts/alpha/policy/weight", 3, key="key-viewer").status, 403)
        no_revision = self.ask(deployment, "PUT", "/v1/settings/accounts/alpha/policy/weight", "3")
        self.assertEqual((no_revision.status, no_revision.json()["kind"]), (400, "invalid_request"))

    def test_strangers_give_no_tree(self):
        deployment = self.deployment()
        self.assertEqual(request(deployment.router, "POST", "/internal/tree", "x").status, 401)
        self.assertEqual(request(deployment.router, "POST", "/internal/status", "x").status, 401)

    def test_the_command_line(self):
        deployment = self.deployment()
        self.assertIn("accepted", self.ctl(deployment, "set", "accounts/alpha/policy/weight", "12").stdout)
        explained = self.ctl(deployment, "explain", "alpha").stdout
        self.assertRegex(explained, r"weight\s+12\s+from accounts/alpha/policy")
        self.assertRegex(explained, r"services\s+\S+\s+from policy")
        self.assertIn('"weight": 12', self.ctl(deployment, "get", "accounts/alpha/policy").stdout)
        first = self.ctl(deployment, "history").stdout.splitlines()[-1].split()[1]
        self.assertEqual(self.ctl(deployment, "undo", first).returncode, 0)
        self.assertEqual(self.ctl(deployment, "get", "accounts/alpha/policy/weight").returncode, 1)
        status = self.ctl(deployment, "status").stdout
        self.assertEqual(status.count("ready"), 4)
        self.assertTrue(json.loads(self.ctl(deployment, "status", "--json").stdout)["platform_reached"])
        wrong = self.ctl(deployment, "set", "accounts/alpha/policy/weight", "0")
        self.assertEqual(wrong.returncode, 1)
        self.assertIn("accounts.alpha.policy.weight", wrong.stderr)
        self.assertEqual(self.ctl(deployment, "frobnicate").returncode, 2)
        self.assertEqual(self.ctl(deployment, "set", "accounts/alpha/policy/weight", "3", "--edit-id", "x").returncode, 2)
        refused = self.ctl(deployment, "set", "accounts/alpha/policy/weight", "3", key="key-viewer")
        self.assertIn("forbidden", refused.stderr)


if __name__ == "__main__":
    unittest.main()
