"""Polls the platform's VM list.

The list lags behind the fleet and its service has outages, so the reader also
provides the age of the list.
"""

import contextlib
import ipaddress
import random
from collections.abc import Mapping
from typing import Annotated, Any, Literal, NotRequired

import gevent
import gevent.event
import pydantic
from loguru import logger
from result import Err, Ok, Result
from typing_extensions import TypedDict

from mulberrywharf import (
    clock,
    errors,
    fleet,
    metrics,
    settings,
    stated_numbers,
    supervised_task,
)
from mulberrywharf.platform_service import http_calls

POLL_INTERVAL_S = 1.0

OLDER_ANSWERS_LIMIT_COUNT = 10
"""Maximum number of older answers in a row that are ignored. More of them mean
that the list itself was reset to an older version."""

_DEFAULT_CALL_TIMEOUT_S = 2.0
_JITTER_SHARE = 0.2
_BACKOFF_LIMIT_S = 5.0

_reads = metrics.counter(
    "mulberry_vm_list_reads_total", "Reads of the VM list, by outcome."
)


def _ip(text: str) -> str:
    # Any other text would be looked up as a name.
    return str(ipaddress.ip_address(text))


_Name = Annotated[str, pydantic.Field(pattern=r"^[\x21-\x7e]{1,200}$")]
_Ip = Annotated[str, pydantic.AfterValidator(_ip)]
_Port = Annotated[int, pydantic.Field(ge=1, le=65_535, strict=True)]


class _Vm(TypedDict):
    """One VM in the list as received; unknown fields are ignored."""

    vm_id: _Name
    kind: Literal["entry", "engine", "backend"]
    availability_zone: _Name
    ip: _Ip
    port: _Port
    state: NotRequired[Literal["live", "leaving"]]
    service: NotRequired[_Name | Literal[""]]
    engine_kind: NotRequired[_Name | Literal[""]]
    operators_ip: NotRequired[_Ip | None]
    operators_port: NotRequired[_Port | None]


_VM_ADAPTER: pydantic.TypeAdapter[_Vm] = pydantic.TypeAdapter(_Vm)


