"""The admin listener: authorization, readiness, drain and audit trail."""

import json
import unittest

import gevent.event
from geventhttpclient import HTTPClient
from loguru import logger

from mulberrywharf.clock import SystemClock
from mulberrywharf.operators import audit
from mulberrywharf.operators.server import OperatorsServer
from mulberrywharf.operators.status import REPORT_ADAPTER
from tests import builders_operators as build

TIMEOUT_S = 10


def setUpModule():
    logger.disable("mulberrywharf")
    unittest.addModuleCleanup(logger.enable, "mulberrywharf")


class OperatorsServerTest(unittest.TestCase):
    def setUp(self):
        self.drained_count = 0
        self.drained = gevent.event.Event()
        self.audit = audit.AuditLog(SystemClock(), limit_count=3)
        self.server = OperatorsServer.from_config(
            build.operators_settings(),
            build.status,
            self._drain,
            audit=self.audit,
        )
        self.server.start()
        self.addCleanup(self.server.close)
        self.client = HTTPClient("127.0.0.1", self.server.port)
        self.addCleanup(self.client.close)

    def _drain(self):
        self.drained_count += 1
        self.drained.set()

    def send(self, method, path, token=None):
        headers = {}
        if token is not None:
            headers["authorization"] = f"Bearer {token}"
        response = self.client.request(method, path, headers=headers)
        return response.status_code, bytes(response.read())

    def test_status_codes_by_path_and_token(self):
        cases = [
            ("GET", "/healthz", None, 200),
            ("GET", "/readyz", None, 503),
            ("GET", "/metrics", None, 200),
            ("GET", "/status", None, 401),
            ("GET", "/status", "wrong", 401),
            ("GET", "/status", "", 401),
            ("GET", "/status", "0" * 64, 401),
            ("POST", "/drain", None, 401),
            ("POST", "/drain", "wrong", 401),
            ("POST", "/status", build.TOKEN, 404),
            ("GET", "/other", None, 404),
        ]
        for method, path, token, expected in cases:
            with self.subTest(method=method, path=path, token=token):
                status, body = self.send(method, path, token)
                self.assertEqual(status, expected)
                if status in (401, 404):
                    problem = json.loads(body)
                    self.assertIn("urn:mulberrywharf:", problem["type"])
                    self.assertTrue(problem["advice"])
        self.assertEqual(self.drained_count, 0)

    def test_status_shows_the_report_and_the_audit_trail(self):
        for version in range(5):
            self.audit.record(
                audit.ConfigurationActivated(version, "ana", f"c{version}")
            )
        status, body = self.send("GET", "/status", build.TOKEN)
        self.assertEqual(status, 200)
        report = REPORT_ADAPTER.validate_json(body)
        self.assertEqual(report["config_version"], 3)
        self.assertEqual(
            [line["subject"] for line in report["audit"]],
            ["version 2", "version 3", "version 4"],
        )

    def test_readyz_follows_set_ready(self):
        for ready, expected in ((True, 200), (False, 503)):
            self.server.set_ready(ready)
            self.assertEqual(self.send("GET", "/readyz")[0], expected)

    def test_drain_is_started_only_once(self):
        for _ in range(3):
            self.assertEqual(self.send("POST", "/drain", build.TOKEN)[0], 202)
        self.assertTrue(self.drained.wait(TIMEOUT_S))
        self.assertEqual(self.drained_count, 1)
        records = self.audit.latest_records()
        self.assertEqual([record["kind"] for record in records], ["drain"])
        self.assertIn("luis", records[0]["reason"])


class AuditLogTest(unittest.TestCase):
    def test_every_event_is_recorded(self):
        events = [
            audit.ConfigurationActivated(7, "ana", "c7"),
            audit.OrderChanged("e1", "o1", "set-role", "sent", 4, "rule x"),
            audit.RoleChanged("e1", "decode", "prefill"),
            audit.DrainStarted("e1", "rule x"),
            audit.LeaseAcquired("controllers/hall-a", 4),
            audit.LeaseLost("controllers/hall-a", 4, "lapsed"),
        ]
        log = audit.AuditLog(SystemClock())
        for event in events:
            log.record(event)
        self.assertEqual(
            [record["kind"] for record in log.latest_records()],
            [
                "configuration",
                "order",
                "role-change",
                "drain",
                "lease-taken",
                "lease-lost",
            ],
        )


if __name__ == "__main__":
    unittest.main()
