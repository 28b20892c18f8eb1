"""Failure detection: which VMs are believed to be alive.

An observer that receives no heartbeats of a VM may only have lost its own link
to it, so a VM is suspected only when most of its observers suspect it. When
most VMs seem dead at the same time, it is more likely that this node is
partitioned or that the VM list is wrong than that the fleet has failed. The
result is then distrusted and all VMs are kept: sending work to a dead VM costs
a retry, while dropping live VMs costs the service.
"""

import collections
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from mulberrywharf import fleet


class SuspicionSettings(NamedTuple):
    """Thresholds of failure detection.

    Attributes:
        observation_lifetime_s: Age above which observations are ignored.
        quorum_share: A VM is suspected when more than this fraction of its
            observers suspect it.
        distrust_share: The result is distrusted when more than this fraction
            of the VMs is suspected.
    """

    observation_lifetime_s: float = 3.0
    quorum_share: float = 0.5
    distrust_share: float = 0.5


class Observation(NamedTuple):
    """One observer's report on one VM.

    Attributes:
        observer_id: VM that reports.
        vm_id: VM that is reported on.
        is_suspected: Whether the observer no longer receives its heartbeats.
        observed_s: Time of the observation, on the evaluating node's clock.
    """

    observer_id: str
    vm_id: str
    is_suspected: bool
    observed_s: float


class Membership(NamedTuple):
    """The believed state of the VMs.

    Attributes:
        live: VMs that may get new work.
        suspected: VMs that most observers no longer receive heartbeats from.
        leaving: VMs that finish their current work and get no new work.
        is_distrusted: Whether the suspicions are ignored because too many VMs
            are suspected; ``live`` then includes the suspected ones.
    """

    live: frozenset[str]
    suspected: frozenset[str]
    leaving: frozenset[str]
    is_distrusted: bool


def evaluate(
    observations: Iterable[Observation],
    vms: Sequence[fleet.VmRecord],
    now_s: float,
    settings: SuspicionSettings | None = None,
) -> Membership:
    """Determines which VMs are believed to be alive.

    Args:
        observations: Observations of each VM, in any order. Of several by the
            same observer, the newest counts.
        vms: The VMs to evaluate, from the VM list.
        now_s: Current time.
        settings: Thresholds; the defaults if None.
    """
    settings = settings or SuspicionSettings()
    leaving = frozenset(vm.vm_id for vm in vms if vm.state == "leaving")
    staying = frozenset(vm.vm_id for vm in vms) - leaving
    newest = _latest_observations(observations, now_s, settings)
    suspected = frozenset(
        vm_id
        for vm_id in staying
        if _is_suspected(newest.get(vm_id, {}), settings)
    )
    is_distrusted = len(suspected) > settings.distrust_share * len(staying)
    return Membership(
        live=staying if is_distrusted else staying - suspected,
        suspected=suspected,
        leaving=leaving,
        is_distrusted=is_distrusted,
    )


def _latest_observations(
    observations: Iterable[Observation],
    now_s: float,
    settings: SuspicionSettings,
) -> dict[str, dict[str, Observation]]:
    """Returns each observer's newest unexpired observation, by VM."""
    newest: dict[str, dict[str, Observation]] = collections.defaultdict(dict)
    for observation in observations:
        age_s = now_s - observation.observed_s
        if age_s > settings.observation_lifetime_s:
            continue
        # A VM's observation of itself does not count.
        if observation.observer_id == observation.vm_id:
            continue
        by_observer = newest[observation.vm_id]
        previous = by_observer.get(observation.observer_id)
        if previous is None or previous.observed_s <= observation.observed_s:
            by_observer[observation.observer_id] = observation
    return newest


def _is_suspected(
    by_observer: dict[str, Observation], settings: SuspicionSettings
) -> bool:
    if not by_observer:
        return False
    suspecting_count = sum(
        observation.is_suspected for observation in by_observer.values()
    )
    return suspecting_count > settings.quorum_share * len(by_observer)
