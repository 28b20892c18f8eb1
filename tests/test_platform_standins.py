"""The platform's stand-ins as programs: they announce, answer and end."""

import json
import signal
import subprocess
import sys
import unittest

from mulberrywharf.platform_service import http_calls
from tests import builders_platform as builders

PATH_BY_NAME = {
    "key_value": "/standin/log",
    "vm_list": "/vms",
    "weight_store": "/standin/log",
}


class ProgramsTest(unittest.TestCase):
    def test_announce_answer_and_end(self) -> None:
        for name, path in PATH_BY_NAME.items():
            with self.subTest(name):
                process = subprocess.Popen(
                    [sys.executable, "-m", f"standins.{name}", "--port", "0"],
                    stdout=subprocess.PIPE,
                    text=True,
                )
                self.addCleanup(process.kill)
                assert process.stdout is not None
                self.addCleanup(process.stdout.close)
                word, _, fields = process.stdout.readline().partition(" ")
                self.assertEqual(word, "READY")
                port = json.loads(fields)["port"]
                calls = http_calls.HttpCalls(builders.endpoint(port), 5.0)
                self.addCleanup(calls.close)
                self.assertEqual(calls.call("GET", path).unwrap().status, 200)
                process.send_signal(signal.SIGTERM)
                self.assertEqual(process.wait(builders.WAIT_LIMIT_S), 0)

    def test_faults_are_set_over_http(self) -> None:
        with builders.running_key_value() as service:
            calls = http_calls.HttpCalls(builders.endpoint(service.port), 1.0)
            self.addCleanup(calls.close)
            calls.call("POST", "/standin/faults", {"refuse_writes": True})
            lease = calls.call("POST", "/v3/lease/grant", {"TTL": "1"})
            self.assertEqual(lease.unwrap().status, 503)
            log = calls.call("GET", "/standin/log").unwrap().body
            self.assertEqual(log["calls_by_kind"], {"lease_grant": 1})


if __name__ == "__main__":
    unittest.main()