class VmListReader:
    """Polls the VM list and keeps the last valid one."""

    def __init__(
        self,
        endpoint: settings.Endpoint,
        *,
        timeout_s: float = _DEFAULT_CALL_TIMEOUT_S,
        interval_s: float = POLL_INTERVAL_S,
        system_clock: clock.Clock | None = None,
    ):
        self._calls = http_calls.HttpCalls(endpoint, timeout_s)
        self._interval_s = interval_s
        self._clock = system_clock or clock.SystemClock()
        self._vms: list[fleet.VmRecord] = []
        self._version: int | None = None
        self._older_answers_count = 0
        self._malformed_count = 0
        self._confirmed_s = float("-inf")
        self._has_vms = gevent.event.Event()
        self._greenlet: gevent.Greenlet | None = None

    @classmethod
    def from_config(cls, config: settings.Settings) -> "VmListReader":
        """Creates the reader for the VM list in the settings."""
        platform = config["platform"]
        return cls(
            platform["vm_list"],
            timeout_s=platform.get("call_timeout_s", _DEFAULT_CALL_TIMEOUT_S),
        )

    def start(self) -> None:
        """Starts polling."""
        self._greenlet = supervised_task.spawn("vm-list", self._run)

    def close(self) -> None:
        """Stops polling; the last list remains available."""
        if self._greenlet is not None:
            self._greenlet.kill()
        self._calls.close()

    def vms(self) -> list[fleet.VmRecord]:
        """Returns the VMs of the current list, empty before the first list."""
        return list(self._vms)

    def version(self) -> int:
        """Returns the version of the current list, 0 before the first list."""
        return self._version or 0

    def age_s(self) -> float:
        """Returns the time in seconds since the list was last confirmed.

        Infinite before the first list.
        """
        return self._clock.monotonic_s() - self._confirmed_s

    def wait(self, timeout_s: float | None = None) -> bool:
        """Waits for the first list; returns False after the timeout."""
        return bool(self._has_vms.wait(timeout_s))

    def _run(self) -> None:
        failures_count = 0
        while True:
            outcome = self.read_once()
            if isinstance(outcome, Err):
                failures_count += 1
                logger.log(
                    "WARNING" if failures_count == 1 else "DEBUG",
                    "VM list could not be read: {}",
                    outcome.err_value,
                )
            else:
                failures_count = 0
            gevent.sleep(self._pause_s(failures_count))

    def _pause_s(self, failures_count: int) -> float:
        if failures_count:
            return self._interval_s / 2 + http_calls.full_jitter_s(
                failures_count,
                base_s=self._interval_s,
                limit_s=_BACKOFF_LIMIT_S,
            )
        spread = random.uniform(1 - _JITTER_SHARE, 1 + _JITTER_SHARE)
        return self._interval_s * spread

    def read_once(self) -> Result[None, errors.PlatformError]:
        """Reads the list now, for callers that cannot wait for a poll."""
        headers = {}
        if self._version is not None:
            # An unchanged list is not sent again: with a thousand VMs it
            # would be by far the largest part of a node's control traffic.
            headers["if-none-match"] = f'"{self._version}"'
        sent = self._calls.call("GET", "/vms", headers=headers)
        if isinstance(sent, Err):
            _reads.inc({"outcome": "failed"})
            # A read has no effect even if its answer is lost. The original
            # error would be reported as a write with an unknown outcome.
            message = sent.err_value.message
            return Err(errors.PlatformUnavailableError(message))
        answer = sent.ok_value
        if answer.status == 304:
            self._confirm("unchanged")
            return Ok(None)
        if answer.status != 200:
            _reads.inc({"outcome": str(answer.status)})
            message = (
                f"{self._calls.name}: the VM list answered {answer.status}"
            )
            return Err(errors.PlatformUnavailableError(message))
        return self._apply_answer(answer.body)

    def _apply_answer(
        self, body: Mapping[str, Any]
    ) -> Result[None, errors.PlatformError]:
        entries = body.get("vms")
        try:
            if not isinstance(entries, list):
                raise ValueError("vms is no list")
            # Readers take 0 for no list, so only an empty one can have it.
            version = stated_numbers.count(
                body.get("version"), "version", minimum=1 if entries else 0
            )
        except ValueError as error:
            _reads.inc({"outcome": "malformed"})
            message = f"{self._calls.name}: the VM list is malformed: {error}"
            return Err(errors.PlatformUnavailableError(message))
        if self._is_older(version):
            _reads.inc({"outcome": "older"})
            return Ok(None)
        vms = _records(entries)
        self._note_malformed(len(entries) - len(vms))
        if self._vms and not vms:
            # An empty list after a non-empty one is a fault of the list.
            # Applying it would remove the whole fleet from service.
            _reads.inc({"outcome": "empty"})
            message = (
                f"{self._calls.name}: the VM list is empty but was not before"
            )
            return Err(errors.PlatformUnavailableError(message))
        self._vms = vms
        self._version = version
        self._confirm("changed")
        return Ok(None)

    def _note_malformed(self, malformed_count: int) -> None:
        if malformed_count != self._malformed_count:
            self._malformed_count = malformed_count
            logger.warning(
                "VM list: {} malformed entries are skipped", malformed_count
            )

    def _is_older(self, version: int) -> bool:
        """Tells whether a list is older than the current one.

        Replicas of the list lag by different amounts. An older list would
        show a leaving VM as live, and send it new work while it shuts down.
        """
        if self._version is None or version >= self._version:
            self._older_answers_count = 0
            return False
        self._older_answers_count += 1
        if self._older_answers_count > OLDER_ANSWERS_LIMIT_COUNT:
            self._older_answers_count = 0
            return False
        return True

    def _confirm(self, outcome: str) -> None:
        _reads.inc({"outcome": outcome})
        self._confirmed_s = self._clock.monotonic_s()
        if self._vms:
            self._has_vms.set()


def _records(entries: list[Any]) -> list[fleet.VmRecord]:
    """Decodes the VMs of a list, skipping malformed entries."""
    records = []
    for entry in entries:
        with contextlib.suppress(pydantic.ValidationError):
            records.append(_decode_vm(_VM_ADAPTER.validate_python(entry)))
    return records


def _decode_vm(vm: _Vm) -> fleet.VmRecord:
    operators_ip = vm.get("operators_ip")
    operators_port = vm.get("operators_port")
    operators_address = None
    if operators_ip and operators_port:
        operators_address = fleet.Address(operators_ip, operators_port)
    return fleet.VmRecord(
        vm["vm_id"],
        vm["kind"],
        vm["availability_zone"],
        fleet.Address(vm["ip"], vm["port"]),
        vm.get("state", "live"),
        vm.get("service", ""),
        vm.get("engine_kind", ""),
        operators_address,
    )
