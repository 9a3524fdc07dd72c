"""Tests that a check of the platform's settings file ends with a verdict, whatever the file holds, on the real process.

By hand: SNOWRUDDER_SETTINGS_MUTATIONS=10000 SNOWRUDDER_SETTINGS_SEED=N. A mutation depends only on its seed and index.
"""
import concurrent.futures
import os
import pathlib
import random
import re
import subprocess
import tempfile
import unittest

from harness import BUILD, LONGEST_WAIT

SEED = int(os.environ.get("SNOWRUDDER_SETTINGS_SEED", "1"))
MUTATIONS = int(os.environ.get("SNOWRUDDER_SETTINGS_MUTATIONS", "100"))
AT_ONCE = 4

VALID = {
    "node_name": "front-0", "zone": "a", "zones.a": "front-0", "zones.b": "front-1", "bootstrap": "true", "ip": "127.0.0.1",
    "listen.front": "127.0.0.1:8080", "listen.readiness": "127.0.0.1:8081", "port_range": "9000,9010",
    "platform.address": "127.0.0.1:7000", "cloud.address": "127.0.0.1:7001", "cloud.duties": "metered,autoscale",
    "contracts": "rollout", "limits.memory_mb": "512", "bounds.lease_ms": "3000", "bounds.report_window_s": "1",
    "bounds.usage_late_s": "5", "bounds.revoke_ms": "2500", "bounds.config_apply_ms": "2000", "bounds.grace_s": "6",
    "bounds.retry_slack": "10", "bounds.retry_budget_ratio": "0.1", "bounds.exposure_share": "0.05", "bounds.quota_slack": "2",
    "bounds.quota_overshoot": "0.1", "bounds.quota_window_s": "4"}
VALID_TEXT = "".join(f"{name}={value}\n" for name, value in VALID.items()).encode()

VALUES = [
    b"", b"0", b"-0", b"-1", b"1", b"0.9999999", b"+1", b"1e9", b"1.0000001e9", b"1e308", b"1e309", b"-1e308", b"1e-400", b"5e-324",
    b"nan", b"-nan", b"nan(1)", b"inf", b"-inf", b"infinity", b"0x10", b"1e", b"1.", b".", b".5", b"1,5", b"1 2", b"9" * 400,
    b"18446744073709551616", b"9223372036854775807", b"-9223372036854775808", b"true", b"TRUE", b"null", b"=", b"==", b",", b",,,",
    b"metered", b",metered,", b"autoscale,", b"127.0.0.1", b":", b":80", b"127.0.0.1:", b"127.0.0.1:0", b"127.0.0.1:65535",
    b"127.0.0.1:65536", b"127.0.0.1:-1", b"127.0.0.1:99999999999999999999", b"127.0.0.1:8 0", b"256.0.0.1:80", b"1.2.3:80", b"::1:80",
    b"[::1]:80", b"::", b":::::::::", b"fe80::1%lo:80", b"fe80::1%" + b"x" * 300 + b":80", b"localhost:80", b"127.0.0.1\0:80",
    b"0,0", b"65536,65537", b"-1,2", b",9010", b"\0", b"\xff\xfe", b"\xc3\x28", b"\xe2\x80\xae", b"%s%n%s%n", b"{}", b"{0}", b"x" * 100000]
LINES = [b"", b"=", b"==", b"=x", b" = ", b"#", b"#=", b"\0", b"\0=\0", b"\xef\xbb\xbf", b"\r", b"\r\r", b"\v\f", b"no field",
         b"x" * 100000, b"x" * 100000 + b"=1", b"zones.=", b"zones.c=1", b"[section]", b"\xff=\xff"]


def without_line(choice, text):
    lines = text.split(b"\n")
    del lines[choice.randrange(len(lines))]
    return b"\n".join(lines)


def with_line(choice, text):
    lines = text.split(b"\n")
    lines.insert(choice.randrange(len(lines) + 1), choice.choice(LINES + lines))
    return b"\n".join(lines)


def with_value(choice, text):
    lines = text.split(b"\n")
    index = choice.randrange(len(lines))
    lines[index] = lines[index].partition(b"=")[0] + b"=" + choice.choice(VALUES)
    return b"\n".join(lines)


def with_changed_bytes(choice, text):
    changed = bytearray(text)
    for _ in range(choice.randint(1, 8) if changed else 0):
        changed[choice.randrange(len(changed))] = choice.randrange(256)
    return bytes(changed)


def with_flipped_bit(choice, text):
    changed = bytearray(text)
    if changed:
        changed[choice.randrange(len(changed))] ^= 1 << choice.randrange(8)
    return bytes(changed)


