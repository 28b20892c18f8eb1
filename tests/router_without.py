"""A router with a mechanism off, to show that the seeded runs then fail.

``--claim-lease-s`` shortens the lease on claim shards, so that owners expire
and change within a run of a few seconds; it turns no mechanism off.
"""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import argparse
import sys
from collections.abc import Callable
from typing import Any

from result import Ok

from mulberrywharf import _answers, errors
from mulberrywharf.backend_servers import directory
from mulberrywharf.engines import streams
from mulberrywharf.nodes import claim_log, claim_owner
from mulberrywharf.policy import outcome, retry_budget
from mulberrywharf.programs import _router, router
from mulberrywharf.requests import service_call

_POLLS_PER_LEASE = 5


def _patch(owner: type, name: str, value: Callable[..., Any]) -> None:
    setattr(owner, name, value)


def _ignore_request_ids() -> None:
    header = _answers.Answer.header
    check = streams.EngineStream._checked_token

    def header_without_id(answer: Any, name: str) -> str | None:
        return None if name == "x-request-id" else header(answer, name)

    def check_without_id(stream: Any, document: Any, event: bytes) -> Any:
        return check(stream, {**document, "id": stream._request_id}, event)

    _patch(_answers.Answer, "header", header_without_id)
    _patch(streams.EngineStream, "_checked_token", check_without_id)


def _run_without_claims() -> None:
    def run(pipeline: Any, call: Any, key: str) -> Any:
        del key
        return pipeline._run(call)

    _patch(service_call.ServiceCallPipeline, "_run_under_claim", run)


def _claim_in_memory_only() -> None:
    def append(*_: Any) -> Any:
        return Ok(None)

    _patch(claim_log.ClaimLog, "append", append)


def _write_claims_without_guards() -> None:
    def write_once(log: Any, wanted: Any) -> Any:
        return log._store.compare_and_swap(
            wanted.key,
            wanted.value,
            expected_revision=wanted.mod_revision,
            purpose=claim_log.PURPOSE_COMMIT,
        )

    _patch(claim_log.ClaimLog, "_write_once", write_once)


def _report_failures_as_not_run() -> None:
    judge = outcome.judge

    def judge_as_not_run(progress: Any, *, is_idempotent: bool) -> Any:
        verdict = judge(progress, is_idempotent=is_idempotent)
        return verdict._replace(outcome="not-run")

    retry_budget.outcome.judge = judge_as_not_run


def _retry_as_idempotent() -> None:
    judge = outcome.judge

    def judge_as_idempotent(progress: Any, *, is_idempotent: bool) -> Any:
        del is_idempotent
        return judge(progress, is_idempotent=True)

    retry_budget.outcome.judge = judge_as_idempotent


def _accept_truncated_streams() -> None:
    read = streams.EngineStream._read_events

    def read_truncated(stream: Any) -> list[bytes]:
        try:
            return read(stream)
        except errors.StreamBrokenError as error:
            if "ended before [DONE]" not in error.message:
                raise
            stream._failed = False
            stream._has_done_event = True
            return []

    def end(stream: Any) -> None:
        stream._has_done_event = True

    _patch(streams.EngineStream, "_read_events", read_truncated)
    _patch(streams.EngineStream, "_end", end)


def _stop_immediately() -> None:
    def stop(running: _router.Router) -> None:
        running._operators.set_ready(False)

    _patch(_router.Router, "stop", stop)


def _treat_leaving_as_live() -> None:
    set_vms = directory.ServiceDirectory.set_vms

    def set_all_live(servers: Any, vms: Any) -> None:
        set_vms(servers, [vm._replace(state="live") for vm in vms])

    _patch(directory.ServiceDirectory, "set_vms", set_all_live)


PATCHES_BY_MECHANISM: dict[str, Callable[[], None]] = {
    "request-ids": _ignore_request_ids,
    "claims": _run_without_claims,
    "claim-log": _claim_in_memory_only,
    "claim-guard": _write_claims_without_guards,
    "outcome": _report_failures_as_not_run,
    "sent-once": _retry_as_idempotent,
    "stream-end": _accept_truncated_streams,
    "graceful-stop": _stop_immediately,
    "leaving": _treat_leaving_as_live,
}
"""Functions that turn off one mechanism of the router, by its name."""


def _shorten_claim_lease(lease_s: float) -> None:
    make = claim_owner.ClaimOwner.__init__

    def make_short(owner: Any, *arguments: Any, **options: Any) -> None:
        options["lease_ttl_s"] = lease_s
        options["poll_interval_s"] = lease_s / _POLLS_PER_LEASE
        make(owner, *arguments, **options)

    _patch(claim_owner.ClaimOwner, "__init__", make_short)


def main() -> int:
    """Runs the router until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--settings", required=True)
    parser.add_argument("--off", choices=sorted(PATCHES_BY_MECHANISM))
    parser.add_argument("--claim-lease-s", type=float, default=0.0)
    arguments = parser.parse_args()
    if arguments.off:
        PATCHES_BY_MECHANISM[arguments.off]()
    if arguments.claim_lease_s:
        _shorten_claim_lease(arguments.claim_lease_s)
    sys.argv = [sys.argv[0], "--settings", arguments.settings]
    return router.main()


if __name__ == "__main__":
    sys.exit(main())
