"""Client of the backend servers, and the choice of a server."""

import random
import unittest
from typing import Any

from mulberrywharf import errors, fleet
from mulberrywharf.backend_servers import client, directory
from tests import builders_engines as build


class ClientCase(build.ScriptedServerCase):
    def setUp(self) -> None:
        self.client = client.BackendClient()
        self.addCleanup(self.client.close)

    def send(self, address: Any, **changes: Any) -> Any:
        request = client.ServiceRequest(
            method="POST",
            path="/check-in",
            headers={"Connection": "x-hop", "x-hop": "1", "Te": "trailers"},
            body=b"{}",
            request_id=build.REQUEST_ID,
            idempotent=False,
            timeout_s=5.0,
        )
        return self.client.send(address, request._replace(**changes))


class ExchangeTest(ClientCase):
    def test_answer_is_passed_through(self) -> None:
        body = b"0123456789" * 10_000
        head = (
            b"set-cookie: a=1\r\nset-cookie: b=2\r\n"
            b"x-request-id: request-1\r\nkeep-alive: 5\r\n"
        )
        answer = build.plain_answer(body, headers=head)
        server = self.serve(lambda s, r: s.sendall(answer))
        received = self.send(server.address).unwrap()
        blocks = list(received.body())
        self.assertEqual(b"".join(blocks), body)
        self.assertLessEqual(max(len(block) for block in blocks), 64 * 1024)
        names = [name.lower() for name, _ in received.headers]
        self.assertEqual(names.count("set-cookie"), 2)
        self.assertNotIn("keep-alive", names)

    def test_only_end_to_end_fields_are_sent(self) -> None:
        server = self.serve(lambda s, r: s.sendall(build.plain_answer(b"")))
        list(self.send(server.address).unwrap().body())
        head = server.requests[0]
        self.assertEqual(build.header(head, b"x-request-id"), b"request-1")
        for name in (b"connection", b"x-hop", b"te"):
            self.assertEqual(build.header(head, name), b"")

    def test_failed_answers_have_an_unknown_outcome(self) -> None:
        other = b"x-request-id: other\r\n"
        unframed = b"HTTP/1.1 200 OK\r\n\r\npart"
        cases: dict[str, tuple[bytes, type[errors.EngineError]]] = {
            "no answer": (b"", errors.AnswerLostError),
            "answer with another ID": (
                build.plain_answer(b"x", headers=other),
                errors.ForeignAnswerError,
            ),
            "no length": (unframed, errors.AnswerLostError),
        }
        for name, (data, kind) in cases.items():
            with self.subTest(name):

                def script(s: Any, r: bytes, data: bytes = data) -> None:
                    s.sendall(data)
                    s.close()

                server = self.serve(script)
                error = self.send(server.address).unwrap_err()
                self.assertIsInstance(error, kind)
                self.assertEqual(error.outcome, "unknown")
                self.assertEqual(len(server.requests), 1)

    def test_failed_connect_has_the_outcome_not_run(self) -> None:
        error = self.send(build.closed_address()).unwrap_err()
        self.assertEqual(error.outcome, "not-run")

    def test_a_truncated_body_is_an_error(self) -> None:
        answer = build.plain_answer(b"x" * 100)[:-1]

        def script(sock: Any, request: bytes) -> None:
            sock.sendall(answer)
            sock.close()

        received = self.send(self.serve(script).address).unwrap()
        with self.assertRaises(errors.AnswerLostError):
            list(received.body())


class FreshConnectionTest(ClientCase):
    """Guards against unknown outcomes caused by closing idle connections.

    If a payment were sent on an idle connection that the server closes at the
    same time, its outcome would be ``unknown`` although nothing is down.
    """

    def test_only_idempotent_requests_use_idle_connections(self) -> None:
        answer = build.plain_answer(b"x")
        for idempotent, connection_count in ((True, 1), (False, 3)):
            with self.subTest(idempotent=idempotent):
                server = self.serve(lambda s, r: s.sendall(answer))
                for _ in range(3):
                    sent = self.send(server.address, idempotent=idempotent)
                    list(sent.unwrap().body())
                self.assertEqual(server.connection_count, connection_count)

    def test_an_unread_answer_closes_its_connection(self) -> None:
        answer = build.plain_answer(b"x" * 200_000)
        server = self.serve(lambda s, r: s.sendall(answer))
        for _ in range(2):
            self.send(server.address, idempotent=True).unwrap().close()
        self.assertEqual(server.connection_count, 2)


def _server(vm_id: str, zone: str = "nave-cartago", **fields: Any) -> Any:
    address = fleet.Address("127.0.0.1", 1)
    record = fleet.VmRecord(vm_id, "backend", zone, address, service="help")
    return record._replace(**fields)


class DirectoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.directory = directory.ServiceDirectory(
            "nave-cartago", random.Random(1)
        )

    def chosen_ids(self, count: int, now_s: float = 0.0) -> list[str]:
        return [
            self.directory.choose("help", now_s).unwrap().vm_id
            for _ in range(count)
        ]

    def test_round_robin_within_the_own_zone(self) -> None:
        self.directory.set_vms(
            [_server("a"), _server("b"), _server("c", "nave-heredia")]
        )
        self.assertEqual(sorted(self.chosen_ids(4)), ["a", "a", "b", "b"])

    def test_leaving_servers_get_no_new_work(self) -> None:
        self.directory.set_vms([_server("a"), _server("b", state="leaving")])
        self.assertEqual(set(self.chosen_ids(4)), {"a"})

    def test_a_failed_server_is_chosen_last_for_some_time(self) -> None:
        self.directory.set_vms([_server("a"), _server("c", "nave-heredia")])
        self.directory.record_failure("a", 0.0)
        self.assertEqual(self.chosen_ids(1, 1.0), ["c"])
        self.assertEqual(self.chosen_ids(1, 60.0), ["a"])
        self.directory.record_failure("c", 60.0)
        self.directory.record_failure("a", 60.0)
        self.assertEqual(self.chosen_ids(1, 61.0), ["a"])

    def test_no_server_left_and_unknown_service_are_errors(self) -> None:
        self.directory.set_vms([_server("a")])
        excluded = frozenset(["a"])
        none_left = self.directory.choose("help", 0.0, excluded).unwrap_err()
        self.assertIsInstance(none_left, errors.OverloadedError)
        unknown = self.directory.choose("nothing", 0.0).unwrap_err()
        self.assertIsInstance(unknown, errors.UnknownTargetError)


if __name__ == "__main__":
    unittest.main()
