"""A program with a mechanism of the configuration off, to see tests go red.

The first argument names what is taken out; the rest is the program's own.
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


def _ask_no_neighbour() -> None:
    def note(*_: Any) -> None:
        return None

    _patch(config_exchange.ConfigExchange, "note", note)


def _put_nothing_back() -> None:
    def reinstate_later(_: Any) -> None:
        return None

    _patch(config_follower.ConfigFollower, "_reinstate_later", reinstate_later)


def _take_whatever_comes_last() -> None:
    take = config_follower.ConfigFollower._take

    def take_any(follower: Any, offered: Any) -> bool:
        follower._current = None
        return take(follower, offered)

    _patch(config_follower.ConfigFollower, "_take", take_any)


def _be_ready_at_once() -> None:
    def is_ready(running: _router.Router) -> bool:
        return running._backends.knows_vms()

    _patch(_router.Router, "_is_ready", is_ready)


def _patch(owner: type, name: str, value: Callable[..., Any]) -> None:
    setattr(owner, name, value)


def _write_without_comparing() -> None:
    swap = config_store.ConfigStore._swap

    def write(store: Any, raw: bytes, held: Any) -> Any:
        now = store._read().unwrap()
        return swap(store, raw, held._replace(mod_revision=now.mod_revision))

    _patch(config_store.ConfigStore, "_swap", write)


def _never_read_back() -> None:
    def find_none(*_: Any) -> None:
        return None

    config_change._entry_of = find_none  # type: ignore[assignment]


def _trust_versions() -> None:
    def is_kept(*_: Any) -> Any:
        return Ok(None)

    _ctl_apply._is_kept = is_kept  # type: ignore[assignment]


ROUTER: dict[str, Callable[[], None]] = {
    "neighbours": _ask_no_neighbour,
    "put-back": _put_nothing_back,
    "highest": _take_whatever_comes_last,
    "readiness": _be_ready_at_once,
}
"""What each mechanism's name takes out of the router."""

CTL: dict[str, Callable[[], None]] = {
    "compare": _write_without_comparing,
    "read-back": _never_read_back,
    "still-holds": _trust_versions,
}
"""What each mechanism's name takes out of ``mulberryctl``."""


def main() -> int:
    """Runs the program that has the mechanism, without it."""
    off = sys.argv.pop(1)
    if off in ROUTER:
        ROUTER[off]()
        return router.main()
    CTL[off]()
    return ctl.main()


if __name__ == "__main__":
    sys.exit(main())
