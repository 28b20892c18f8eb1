"""The gateways that are fuzzed, and what must hold of them."""

import contextlib
import json
import pathlib
from typing import Any

import gevent
from gevent import socket
from result import Ok

from mulberrywharf import _exchange, fleet
from mulberrywharf.peers import directory
from mulberrywharf.peers import handover_fields as hop
from mulberrywharf.platform import documents
from tests import builders_addresses, builders_gateways, test_gateway

MEMORY_LIMIT_BYTES = 256_000_000
_NODES_PORT = 7661
_FOREIGN_KEY = documents.SERVERS_PREFIX + "fuzzed"
_ANSWER_TIMEOUT_S = 0.5
_TRIES_COUNT = 15
_TRY_PAUSE_S = 0.3
_WRITE_PAUSE_S = 0.05


class Target(test_gateway.GatewayCase):
    """Two gateways that know each other, with stand-ins behind them."""

    def setUp(self) -> None:
        """Starts the gateways and waits until they know each other."""
        super().setUp()
        self.servers = [self.plain, self.prefill, *self.decodes]
        self.net = builders_addresses.claim_net(self)
        self._routes_version = 1
        self.write_routes(self._routes_version)
        self.gateways = [
            self.start(
                f"entry-{number}",
                nodes_listen=f"{self.net}.{number}:{_NODES_PORT}",
                log_level="ERROR",
            )
            for number in (1, 2)
        ]
        self.wait_ready()
        self.assertTrue(builders_gateways.know_each_other(self.gateways))

    def send(self, data: bytes) -> None:
        """Sends bytes as a caller does, and reads what comes back for a while.

        The sending side stays open; a caller who ends it counts as gone.
        """
        with self.connection() as sock, contextlib.suppress(OSError):
            sock.settimeout(_ANSWER_TIMEOUT_S)
            sock.sendall(data)
            while sock.recv(65_536):
                pass

    def send_datagram(self, data: bytes) -> None:
        """Sends a datagram from the address of one gateway to the other."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind((f"{self.net}.1", 0))
            sock.sendto(data, (f"{self.net}.2", _NODES_PORT))

    def hand_over(self, service: str, body: bytes) -> None:
        """Hands a request over from one gateway to the other."""
        address = fleet.Address(f"{self.net}.2", _NODES_PORT)
        fields = {
            hop.TOKEN: self._token_of("entry-2"),
            hop.SENDER: "entry-1",
            hop.NUMBER: "1",
            hop.REQUEST_ID: "fuzzed",
            hop.SERVICE: service,
            hop.PROTOCOL: str(hop.PROTOCOL_VERSION),
        }
        exchange = _exchange.Exchange.open(address).unwrap()
        try:
            offered = exchange.offer(
                _exchange.Request("POST", hop.PATH, fields, body),
                _ANSWER_TIMEOUT_S,
            )
            if isinstance(offered, Ok) and offered.ok_value:
                exchange.send_body(body, _ANSWER_TIMEOUT_S)
                exchange.receive(_ANSWER_TIMEOUT_S)
        finally:
            exchange.close()

    def _token_of(self, vm_id: str) -> str:
        prefix = f"{directory.KEY_PREFIX}{vm_id}/".encode()
        keys = [key for key in self.store.store.records if prefix in key]
        return keys[-1].removeprefix(prefix).decode()

    def ask_beside(self, path: str, fields: dict[str, str]) -> None:
        """Sends a sound request while servers answer with other fields."""
        for server in self.servers:
            server.faults = {"fields": fields}
        prompt = test_gateway.PROMPT_FIELDS if "stream" in path else ""
        self.send(test_gateway.request(path, fields=prompt))
        for server in self.servers:
            server.faults = {}

    def put_record(self, value: bytes) -> None:
        """Writes the record of a server that there is not, for a moment."""
        self.store.put(_FOREIGN_KEY, value)
        gevent.sleep(_WRITE_PAUSE_S)
        self.store.delete(_FOREIGN_KEY)

    def put_routes(self, document: dict[str, Any]) -> None:
        """Writes routes, and a sound version of them a moment later."""
        document = {"version": self._routes_version + 1, **document}
        self.store.put(documents.ROUTES_KEY, json.dumps(document).encode())
        gevent.sleep(_WRITE_PAUSE_S)
        self._routes_version += 2
        self.write_routes(self._routes_version)

    def check(self) -> None:
        """Fails if a gateway is worse off than before an example."""
        for gateway in self.gateways:
            self.assertIsNone(gateway.poll(), gateway.errors()[-2000:])
            failures = builders_gateways.metric(
                gateway, "mulberry_task_failures_total"
            )
            self.assertEqual(failures, 0)
            statm = pathlib.Path(f"/proc/{gateway.pid}/statm").read_text()
            memory_bytes = int(statm.split()[1]) * 4096
            self.assertLess(memory_bytes, MEMORY_LIMIT_BYTES)
        self.assertTrue(self._is_served("/safe/x"))
        self.assertTrue(self._is_served("/stream/x"))

    def _is_served(self, path: str) -> bool:
        fields = test_gateway.PROMPT_FIELDS if "stream" in path else ""
        for _ in range(_TRIES_COUNT):
            if self.ask(path, fields=fields).status == 200:
                return True
            gevent.sleep(_TRY_PAUSE_S)
        return False
