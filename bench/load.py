"""Load on real routers: open and closed, each answer checked whole.

In the open form a call's latency counts from when it was due, not from when
a free client sent it, so that waiting is never hidden.
"""

import json
import math
import time
from collections.abc import Sequence
from typing import NamedTuple

import gevent
import gevent.pool
from geventhttpclient import HTTPClient
from hdrh.histogram import HdrHistogram

from bench import workload
from mulberrywharf import fleet
from standins import engine_tokens

_HIGHEST_US = 120_000_000
_DIGITS = 3
_CLIENT_CONCURRENCY = 512
_CALL_TIMEOUT_S = 60.0
_IN_FLIGHT_LIMIT_COUNT = 2000


class Targets(NamedTuple):
    """What an answer must meet to count as goodput.

    Attributes:
        first_token_ms: From when the call was due.
        between_tokens_ms: Mean gap of the answer's tokens.
    """

    first_token_ms: float = 1300.0
    between_tokens_ms: float = 28.0


class CallOutcome(NamedTuple):
    """How one call ended.

    Attributes:
        call: The call.
        status: HTTP status, or 0 when the exchange broke.
        code: Error code of a refusal, ``broken`` for a cut, else empty.
        whole: The answer equals what the model must say.
        first_token_ms: From when it was due; 0 without a token.
        between_tokens_ms: Mean gap between its tokens.
        total_ms: From when it was due to its end.
    """

    call: workload.Call
    status: int
    code: str
    whole: bool
    first_token_ms: float
    between_tokens_ms: float
    total_ms: float


class Summary(NamedTuple):
    """What a run of load amounts to.

    Attributes:
        call_count: Calls made.
        whole_count: Whole answers.
        good_count: Whole answers inside both targets.
        wrong_count: Status 200 and a checked end, but not the right text.
        refused_count: Typed refusals.
        broken_count: Answers that ended without a checked end.
        goodput_share: Good answers in all calls.
        first_token_p50_ms: Median time to first token of whole answers.
        first_token_p95_ms: 95th percentile.
        between_tokens_p95_ms: 95th percentile of mean gaps.
    """

    call_count: int
    whole_count: int
    good_count: int
    wrong_count: int
    refused_count: int
    broken_count: int
    goodput_share: float
    first_token_p50_ms: float
    first_token_p95_ms: float
    between_tokens_p95_ms: float


class SecondCounts(NamedTuple):
    """Counts for each second of a run, from its start.

    Attributes:
        calls: Calls that fell due in it.
        good: Those of them that became good answers.
    """

    calls: list[int]
    good: list[int]


class LoadClient:
    """Sends calls to routers in turn and checks every answer."""

    def __init__(
        self,
        routers: Sequence[fleet.Address],
        key_by_customer: dict[str, str],
        model: str,
    ):
        self._clients = [_client(address) for address in routers]
        self._key_by_customer = key_by_customer
        self._model = model
        self._turn = 0
        self._left_out: set[int] = set()

    def close(self) -> None:
        """Closes all connections."""
        for client in self._clients:
            client.close()

    def leave_out(self, index: int) -> None:
        """Sends no new call to a router, as a balancer would."""
        self._left_out.add(index)

    def run_open(self, calls: Sequence[workload.Call]) -> list[CallOutcome]:
        """Makes each call when it is due; returns all outcomes."""
        pool = gevent.pool.Pool(_IN_FLIGHT_LIMIT_COUNT)
        start_s = time.monotonic()
        tasks = []
        for call in calls:
            gevent.sleep(max(0.0, start_s + call.at_s - time.monotonic()))
            tasks.append(pool.spawn(self._one, call, start_s + call.at_s))
        gevent.joinall(tasks)
        return [task.get() for task in tasks]

    def run_closed(
        self, calls: Sequence[workload.Call], client_count: int
    ) -> list[CallOutcome]:
        """Keeps ``client_count`` calls in flight until all are made."""
        pool = gevent.pool.Pool(client_count)
        return pool.map(lambda call: self._one(call, time.monotonic()), calls)

    def _one(self, call: workload.Call, due_s: float) -> CallOutcome:
        client = self._next_client()
        try:
            with gevent.Timeout(_CALL_TIMEOUT_S):
                return self._exchange(client, call, due_s)
        except (OSError, ValueError, gevent.Timeout):
            total_ms = (time.monotonic() - due_s) * 1000
            return CallOutcome(call, 0, "broken", False, 0.0, 0.0, total_ms)

    def _next_client(self) -> HTTPClient:
        while True:
            self._turn += 1
            index = self._turn % len(self._clients)
            if index not in self._left_out:
                return self._clients[index]

    def _exchange(
        self, client: HTTPClient, call: workload.Call, due_s: float
    ) -> CallOutcome:
        body = {
            "model": self._model,
            "prompt": call.prompt,
            "max_tokens": call.max_tokens,
            "stream": True,
        }
        headers = {"authorization": f"Bearer {self._key(call.customer)}"}
        response = client.post("/v1/completions", json.dumps(body), headers)
        if response.status_code != 200:
            problem = json.loads(response.read() or b"{}")
            code = str(problem.get("type", "")).rpartition(":")[2]
            total_ms = (time.monotonic() - due_s) * 1000
            return CallOutcome(
                call, response.status_code, code, False, 0.0, 0.0, total_ms
            )
        return self._read_stream(response, call, due_s)

    def _read_stream(
        self, response: object, call: workload.Call, due_s: float
    ) -> CallOutcome:
        text = ""
        first_s = last_s = 0.0
        token_count = 0
        ended = False
        while event := response.readline(b"\n\n"):  # type: ignore[attr-defined]
            data = event[len(b"data: ") :].strip()
            if data == b"[DONE]":
                ended = True
                break
            piece = json.loads(data)
            if "error" in piece:
                break
            last_s = time.monotonic()
            first_s = first_s or last_s
            token_count += 1
            text += piece["choices"][0]["text"]
        if not ended:
            response.release()  # type: ignore[attr-defined]
        else:
            response.read()  # type: ignore[attr-defined]
        wanted = engine_tokens.answer_text(
            self._model, call.prompt, call.max_tokens
        )
        gaps_count = max(1, token_count - 1)
        return CallOutcome(
            call,
            200,
            "" if ended else "broken",
            ended and text == wanted,
            (first_s - due_s) * 1000 if first_s else 0.0,
            (last_s - first_s) * 1000 / gaps_count,
            (time.monotonic() - due_s) * 1000,
        )

    def _key(self, customer: str) -> str:
        return self._key_by_customer[customer]


