"""A gateway is killed while it relays streams without a length."""

import asyncio
import pathlib
import signal
import sys
from typing import Any

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

ROUNDS_COUNT = 12
CLIENTS_COUNT = 10
"""Streams of a round; each of six machines of the sheet gets 9.4 a second."""

UNFRAMED_EVERY = (20, 0)
"""One of two servers sends each 20th answer without a length: `garble` with
`unframed` at its usual share of servers (.5) and its largest dose (.05)."""

EVENTS_COUNT = 12
PAUSE_S = 0.08
KILL_AFTER_S = 0.5
"""The streams last for 0.96 s."""

LAST_EVENT = b"id: %d\n" % EVENTS_COUNT


async def play(record: harness.Record, temporary: str, is_harmed: bool) -> int:
    """Opens streams in each round, and kills the gateway meanwhile."""
    store = harness.Store()
    servers = [
        harness.Server(
            store,
            record,
            f"i-{number}",
            "engines",
            slots=48,
            work_s=0.02,
            stream=harness.Stream(EVENTS_COUNT, PAUSE_S, every),
        )
        for number, every in enumerate(UNFRAMED_EVERY)
    ]
    routes = [
        harness.route_of(
            "tag",
            "streaming",
            "engines",
            **{
                "timeout-ms": 5000,
                "target-latency-ms": 400,
                "target-gap-ms": 200,
                "session-affinity": True,
                "resumable": True,
            },
        )
    ]
    broken_count = 0
    async with harness.running(store, *servers):
        store.put("op/config", harness.config_of(1, routes))
        settings = harness.settings_of("front-1", store)
        gateway = harness.Gateway("front-1", settings, temporary)
        async with harness.running(gateway):
            for number in range(ROUNDS_COUNT):
                streams = [
                    asyncio.create_task(
                        _stream(gateway, record, f"r{number}-{client}")
                    )
                    for client in range(CLIENTS_COUNT)
                ]
                await asyncio.sleep(KILL_AFTER_S)
                if is_harmed:
                    record.write("sigkill", gateway=gateway.name)
                    gateway.signal(signal.SIGKILL)
                broken_count += sum(await asyncio.gather(*streams))
                if is_harmed:
                    await gateway.wait(5.0)
                    await gateway.start()
    record.write("result", truncated_that_look_complete=broken_count)
    return harness.BROKEN if broken_count else harness.HELD


async def _stream(
    gateway: harness.Gateway, record: harness.Record, request_id: str
) -> bool:
    """Reads one stream; returns whether it looks complete and is not."""
    reader, writer = await asyncio.open_connection(*gateway.front)
    record.write("sent", request=request_id)
    fields: dict[str, Any] = {
        "X_Mulberrywharf_Model": "m",
        "X_Mulberrywharf_Token_Usage": "383,12",
        "X_Mulberrywharf_Prompt_Prefix": f"5c1e07a2:92,{request_id}:291",
    }
    writer.write(
        harness.request_bytes(request_id, "/tag/1", deadline_ms=5000, **fields)
    )
    try:
        answer = await asyncio.wait_for(harness.read_message(reader), 6.0)
    except harness.ChannelEndedError as error:
        record.write("broken off", request=request_id, error=error)
        return False
    finally:
        writer.close()
    events_count = answer.body.count(b"data: ")
    is_whole = LAST_EVENT in answer.body
    framing = "marked" if answer.is_whole else "ends with the channel"
    record.write(
        "ended without an error",
        request=request_id,
        status=answer.status,
        signature=answer.fields.get(
            "x-mulberrywharf-response-signature", "none"
        ),
        end=repr(framing),
        events=f"{events_count}/{EVENTS_COUNT}",
    )
    return answer.status == 200 and not is_whole


if __name__ == "__main__":
    sys.exit(harness.run(FOLDER, play))
