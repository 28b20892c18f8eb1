"""Gathers the logs of running stand-ins into one document.

``python -m proofs.collect --engine e1=127.0.0.1:8001 --backend b1=IP:PORT
--key-value IP:PORT --add callers.json --output history.json``. ``--add``
lays further parts of the document, such as the callers' records, over it.
"""

import argparse
import json
import pathlib
import sys
from collections.abc import Mapping, Sequence
from typing import Any

import geventhttpclient
from geventhttpclient import response
from result import Err, Ok, Result

from mulberrywharf import errors, fleet
from proofs import histories

_TIMEOUT_S = 10.0
_LOG_PATH = "/standin/log"
_OK = 200


class LogLostError(errors.MulberryError):
    """A stand-in's log could not be read."""

    code = "log-lost"


def collect(
    *,
    engines: Mapping[str, fleet.Address] | None = None,
    backend_servers: Mapping[str, fleet.Address] | None = None,
    key_value: fleet.Address | None = None,
) -> histories.History:
    """Reads the logs of running stand-ins.

    A log that can't be read is named in ``lost_logs``: what it would have
    shown is not proved. Read a stand-in's log before killing it, and join
    the parts with ``merge``.

    Args:
        engines: By engine id; their load reports become ``final``.
        backend_servers: By VM id.
        key_value: The key-value service.
    """
    history: histories.History = {"lost_logs": []}
    lost = history["lost_logs"]
    if engines is not None:
        _collect_engines(history, engines)
    if backend_servers is not None:
        history["backend_servers"] = []
        for vm_id, address in backend_servers.items():
            log = _fetch(address, _LOG_PATH)
            if isinstance(log, Err):
                lost.append(vm_id)
                continue
            history["backend_servers"].append(
                {"vm_id": vm_id, "runs": log.ok_value["runs"]}
            )
    if key_value is not None:
        log = _fetch(key_value, _LOG_PATH)
        if isinstance(log, Err):
            lost.append("key-value")
        else:
            history["key_value_writes"] = log.ok_value["history"]
    return history


def merge(
    earlier: histories.History, later: histories.History
) -> histories.History:
    """Joins what was collected from successive lives of the stand-ins.

    Lists are joined; ``final`` and ``wanted`` are the later ones, key by key.
    """
    merged: dict[str, Any] = dict(earlier)
    for name, value in later.items():
        old = merged.get(name)
        if old is None:
            merged[name] = value
        elif isinstance(old, list):
            merged[name] = [*old, *value]  # type: ignore[misc]
        else:
            merged[name] = {**old, **value}  # type: ignore[dict-item]
    return merged  # type: ignore[return-value]


def _collect_engines(
    history: histories.History, engines: Mapping[str, fleet.Address]
) -> None:
    history["engines"] = []
    history["final"] = {}
    for engine_id, address in engines.items():
        log = _fetch(address, _LOG_PATH)
        report = _fetch(address, "/load")
        if isinstance(log, Err) or isinstance(report, Err):
            history["lost_logs"].append(engine_id)
            continue
        history["engines"].append(
            {
                "engine_id": engine_id,
                "orders": log.ok_value["orders"],
                "runs": log.ok_value["runs"],
            }
        )
        history["final"][engine_id] = report.ok_value


def _fetch(address: fleet.Address, path: str) -> Result[Any, LogLostError]:
    client = geventhttpclient.HTTPClient(
        address.ip,
        address.port,
        connection_timeout=_TIMEOUT_S,
        network_timeout=_TIMEOUT_S,
    )
    try:
        answer = client.get(path)
        body = answer.read()
        if answer.status_code != _OK:
            return Err(LogLostError(f"{address}{path}: {answer.status_code}"))
        return Ok(json.loads(body))
    except (OSError, ValueError, response.HTTPParseError) as error:
        return Err(LogLostError(f"{address}{path}: {error}"))
    finally:
        client.close()


def _named_address(text: str) -> tuple[str, fleet.Address]:
    name, separator, address = text.partition("=")
    if not separator:
        raise argparse.ArgumentTypeError("write NAME=IP:PORT")
    return name, _address(address)


def _address(text: str) -> fleet.Address:
    ip, _, port = text.rpartition(":")
    return fleet.Address(ip, int(port))


def main(arguments: Sequence[str] | None = None) -> int:
    """Collects and writes one document; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--engine", type=_named_address, action="append", default=[]
    )
    parser.add_argument(
        "--backend", type=_named_address, action="append", default=[]
    )
    parser.add_argument("--key-value", type=_address)
    parser.add_argument("--add", action="append", default=[])
    parser.add_argument("--output", required=True)
    options = parser.parse_args(arguments)
    history = collect(
        engines=dict(options.engine),
        backend_servers=dict(options.backend),
        key_value=options.key_value,
    )
    for path in options.add:
        added = histories.load(path)
        if isinstance(added, Err):
            print(added.err_value.message, file=sys.stderr)
            return 1
        history = merge(history, added.ok_value)
    text = json.dumps(history, indent=1)
    pathlib.Path(options.output).write_text(text, encoding="utf-8")
    if history["lost_logs"]:
        print(f"lost logs: {history['lost_logs']}", file=sys.stderr)
    return 0


if __name__ == "__main__":
    sys.exit(main())
