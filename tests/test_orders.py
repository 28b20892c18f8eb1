"""Tests of send_order: the result for each way in which it can end."""

import socket
import threading
import time
import unittest

from result import Ok

from mulberrywharf import errors, fleet
from mulberrywharf.engines import orders

_ORDER = orders.Order("order-1", 7, "set-role", role="prefill")
_TIMEOUT_S = 0.3


class _FakeEngine:
    """Accepts one connection, reads a request and sends a given answer."""

    def __init__(self, answer: bytes | None):
        self._answer = answer
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = fleet.Address(*self._listener.getsockname())
        self.received = b""
        self.was_reset = False
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self) -> None:
        connection, _ = self._listener.accept()
        connection.settimeout(5)
        try:
            self.received = connection.recv(65_536)
            if self._answer:
                connection.sendall(self._answer)
            while connection.recv(65_536):
                pass
        except ConnectionResetError:
            self.was_reset = True
        finally:
            connection.close()

    def close(self) -> None:
        self._thread.join(5)
        self._listener.close()


def _answer(status: str, body: str) -> bytes:
    return (
        f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


def _send(
    address: fleet.Address, before_send=lambda: None
) -> orders.OrderResult:
    return orders.send_order(
        address, _ORDER, user_timeout_s=_TIMEOUT_S, before_send=before_send
    )


class SendOrderTest(unittest.TestCase):
    def test_each_unsuccessful_answer_maps_to_its_error(self):
        cases = (
            (
                _answer("409 Conflict", '{"type":"stale-fencing-number"}'),
                errors.StaleFencingNumberError,
            ),
            (
                _answer("409 Conflict", '{"type":"busy"}'),
                errors.EngineBusyError,
            ),
            (
                _answer("400 Bad Request", '{"type":"bad-order"}'),
                errors.OrderRefusedError,
            ),
            (
                _answer("500 Broken", "not json"),
                errors.OrderOutcomeUnknownError,
            ),
            (b"HTTP/1.1 20", errors.OrderOutcomeUnknownError),
            (None, errors.OrderOutcomeUnknownError),
        )
        for answer, expected in cases:
            with self.subTest(expected=expected.__name__):
                engine = _FakeEngine(answer)
                result = _send(engine.address)
                self.assertIs(type(result.err_value), expected)
                engine.close()

    def test_an_accepted_order_carries_the_fencing_number(self):
        engine = _FakeEngine(_answer("202 Accepted", '{"state":"changing"}'))
        result = _send(engine.address)
        self.assertEqual(
            result, Ok(orders.OrderAccepted("order-1", "changing"))
        )
        self.assertIn(b'"fencing_number": 7', engine.received)
        engine.close()

    def test_refused_connection_means_that_no_byte_was_sent(self):
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))
            address = fleet.Address(*closed.getsockname())
        result = _send(address)
        self.assertIsInstance(result.err_value, errors.EngineUnreachableError)

    def test_authority_lost_while_connecting_stops_the_order(self):
        """Guards against orders that are sent after the authority was lost.

        The lease may expire while connecting, so checking it only before the
        connect is too early.
        """

        def before_send() -> None:
            raise errors.AuthorityLostError("lapsed")

        engine = _FakeEngine(None)
        result = _send(engine.address, before_send)
        self.assertIsInstance(result.err_value, errors.AuthorityLostError)
        engine.close()
        self.assertEqual(engine.received, b"")

    def test_giving_up_resets_the_connection(self):
        """Guards against delivery of an order after the sender gave it up.

        If a partition drops the order and heals after the sender has closed the
        connection, the kernel would still send its buffered bytes. SO_LINGER
        with timeout 0 makes the close a reset that discards them.
        """
        engine = _FakeEngine(None)
        started_s = time.monotonic()
        _send(engine.address)
        engine.close()
        self.assertTrue(engine.was_reset)
        self.assertLess(time.monotonic() - started_s, 5.0)

    def test_retransmission_of_an_order_is_limited(self):
        seen = []

        class Probe(orders._OrderConnection):
            def after_connect(self, sock):
                super().after_connect(sock)
                tcp = socket.IPPROTO_TCP
                seen.append(sock.getsockopt(tcp, socket.TCP_USER_TIMEOUT))
                seen.append(sock.getsockopt(tcp, socket.TCP_NODELAY))

        engine = _FakeEngine(None)
        probe = Probe(
            engine.address, user_timeout_s=0.25, before_send=lambda: None
        )
        probe.get_socket().close()
        engine.close()
        self.assertEqual(seen, [250, 1])


if __name__ == "__main__":
    unittest.main()
