"""A controller with a mechanism off or a delay added, to make tests fail."""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import argparse
import time
from typing import Any

from mulberrywharf import settings
from mulberrywharf.engines import orders
from mulberrywharf.nodes import rates
from mulberrywharf.programs import controller


def _delay_first_byte(gap_s: float) -> None:
    """Adds a delay between the last check of an order and its first byte.

    Normally this gap takes microseconds, too short for a test to stop the
    process in it. A page fault or a busy host can make it longer.
    """
    check = orders._OrderConnection.after_connect

    def check_then_wait(connection: Any, sock: Any) -> None:
        check(connection, sock)
        end_s = time.monotonic() + gap_s
        while time.monotonic() < end_s:
            pass

    orders._OrderConnection.after_connect = (  # type: ignore[method-assign]
        check_then_wait
    )


def _shorten_rates_give_up(give_up_s: float) -> None:
    """Shortens the time (60 s) after which rules on rates are skipped."""
    make = rates.RouterRates.__init__

    def make_with_timeout(router_rates: Any, *_: Any) -> None:
        make(router_rates, give_up_s)

    rates.RouterRates.__init__ = make_with_timeout  # type: ignore[method-assign]


def main() -> None:
    """Runs the controller until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--settings", required=True)
    parser.add_argument("--off", choices=controller.Mechanisms._fields)
    parser.add_argument("--gap-s", type=float, default=0.0)
    parser.add_argument("--rates-give-up-s", type=float, default=0.0)
    arguments = parser.parse_args()
    mechanisms = controller.Mechanisms()
    if arguments.off:
        mechanisms = mechanisms._replace(**{arguments.off: False})
    if arguments.gap_s:
        _delay_first_byte(arguments.gap_s)
    if arguments.rates_give_up_s:
        _shorten_rates_give_up(arguments.rates_give_up_s)
    controller.run(settings.load(arguments.settings).unwrap(), mechanisms)


if __name__ == "__main__":
    main()
