"""Sends calls to one gateway, each on a new connection, at a given rate.

A program of its own, so that it does not share a processor with what it calls.
It prints one line of JSON, a list with the outcome of each call.
"""

import argparse
import json
import time
from typing import NamedTuple

import gevent
from gevent import socket

from tests import test_gateway

ANSWER_LIMIT_S = 3.0


class Outcome(NamedTuple):
    """How a call ended.

    Attributes:
        began_s: Time from the start of the program to that of the call.
        took_s: Duration.
        status: HTTP status; 0 if the connection was refused, or closed before
            any byte of an answer; -1 if nothing happened in time.
    """

    began_s: float
    took_s: float
    status: int


def _call(address: tuple[str, int], message: bytes) -> int:
    try:
        with socket.create_connection(address, ANSWER_LIMIT_S) as sock:
            sock.settimeout(ANSWER_LIMIT_S)
            sock.sendall(message)
            return test_gateway.Answer(test_gateway.read_to_end(sock)).status
    except TimeoutError:
        return -1
    except OSError:
        return 0


def main() -> None:
    """Calls at the rate; prints the outcomes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--rate", type=float, required=True)
    parser.add_argument("--length-s", type=float, required=True)
    arguments = parser.parse_args()
    address = ("127.0.0.1", arguments.port)
    message = test_gateway.request("/safe/x")
    start_s = time.monotonic()
    outcomes: list[Outcome] = []

    def call() -> None:
        began_s = time.monotonic()
        status = _call(address, message)
        took_s = time.monotonic() - began_s
        outcomes.append(Outcome(began_s - start_s, took_s, status))

    calls = []
    for number in range(int(arguments.rate * arguments.length_s)):
        due_s = start_s + number / arguments.rate
        gevent.sleep(max(0.0, due_s - time.monotonic()))
        calls.append(gevent.spawn(call))
    gevent.joinall(calls, timeout=2 * ANSWER_LIMIT_S)
    print(json.dumps(outcomes))


if __name__ == "__main__":
    main()
