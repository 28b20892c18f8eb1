"""The callers of a seed, and what each of them got.

A caller goes to the other router where its connection breaks, with the same
idempotency key; a call without a key that must not run twice is never sent
again. Each try has a request id of its own, so that what one try was told
can be held against what that try ran.
"""

import json
import random
from typing import Any, NamedTuple

import gevent
from geventhttpclient.response import HTTPParseError

from bench import _request_fleet
from proofs import histories
from tests import cluster

_ANSWER_BOUND_S = 20.0
_TRIES_COUNT = 6
_DEADLINE_MS = 2500
_THINK_S = 0.3
_PRESS_OFFSET_S = 1.5
_TRICKLE_S = 0.15
_NON_IDEMPOTENT_PATHS = ("/check-in", "/payment")


class Finding(NamedTuple):
    """Something that must not be, whoever found it.

    Attributes:
        kind: Which promise.
        subject: Request, key or VM.
        detail: What was seen.
    """

    kind: str
    subject: str
    detail: str


class Book:
    """What the callers of one seed asked and got.

    Attributes:
        records: Each try, as the audit checker reads it.
        findings: What the callers themselves saw that must not be.
        operations_count: Things that callers wanted.
    """

    def __init__(self, fleet: _request_fleet.Fleet, seed: int):
        self.records: list[histories.CallerRecord] = []
        self.findings: list[Finding] = []
        self.operations_count = 0
        self._fleet = fleet
        self._seed = seed
        self._next_number = 0

    def call_on(self, caller_number: int, operations_count: int) -> None:
        """Does what one caller wants, one thing after the other."""
        chance = random.Random(f"caller {caller_number} of {self._seed}")
        for _ in range(operations_count):
            gevent.sleep(chance.uniform(0.0, _THINK_S))
            operation = chance.choice(_OPERATIONS)
            self.operations_count += 1
            operation(self, chance)

    def trickle(self, until: gevent.event.Event) -> None:
        """Makes small calls until told to end."""
        chance = random.Random(f"trickle of {self._seed}")
        while not until.is_set():
            self.operations_count += 1
            if chance.random() < 0.5:
                self._echo(chance)
            else:
                self._press_without_key(chance)
            gevent.sleep(chance.uniform(0.0, _TRICKLE_S))

    # --- operations --------------------------------------------------------

    def _complete(self, chance: random.Random) -> None:
        is_chat = chance.random() < 0.4
        is_stream = chance.random() < 0.7
        asked = _Completion(
            f"verdict {self._seed} {chance.randrange(1 << 30)}",
            chance.randrange(3, 90),
            is_chat,
            is_stream,
        )
        self._until_final(
            chance, lambda index: self._try_completion(index, asked, chance)
        )

    def _echo(self, chance: random.Random) -> None:
        call = _Call("/echo", f"hello {chance.randrange(1 << 30)}", "", "")
        call = call._replace(customer=chance.choice(_request_fleet.CUSTOMERS))
        self._until_final(chance, lambda index: self._try_call(index, call))

    def _press_without_key(self, chance: random.Random) -> None:
        call = self._call(chance, "")
        index = chance.randrange(2)
        if self._try_call(index, call) == "refused":
            # Nothing was sent, so the other router may be asked.
            self._until_final(
                chance, lambda i: self._try_call(i, call), once=True
            )

    def _press_with_key(self, chance: random.Random) -> None:
        call = self._call(chance, self._new_key(chance))
        self._until_final(chance, lambda index: self._try_call(index, call))

    def _press_twice(self, chance: random.Random) -> None:
        """Presses at both routers, and perhaps once more when all is over."""
        call = self._call(chance, self._new_key(chance))
        first = chance.randrange(2)
        offset_s = chance.choice([0.0, chance.uniform(0.0, _PRESS_OFFSET_S)])

        def press(index: int, after_s: float) -> None:
            gevent.sleep(after_s)
            self._until_final(
                random.Random(f"{call.key} {index}"),
                lambda i: self._try_call(i, call),
                first=index,
            )

        presses = [
            gevent.spawn(press, first, 0.0),
            gevent.spawn(press, 1 - first, offset_s),
        ]
        gevent.joinall(presses, raise_error=True)
        if chance.random() < 0.5:
            press(chance.randrange(2), chance.uniform(0.0, _PRESS_OFFSET_S))

    def _call(self, chance: random.Random, key: str) -> "_Call":
        return _Call(
            chance.choice(_NON_IDEMPOTENT_PATHS),
            f"fee {chance.randrange(1 << 30)}",
            key,
            chance.choice(_request_fleet.CUSTOMERS),
        )

    def _new_key(self, chance: random.Random) -> str:
        return f"s{self._seed}-key-{chance.randrange(1 << 40):x}"

    # --- tries -------------------------------------------------------------

    def _until_final(
        self,
        chance: random.Random,
        attempt: Any,
        *,
        first: int | None = None,
        once: bool = False,
    ) -> None:
        """Tries until there is an answer that the caller leaves it at.

        Args:
            chance: Draws the first router and the waits.
            attempt: Tries at the router with the index that it gets.
            first: Index of the first router; drawn if None.
            once: Ends with the first try that was sent.
        """
        index = chance.randrange(2) if first is None else first
        is_patient = chance.random() < 0.5
        got_final = False
        for number in range(_TRIES_COUNT):
            outcome = attempt((index + number) % 2)
            got_final = got_final or outcome not in ("refused", "lost")
            if outcome == "answered" or (once and outcome != "refused"):
                return
            if got_final and (is_patient or number >= 2):
                return
            gevent.sleep(chance.uniform(0.05, 0.4))
        if not got_final:
            self._find("unanswered", f"s{self._seed}", "no try got an answer")

    def _try_completion(
        self, index: int, asked: "_Completion", chance: random.Random
    ) -> str:
        customer = chance.choice(_request_fleet.CUSTOMERS)
        request_id = self._new_id()
        answer = self._send(
            index, customer, request_id, asked.path, asked.body(), {}
        )
        record: histories.CallerRecord = {
            "request_id": request_id,
            "outcome": "broken",
            "customer": customer,
            "model": cluster.MODEL,
            "prompt": asked.engine_prompt,
            "max_tokens": asked.max_tokens,
        }
        if isinstance(answer, str):
            return self._note_lost(record, answer)
        if answer.status == 200:
            if asked.is_stream:
                self._read_stream(record, answer)
            else:
                _read_plain(record, asked, answer)
            self.records.append(record)
            return record["outcome"]
        return self._note_refusal(record, answer)

    def _read_stream(
        self, record: histories.CallerRecord, answer: cluster.Answer
    ) -> None:
        events = answer.events()
        whole = bool(events) and events[-1] == "[DONE]"
        documents = [json.loads(e) for e in events if e != "[DONE]"]
        if not whole and (not documents or "error" not in documents[-1]):
            self._find(
                "unanswered", record["request_id"], "the stream just ends"
            )
        record["outcome"] = "answered" if whole else "broken"
        record["answer_text"] = "".join(_event_text(d) for d in documents)
        record["answer_ids"] = sorted({d["id"] for d in documents if "id" in d})

    def _try_call(self, index: int, call: "_Call") -> str:
        request_id = self._new_id()
        headers = {"x_mulberry_deadline_ms": str(_DEADLINE_MS)}
        if call.key:
            headers["idempotency_key"] = call.key
        answer = self._send(
            index,
            call.customer,
            request_id,
            f"/services/{cluster.SERVICE}{call.path}",
            call.body.encode(),
            headers,
        )
        record: histories.CallerRecord = {
            "request_id": request_id,
            "outcome": "answered",
            "customer": call.customer,
            "path": call.path,
            "request_body": call.body,
            "idempotency_key": call.key,
        }
        if isinstance(answer, str):
            return self._note_lost(record, answer)
        if answer.status == 200:
            record["answer_body"] = answer.json()
            self.records.append(record)
            return "answered"
        return self._note_refusal(record, answer)

    def _send(
        self,
        index: int,
        customer: str,
        request_id: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> cluster.Answer | str:
        """Returns the answer, ``refused``, or ``lost`` if a kill lost it."""
        life = self._fleet.lives[index]
        caller = cluster.Caller(
            life.member.process.ready["callers"],
            _request_fleet.KEY_BY_CUSTOMER[customer],
        )
        bound = gevent.Timeout(_ANSWER_BOUND_S)
        try:
            with bound:
                return caller.send(
                    "POST", path, body, x_request_id=request_id, **headers
                )
        except ConnectionRefusedError:
            if life.fault not in ("killed", "stopping"):
                self._find("unanswered", request_id, "connection refused")
            return "refused"
        except (OSError, HTTPParseError, gevent.Timeout) as error:
            where = f"at {life.member.vm_id}, {life.fault}: {error!r}"
            if life.fault == "killed":
                return "lost"
            if life.fault == "stopping":
                self._find("cut-by-planned-stop", request_id, where)
                return "lost"
            self._find("unanswered", request_id, where)
            return "none"

    def _note_lost(self, record: histories.CallerRecord, what: str) -> str:
        if what == "refused":
            return what
        record["outcome"] = "broken"
        self.records.append(record)
        return "lost"

    def _note_refusal(
        self, record: histories.CallerRecord, answer: cluster.Answer
    ) -> str:
        if answer.outcome not in ("not-run", "unknown"):
            detail = f"{answer.status} {answer.body[:200]!r}"
            self._find("untyped-refusal", record["request_id"], detail)
        is_not_run = answer.outcome == "not-run"
        record["outcome"] = "not-run" if is_not_run else "unknown"
        self.records.append(record)
        return record["outcome"]

    def _find(self, kind: str, subject: str, detail: str) -> None:
        self.findings.append(Finding(kind, subject, detail))

    def _new_id(self) -> str:
        self._next_number += 1
        return f"s{self._seed}-{self._next_number}"


class _Call(NamedTuple):
    """One call to the plain service."""

    path: str
    body: str
    key: str
    customer: str


class _Completion(NamedTuple):
    """One generation."""

    text: str
    max_tokens: int
    is_chat: bool
    is_stream: bool

    @property
    def path(self) -> str:
        """Where it is asked for."""
        return "/v1/chat/completions" if self.is_chat else "/v1/completions"

    @property
    def engine_prompt(self) -> str:
        """The prompt that the answer depends on."""
        return f"user: {self.text}\n" if self.is_chat else self.text

    def body(self) -> bytes:
        """Returns the request's body."""
        fields: dict[str, Any] = {
            "model": cluster.MODEL,
            "max_tokens": self.max_tokens,
            "stream": self.is_stream,
        }
        if self.is_chat:
            message = {"role": "user", "content": self.text}
            fields["messages"] = [message]
        else:
            fields["prompt"] = self.text
        return json.dumps(fields).encode()


def _read_plain(
    record: histories.CallerRecord,
    asked: _Completion,
    answer: cluster.Answer,
) -> None:
    choice = answer.json()["choices"][0]
    text = choice["message"]["content"] if asked.is_chat else choice["text"]
    record["outcome"] = "answered"
    record["answer_text"] = str(text)


def _event_text(document: dict[str, Any]) -> str:
    if "choices" not in document:
        return ""
    choice = document["choices"][0]
    if "text" in choice:
        return str(choice["text"])
    return str(choice.get("delta", {}).get("content") or "")


_OPERATIONS = (
    Book._complete,
    Book._complete,
    Book._echo,
    Book._press_without_key,
    Book._press_with_key,
    Book._press_twice,
    Book._press_twice,
)
