"""Clients send on idle channels while a gateway stops."""

import asyncio
import os
import pathlib
import random
import signal
import sys
import time
from typing import Any

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

SERVERS_COUNT = 3
SLOTS = 6
WORK_S = 0.0225
CLIENTS_COUNT = 9
ROUNDS_COUNT = 20
ROUND_S = 5.0
"""Each client sends twice in a round: 3.6 requests a second on the average.
Each of six machines of the sheet gets 3.3 plain requests a second, and 6.3 in a
burst of 1.9 times the usual."""

FIRST_SPREAD_S = 0.3
WAVE_AFTER_S = (2.59, 2.595, 2.6, 2.605, 2.615)
"""When the second requests of a round begin, from SIGTERM on, in turn. A client
does not know that the gateway stops before it gets an answer that says so."""

WAVE_SPREAD_S = 0.02


class Client:
    """A client that keeps a channel open for many requests."""

    def __init__(self, name: str, record: harness.Record):
        self.name = name
        self.lost: list[str] = []
        self.answered_count = 0
        self._record = record
        self._count = 0
        self._channel: Any = None

    async def connect(self, address: tuple[str, int]) -> None:
        """Opens a new channel."""
        self._channel = await asyncio.open_connection(*address)

    def close(self) -> None:
        """Closes the channel."""
        if self._channel is not None:
            self._channel[1].close()
            self._channel = None

    @property
    def is_open(self) -> bool:
        """Whether the channel can take a request, as far as a client knows."""
        if self._channel is None:
            return False
        reader, writer = self._channel
        return not (reader.at_eof() or writer.is_closing())

    async def send(self) -> None:
        """Sends one unsafe request on the open channel."""
        self._count += 1
        request_id = f"{self.name}-{self._count}"
        reader, writer = self._channel
        sent_s = time.monotonic()
        self._record.write("sent", request=request_id)
        writer.write(harness.request_bytes(request_id, "/pay/1"))
        try:
            answer = await asyncio.wait_for(harness.read_message(reader), 1.0)
        except (harness.ChannelEndedError, OSError) as error:
            self.close()
            took_s = round(time.monotonic() - sent_s, 4)
            self._record.write(
                "closed without an answer",
                request=request_id,
                took_s=took_s,
                error=error,
            )
            self.lost.append(request_id)
            return
        except TimeoutError:
            self.close()
            self._record.write("deadline", request=request_id)
            return
        self.answered_count += 1
        self._record.write("answered", request=request_id, status=answer.status)
        if answer.fields.get("connection", "").lower() == "close":
            self.close()


async def play(record: harness.Record, temporary: str, is_harmed: bool) -> int:
    """Stops the gateway in each round while a wave of requests comes."""
    store = harness.Store()
    servers = [
        harness.Server(
            store, record, f"i-{number}", "plain", slots=SLOTS, work_s=WORK_S
        )
        for number in range(SERVERS_COUNT)
    ]
    routes = [harness.route_of("pay", "unsafe", "plain")]
    clients = [Client(f"c{n}", record) for n in range(CLIENTS_COUNT)]
    async with harness.running(store, *servers):
        store.put("op/config", harness.config_of(1, routes))
        settings = harness.settings_of("front-1", store)
        gateway = harness.Gateway("front-1", settings, temporary)
        async with harness.running(gateway):
            for number in range(ROUNDS_COUNT):
                await _round(gateway, clients, record, number, is_harmed)
    return _judge(clients, servers, record)


async def _round(
    gateway: harness.Gateway,
    clients: list[Client],
    record: harness.Record,
    number: int,
    is_harmed: bool,
) -> None:
    """Plays one round: requests, a pause, SIGTERM, a wave, a new start."""
    ends_s = time.monotonic() + ROUND_S
    for client in clients:
        client.close()
        await client.connect(gateway.front)
    await _wave(clients, 0.0, FIRST_SPREAD_S)
    record.write("round", number=number, sigterm=is_harmed)
    if is_harmed:
        gateway.signal(signal.SIGTERM)
    earliest_s = WAVE_AFTER_S[number % len(WAVE_AFTER_S)]
    await _wave(clients, earliest_s, earliest_s + WAVE_SPREAD_S)
    if is_harmed:
        await gateway.wait(harness.GRACE_S)
        record.write("ended")
        await gateway.start()
    await asyncio.sleep(max(0.0, ends_s - time.monotonic()))


async def _wave(
    clients: list[Client], earliest_s: float, latest_s: float
) -> None:
    """Lets each client whose channel is open send one request."""

    async def later(client: Client) -> None:
        await asyncio.sleep(random.uniform(earliest_s, latest_s))
        if client.is_open:
            await client.send()

    await asyncio.gather(*map(later, clients))


def _judge(
    clients: list[Client],
    servers: list[harness.Server],
    record: harness.Record,
) -> int:
    """LOST: passed on to a server, and the channel ended without an answer."""
    ran = {request_id for server in servers for request_id, _ in server.runs}
    lost = [one for client in clients for one in client.lost if one in ran]
    unread = sum(len(client.lost) for client in clients) - len(lost)
    record.write(
        "result",
        answered=sum(client.answered_count for client in clients),
        closed_unread=unread,
        lost=len(lost),
    )
    return harness.BROKEN if lost else harness.HELD


if __name__ == "__main__":
    trouble = os.environ.get("TROUBLE", "1")
    sys.exit(harness.run(FOLDER, play, is_harmed=trouble != "0"))
