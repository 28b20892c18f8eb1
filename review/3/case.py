"""Clients send long streams on kept channels late in a gateway's stop."""

import asyncio
import os
import pathlib
import signal
import sys
import time
from typing import Any

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

SERVERS_COUNT = 2
ROUNDS_COUNT = 5
CLIENTS_COUNT = 4
STREAM = harness.Stream(events_count=35, pause_s=0.15)
STREAM_S = STREAM.events_count * STREAM.pause_s
DEADLINE_MS = 8000
FIRST_ENDS_AFTER_S = 3.05
"""When the first streams end, from SIGTERM on."""

SECOND_AFTER_S = (3.15, 3.2, 3.25, 3.3)
"""When each client sends its second stream on the same channel."""

EXCUSED_AFTER_S = 3.0
"""Requests that were sent no later than this after SIGTERM may be cut."""


class Clock:
    """When SIGTERM was sent in the present round."""

    def __init__(self) -> None:
        self.sigterm_s = float("inf")

    def after_s(self) -> float:
        """Returns the time since SIGTERM."""
        return time.monotonic() - self.sigterm_s


class Client:
    """A client that sends two streams on one channel."""

    def __init__(self, name: str, record: harness.Record, clock: Clock):
        self.name = name
        self.cut: list[str] = []
        self._record = record
        self._clock = clock
        self._channel: Any = None

    async def play(self, address: tuple[str, int], second_s: float) -> None:
        """Sends the first stream now and the second at a time of the stop."""
        self._channel = await asyncio.open_connection(*address)
        answer = await self._stream(f"{self.name}-a")
        if answer is None or _says_close(answer):
            self._channel[1].close()
            return
        await asyncio.sleep(max(0.0, second_s - self._clock.after_s()))
        if not self._channel[0].at_eof():
            await self._stream(f"{self.name}-b")
        else:
            self._record.write("channel closed while idle", client=self.name)
        self._channel[1].close()

    async def _stream(self, request_id: str) -> harness.Message | None:
        reader, writer = self._channel
        after_s = self._clock.after_s()
        self._record.write(
            "sent", request=request_id, after_sigterm_s=round(after_s, 3)
        )
        fields = {
            "X_Mulberrywharf_Model": "m",
            "X_Mulberrywharf_Token_Usage": "826,35",
            "X_Mulberrywharf_Prompt_Prefix": f"5c1e07a2:198,{request_id}:628",
        }
        writer.write(
            harness.request_bytes(
                request_id, "/chat/1", deadline_ms=DEADLINE_MS, **fields
            )
        )
        try:
            answer = await asyncio.wait_for(
                harness.read_message(reader), DEADLINE_MS / 1000
            )
        except harness.ChannelEndedError as error:
            self._record.write(
                "cut",
                request=request_id,
                after_sigterm_s=round(self._clock.after_s(), 3),
                error=error,
            )
            if after_s > EXCUSED_AFTER_S:
                self.cut.append(request_id)
            return None
        except TimeoutError:
            self._record.write("deadline", request=request_id)
            return None
        self._record.write(
            "answered",
            request=request_id,
            status=answer.status,
            events=answer.body.count(b"data: "),
            after_sigterm_s=round(self._clock.after_s(), 3),
        )
        return answer


def _says_close(answer: harness.Message) -> bool:
    return answer.fields.get("connection", "").lower() == "close"


async def play(record: harness.Record, temporary: str, is_harmed: bool) -> int:
    """Stops the gateway in each round as the platform does."""
    store = harness.Store()
    servers = [
        harness.Server(
            store,
            record,
            f"i-{number}",
            "engines",
            slots=48,
            work_s=0.02,
            stream=STREAM,
        )
        for number in range(SERVERS_COUNT)
    ]
    route = harness.route_of(
        "chat",
        "streaming",
        "engines",
        **{
            "timeout-ms": DEADLINE_MS,
            "target-latency-ms": 300,
            "target-gap-ms": 250,
            "session-affinity": True,
            "resumable": True,
        },
    )
    clock = Clock()
    clients: list[Client] = []
    async with harness.running(store, *servers):
        store.put("op/config", harness.config_of(1, [route]))
        settings = harness.settings_of("front-1", store)
        gateway = harness.Gateway("front-1", settings, temporary)
        async with harness.running(gateway):
            for number in range(ROUNDS_COUNT):
                names = [f"r{number}c{n}" for n in range(CLIENTS_COUNT)]
                present = [Client(name, record, clock) for name in names]
                clients += present
                await _round(gateway, present, clock, record, is_harmed)
    ran = {request_id for server in servers for request_id, _ in server.runs}
    lost = [one for client in clients for one in client.cut if one in ran]
    record.write("result", cut_though_sent_late_in_the_stop=len(lost))
    return harness.BROKEN if lost else harness.HELD


async def _round(
    gateway: harness.Gateway,
    clients: list[Client],
    clock: Clock,
    record: harness.Record,
    is_harmed: bool,
) -> None:
    clock.sigterm_s = time.monotonic() + STREAM_S - FIRST_ENDS_AFTER_S
    plays = [
        asyncio.create_task(client.play(gateway.front, second_s))
        for client, second_s in zip(clients, SECOND_AFTER_S, strict=True)
    ]
    await asyncio.sleep(clock.sigterm_s - time.monotonic())
    if is_harmed:
        record.write("sigterm", gateway=gateway.name)
        clock.sigterm_s = time.monotonic()
        gateway.signal(signal.SIGTERM)
        await gateway.wait(harness.GRACE_S)
        record.write("ended", after_sigterm_s=round(clock.after_s(), 3))
        await gateway.start()
    await asyncio.gather(*plays)


if __name__ == "__main__":
    trouble = os.environ.get("TROUBLE", "1")
    sys.exit(harness.run(FOLDER, play, is_harmed=trouble != "0"))
