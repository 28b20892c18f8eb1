"""How the stand-in engine takes orders, and its record of them."""

import random
import time
from collections.abc import Callable
from typing import Any

import gevent

from standins import _http

ROLES = ("prefill", "decode", "mixed")
_ACTIONS = ("set-role", "load-model", "drain", "resume")


class Orders:
    """The engine's role, state and loaded weights, changed by orders.

    Attributes:
        role: The role it plays.
        state: ``ready``, ``draining``, ``changing`` or ``failed``.
        models: Loaded models.
        adapters: Loaded adapters.
        version: Version label of the weights.
        applied_order_id: Last order that took full effect.
        fencing_number: Highest number seen.
        log: Every order that came, as dictionaries.
        crash_mid_change: Makes the next change stop half way.
    """

    def __init__(
        self,
        *,
        role: str,
        models: list[str],
        change_s: float,
        load_model_s: float,
        checks_fencing: bool,
        halt: Callable[[], list[str]],
    ):
        self.role = role
        self.state = "ready"
        self.models = models
        self.adapters: list[str] = []
        self.version = ""
        self.applied_order_id = ""
        self.fencing_number = 0
        self.crash_mid_change = False
        self.log: list[dict[str, Any]] = []
        self._change_s = change_s
        self._load_model_s = load_model_s
        self._checks_fencing = checks_fencing
        self._halt = halt
        self._is_loading_adapter = False
        self._accepted: dict[str, dict[str, Any]] = {}

    def take(self, order: dict[str, Any]) -> _http.Reply:
        """Takes one order and returns the answer to it."""
        order_id = str(order.get("order_id", ""))
        if order_id in self._accepted:
            self._record(order, accepted=True, reason="repeated")
            return self._accept_reply(order_id)
        refusal = self._refusal(order)
        if refusal is not None:
            self._record(order, accepted=False, reason=refusal.body["type"])
            return refusal
        entry = self._record(order, accepted=True, reason="")
        self._accepted[order_id] = entry
        self._begin(order, entry)
        return self._accept_reply(order_id)

    def serves(self, model: str) -> bool:
        """Tells whether a request for the model may begin now."""
        if self.state != "ready":
            return False
        base, _, adapter = model.partition(":")
        if adapter:
            return base in self.models and adapter in self.adapters
        return base in self.models or base in self.adapters

    def _accept_reply(self, order_id: str) -> _http.Reply:
        body = {"order_id": order_id, "state": self.state}
        return _http.Reply(202, body)

    def _refusal(self, order: dict[str, Any]) -> _http.Reply | None:
        if not _is_well_formed(order):
            return _http.Reply(400, {"type": "bad-order"})
        number = order["fencing_number"]
        if self._checks_fencing and number < self.fencing_number:
            return _http.Reply(
                409,
                {
                    "type": "stale-fencing-number",
                    "fencing_number": self.fencing_number,
                },
            )
        self.fencing_number = max(self.fencing_number, number)
        if self.state == "changing" or self._is_loading_adapter:
            return _http.Reply(409, {"type": "busy"}, (("retry-after", "1"),))
        if self.state == "failed" and order["action"] in ("drain", "resume"):
            return _http.Reply(409, {"type": "failed"})
        return None

    def _record(
        self, order: dict[str, Any], *, accepted: bool, reason: str
    ) -> dict[str, Any]:
        entry = {
            "order_id": order.get("order_id", ""),
            "fencing_number": order.get("fencing_number", 0),
            "action": order.get("action", ""),
            "role": order.get("role", ""),
            "model": order.get("model", ""),
            "adapter": order.get("adapter", ""),
            "version": order.get("version", ""),
            "accepted": accepted,
            "effective": accepted and not reason,
            "reason": reason,
            "cut_request_ids": [],
            "crashed": False,
            "unix_s": time.time(),
            "ended_unix_s": None,
        }
        self.log.append(entry)
        return entry

    def _begin(self, order: dict[str, Any], entry: dict[str, Any]) -> None:
        action = order["action"]
        if action == "drain":
            self.state = "draining"
            self._complete(entry)
        elif action == "resume":
            self.state = "ready"
            self._complete(entry)
        elif order.get("adapter"):
            # An adapter is loaded beside what the engine serves.
            self._is_loading_adapter = True
            gevent.spawn(self._load_adapter, order, entry)
        else:
            self.state = "changing"
            entry["cut_request_ids"] = self._halt()
            gevent.spawn(self._change, order, entry)

    def _load_adapter(
        self, order: dict[str, Any], entry: dict[str, Any]
    ) -> None:
        gevent.sleep(self._load_model_s)
        self._is_loading_adapter = False
        if order["adapter"] not in self.adapters:
            self.adapters.append(order["adapter"])
        self._complete(entry)

    def _change(self, order: dict[str, Any], entry: dict[str, Any]) -> None:
        is_role_change = order["action"] == "set-role"
        away_s = self._change_s if is_role_change else self._load_model_s
        gevent.sleep(away_s / 2)
        if self.crash_mid_change:
            self._crash(order, entry)
            return
        gevent.sleep(away_s / 2)
        if is_role_change:
            self.role = order["role"]
        else:
            self._take_model(order)
        self.state = "ready"
        self._complete(entry)

    def _take_model(self, order: dict[str, Any]) -> None:
        if order["model"] not in self.models:
            self.models.append(order["model"])
        if order.get("version"):
            self.version = order["version"]

    def _complete(self, entry: dict[str, Any]) -> None:
        self.applied_order_id = entry["order_id"]
        entry["ended_unix_s"] = time.time()

    def _crash(self, order: dict[str, Any], entry: dict[str, Any]) -> None:
        self.crash_mid_change = False
        foreign = [r for r in ROLES if r not in (self.role, order.get("role"))]
        self.role = random.choice(foreign)
        self.state = "failed"
        entry["crashed"] = True
        entry["ended_unix_s"] = time.time()


def _is_well_formed(order: dict[str, Any]) -> bool:
    action = order.get("action")
    if not order.get("order_id") or action not in _ACTIONS:
        return False
    if not isinstance(order.get("fencing_number"), int):
        return False
    if action == "set-role":
        return order.get("role") in ROLES
    if action == "load-model":
        return bool(order.get("model"))
    return True