def summarize(outcomes: Sequence[CallOutcome], targets: Targets) -> Summary:
    """Counts outcomes and reads the percentiles of whole answers."""
    first = HdrHistogram(1, _HIGHEST_US, _DIGITS)
    gaps = HdrHistogram(1, _HIGHEST_US, _DIGITS)
    whole = [outcome for outcome in outcomes if outcome.whole]
    for outcome in whole:
        first.record_value(max(1, int(outcome.first_token_ms * 1000)))
        gaps.record_value(max(1, int(outcome.between_tokens_ms * 1000)))
    good_count = sum(1 for outcome in whole if is_good(outcome, targets))
    return Summary(
        call_count=len(outcomes),
        whole_count=len(whole),
        good_count=good_count,
        wrong_count=sum(
            1
            for o in outcomes
            if o.status == 200 and not o.code and not o.whole
        ),
        refused_count=sum(1 for o in outcomes if o.status >= 400),
        broken_count=sum(1 for o in outcomes if o.code == "broken"),
        goodput_share=good_count / max(1, len(outcomes)),
        first_token_p50_ms=first.get_value_at_percentile(50) / 1000,
        first_token_p95_ms=first.get_value_at_percentile(95) / 1000,
        between_tokens_p95_ms=gaps.get_value_at_percentile(95) / 1000,
    )


def by_second(
    outcomes: Sequence[CallOutcome], targets: Targets, duration_s: float
) -> SecondCounts:
    """Counts calls and good answers by the second in which each fell due.

    Args:
        outcomes: Of one run.
        targets: What a good answer meets.
        duration_s: Length of the run; sets the length of the lists.
    """
    due_s = [outcome.call.at_s for outcome in outcomes]
    good_s = [o.call.at_s for o in outcomes if is_good(o, targets)]
    return SecondCounts(
        count_by_second(due_s, duration_s), count_by_second(good_s, duration_s)
    )


def count_by_second(
    instants_s: Sequence[float], duration_s: float
) -> list[int]:
    """Counts instants in buckets of a second; later ones are left out."""
    counts = [0] * math.ceil(duration_s)
    for instant_s in instants_s:
        if 0 <= instant_s < len(counts):
            counts[int(instant_s)] += 1
    return counts


def is_good(outcome: CallOutcome, targets: Targets) -> bool:
    """Returns whether an answer is whole and inside both targets."""
    return (
        outcome.whole
        and outcome.first_token_ms <= targets.first_token_ms
        and outcome.between_tokens_ms <= targets.between_tokens_ms
    )


def _client(address: fleet.Address) -> HTTPClient:
    return HTTPClient(
        address.ip,
        address.port,
        concurrency=_CLIENT_CONCURRENCY,
        network_timeout=_CALL_TIMEOUT_S,
    )
