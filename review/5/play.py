"""A config whose new route has the rank 10."""

import asyncio
import contextlib
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness2 as harness  # noqa: E402

GATEWAYS_COUNT = 3
CONFIG_APPLY_S = 2.0
CHANGE_AT_S = 4.0
END_AT_S = 20.0
PAUSE_S = 0.02
WORK_S = 0.02
LOWEST_RANK = 10
LOWEST_RANK_WITHOUT_TROUBLE = 9


async def answer(
    runner: harness.Runner,
    request: harness.HttpRequest,
    writer: asyncio.StreamWriter,
) -> None:
    """Answers after a short time."""
    await asyncio.sleep(WORK_S)
    fields = runner.answer_fields(request)
    writer.write(harness.encode_response(200, b"confirmed", fields))


class Judge:
    """Finds requests that are handled as only an older version allows."""

    def __init__(self, record: harness.Record):
        self.acked_s = float("inf")
        self.broken: dict[str, int] = {}
        self.late_count = 0
        self._record = record

    def note(
        self, route: str, sent_s: float, status: int, served_by: str
    ) -> None:
        """Notes an answer."""
        self._record.note(f"/{route}/ {status} by {served_by}", sent_s)
        if sent_s <= self.acked_s + CONFIG_APPLY_S:
            return
        self.late_count += 1
        fault = ""
        if route == "added" and status == 404:
            fault = "refused with 404 though the route is there"
        elif route == "dropped" and status == 200:
            fault = "run with a dropped route"
        elif route == "moved" and served_by.startswith("old"):
            fault = "run by the old service"
        if fault:
            self.broken[fault] = self.broken.get(fault, 0) + 1


async def ask(address: str, route: str, judge: Judge) -> None:
    """Sends one request of a route to one gateway."""
    fields = {
        "X-Mulberrywharf-Request-Id": harness.new_request_id(),
        "X-Mulberrywharf-Deadline-Ms": "1000",
    }
    sent_s = time.monotonic()
    with contextlib.suppress(OSError, TimeoutError):
        got = await harness.call(
            address, "GET", f"/{route}/1", fields, wait_s=1.5
        )
        signature = got.fields.get(
            harness.PREFIX + "response-signature", "none"
        )
        judge.note(route, sent_s, got.status, signature)


def first_version() -> dict[str, object]:
    """Returns the config of the start."""
    routes = [
        harness.route("moved", "old", "safe"),
        harness.route("dropped", "old", "safe"),
    ]
    services = [harness.plain_service("old"), harness.plain_service("new")]
    return harness.config(7, routes, services)


def second_version(lowest_rank: int) -> dict[str, object]:
    """Returns a config with a moved, a dropped and an added route."""
    routes = [
        harness.route("moved", "new", "safe"),
        harness.route("added", "new", "safe", priority=lowest_rank),
    ]
    services = [harness.plain_service("old"), harness.plain_service("new")]
    return harness.config(9, routes, services)


async def play(folder: pathlib.Path, record: harness.Record) -> int:
    """Plays the case; returns its exit code."""
    store = harness.Store()
    net = harness.net()
    for service in ("old", "new"):
        for index in range(2):
            runner_id = f"{service}-{index}"
            runner = harness.Runner(store, runner_id, service, answer)
            await runner.start()
    await store.put("op/config", first_version())
    gateways = []
    for index in range(GATEWAYS_COUNT):
        view = await store.add_view()
        gateways.append(harness.Gateway(index, view.address, folder, net))
    judge = Judge(record)
    asking: set[asyncio.Task[None]] = set()
    try:
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()
        began_s = time.monotonic()
        number = 0
        while time.monotonic() < began_s + END_AT_S:
            is_due = time.monotonic() >= began_s + CHANGE_AT_S
            if is_due and judge.acked_s == float("inf"):
                rank = LOWEST_RANK
                if not harness.has_trouble():
                    rank = LOWEST_RANK_WITHOUT_TROUBLE
                judge.acked_s = await store.put(
                    "op/config", second_version(rank)
                )
                record.note(f"version 9 acknowledged, lowest rank {rank}")
            gateway = gateways[number % GATEWAYS_COUNT]
            for route in ("moved", "dropped", "added"):
                task = asyncio.create_task(ask(gateway.callers, route, judge))
                asking.add(task)
                task.add_done_callback(asking.discard)
            number += 1
            await asyncio.sleep(PAUSE_S)
        await asyncio.gather(*asking)
    finally:
        for gateway in gateways:
            await gateway.kill()
    summary = (
        f"{judge.late_count} requests sent later than {CONFIG_APPLY_S:g} s "
        f"after the acknowledgement; handled as an older version: "
        f"{judge.broken or 'none'}"
    )
    record.note(summary)
    print(summary)
    return 1 if judge.broken else 0


harness.main(play, FOLDER)
