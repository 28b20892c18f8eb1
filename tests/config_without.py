"""Runs a program with one configuration mechanism disabled.

It shows that the tests fail without the mechanism. The first argument names the
mechanism; the others are passed to the program.
"""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import sys
from collections.abc import Callable
from typing import Any

from result import Ok

from mulberrywharf.nodes import config_exchange
from mulberrywharf.platform_service import (
    config_change,
    config_follower,
    config_store,
)
from mulberrywharf.programs import _ctl_apply, _router, ctl, router


def _disable_neighbour_exchange() -> None:
    def note(*_: Any) -> None:
        return None

    _patch(config_exchange.ConfigExchange, "note", note)


def _disable_reinstating() -> None:
    def reinstate_later(_: Any) -> None:
        return None

    _patch(config_follower.ConfigFollower, "_reinstate_later", reinstate_later)


def _apply_every_configuration() -> None:
    take = config_follower.ConfigFollower._take

    def take_any(follower: Any, offered: Any) -> bool:
        follower._current = None
        return take(follower, offered)

    _patch(config_follower.ConfigFollower, "_take", take_any)


def _ignore_configuration_in_readiness() -> None:
    def is_ready(running: _router.Router) -> bool:
        return running._backends.has_vm_list()

    _patch(_router.Router, "_is_ready", is_ready)


def _patch(owner: type, name: str, value: Callable[..., Any]) -> None:
    setattr(owner, name, value)


def _write_without_comparing() -> None:
    swap = config_store.ConfigStore._swap

    def write(store: Any, raw: bytes, stored: Any) -> Any:
        now = store._read().unwrap()
        return swap(store, raw, stored._replace(mod_revision=now.mod_revision))

    _patch(config_store.ConfigStore, "_swap", write)


def _disable_read_back() -> None:
    def find_none(*_: Any) -> None:
        return None

    config_change._find_audit_entry = find_none  # type: ignore[assignment]


def _skip_final_check() -> None:
    def is_kept(*_: Any) -> Any:
        return Ok(None)

    _ctl_apply._is_kept = is_kept  # type: ignore[assignment]


ROUTER: dict[str, Callable[[], None]] = {
    "neighbours": _disable_neighbour_exchange,
    "put-back": _disable_reinstating,
    "highest": _apply_every_configuration,
    "readiness": _ignore_configuration_in_readiness,
}
"""Functions that disable mechanisms of the router, by mechanism."""

CTL: dict[str, Callable[[], None]] = {
    "compare": _write_without_comparing,
    "read-back": _disable_read_back,
    "still-holds": _skip_final_check,
}
"""Functions that disable mechanisms of ``mulberryctl``, by mechanism."""


def main() -> int:
    """Disables the mechanism and runs the program that contains it."""
    mechanism = sys.argv.pop(1)
    if mechanism in ROUTER:
        ROUTER[mechanism]()
        return router.main()
    CTL[mechanism]()
    return ctl.main()


if __name__ == "__main__":
    sys.exit(main())