def with_more_bytes(choice, text):
    at = choice.randint(0, len(text))
    return text[:at] + choice.choice([choice.randbytes(choice.randint(1, 40)), *VALUES, *LINES]) + text[at:]


def without_bytes(choice, text):
    first, last = sorted((choice.randint(0, len(text)), choice.randint(0, len(text))))
    return text[:first] + text[last:] if choice.random() < 0.5 else text[:first]


def with_repeats(choice, text):
    return text * choice.choice([2, 3, 100])


def with_other_separators(choice, text):
    old, new = choice.choice([(b"\n", b"\r"), (b"\n", b"\r\n"), (b"\n", b"\0"), (b"=", b":"), (b"=", b"=="), (b"=", b" = "),
                              (b".", b""), (b"\n", b"\n\n"), (b"\n", b"")])
    return text.replace(old, new)


def mixed_up(choice, text):
    lines = text.split(b"\n")
    choice.shuffle(lines)
    return b"\n".join(lines)


def only_noise(choice, _text):
    return choice.randbytes(choice.choice([0, 1, 2, 100, 10000]))


CHANGES = [without_line, with_line, with_value, with_value, with_value, with_changed_bytes, with_flipped_bit, with_more_bytes,
           without_bytes, with_repeats, with_other_separators, mixed_up]


def mutation(seed, index):
    """@returns the settings file of an index: 1 to 4 changes of the valid one, seldom only noise."""
    choice = random.Random(f"{seed}/{index}")
    if choice.random() < 0.02:
        return only_noise(choice, b"")
    text = VALID_TEXT
    for _ in range(choice.randint(1, 4)):
        text = choice.choice(CHANGES)(choice, text)
        # Repeats of long values would only take time.
        text = text[:2_000_000]
    return text


def command(path):
    return [BUILD / "snowrudder-router", "--face", "platform", "--check-settings", "--settings", path]


class SettingsMutations(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory(prefix="snowrudder-mutations-")
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def verdict(self, path):
        """@returns the code of a check, and what is wrong with its end, if anything."""
        try:
            checked = subprocess.run(command(path), stdin=subprocess.DEVNULL, capture_output=True, timeout=LONGEST_WAIT, check=False)
        except subprocess.TimeoutExpired:
            return None, "hangs"
        if b"runtime error:" in checked.stderr or b"Sanitizer" in checked.stderr:
            return checked.returncode, f"a sanitizer's finding: {checked.stderr[:2000]!r}"
        if checked.returncode not in (0, 3):
            return checked.returncode, f"ends with {checked.returncode}: {checked.stderr[:2000]!r}"
        lines = checked.stderr.decode(errors="replace").splitlines()
        # FILE:LINE: FIELD: REASON after the program's name; either LINE or FIELD may be missing.
        named = re.compile("snowrudder-router: " + re.escape(str(path)) + r"(:[1-9]\d*: ([\w.]+: )?|: [\w.]+: )\S.*")
        if checked.returncode == 3 and not (lines and all(named.fullmatch(line) for line in lines)):
            return 3, f"doesn't say what is wrong: {checked.stderr[:2000]!r}"
        return checked.returncode, None

    def play(self, index):
        path = self.folder / f"{index}.conf"
        path.write_bytes(mutation(SEED, index))
        code, fault = self.verdict(path)
        path.unlink()
        return index, code, fault

    def test_no_mutation_of_a_settings_file_ends_its_check_other_than_by_a_verdict(self):
        path = self.folder / "valid.conf"
        path.write_bytes(VALID_TEXT)
        self.assertEqual(self.verdict(path), (0, None))
        with concurrent.futures.ThreadPoolExecutor(AT_ONCE) as pool:
            results = list(pool.map(self.play, range(MUTATIONS)))
        self.assertEqual([f"seed {SEED} index {index}: {fault}" for index, _, fault in results if fault], [])
        # Neither verdict is rare, or the mutations would test little.
        for code in (0, 3):
            self.assertGreater(sum(result[1] == code for result in results), MUTATIONS // 20)

    def test_files_that_are_no_files_are_refused(self):
        for path in (self.folder, self.folder / "missing.conf", pathlib.Path("/dev/null")):
            with self.subTest(path=path):
                checked = subprocess.run(command(path), stdin=subprocess.DEVNULL, capture_output=True, text=True, timeout=LONGEST_WAIT,
                                         check=False)
                self.assertEqual(checked.returncode, 3)
                self.assertIn(f"snowrudder-router: {path}: ", checked.stderr)


if __name__ == "__main__":
    unittest.main()
