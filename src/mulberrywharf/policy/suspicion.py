"""Which VMs are believed to be alive, from what several observers say.

One observer that no longer hears a VM may have lost only its own link, so a
VM is suspected only when most of those who observe it agree. And when most of
the VMs look dead at once, the observer is more likely to be cut off, or the
list wrong, than the fleet gone: the picture is then distrusted and all are
kept, since sending work to a dead VM costs a retry while dropping the living
costs the service.
"""

import collections
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from mulberrywharf import fleet


class SuspicionSettings(NamedTuple):
    """Bounds of suspicion.

    Attributes:
        observation_lifetime_s: Observations older than this do not count.
        quorum_share: Suspected when more than this part of its observers
            suspect it.
        distrust_share: The picture is distrusted when more than this part
            of the VMs is suspected.
    """

    observation_lifetime_s: float = 3.0
    quorum_share: float = 0.5
    distrust_share: float = 0.5


class Observation(NamedTuple):
    """What one observer says of one VM.

    Attributes:
        observer_id: Who says it.
        vm_id: Of whom.
        is_suspected: Whether the observer no longer hears it.
        observed_s: When, on the clock of the one who judges.
    """

    observer_id: str
    vm_id: str
    is_suspected: bool
    observed_s: float


class Membership(NamedTuple):
    """The VMs as they are believed to be.

    Attributes:
        live: VMs that may get new work.
        suspected: VMs that most observers no longer hear.
        leaving: VMs that finish what they have and get no new work.
        distrusted: True when the picture was set aside; ``live`` then holds
            the suspected ones too.
    """

    live: frozenset[str]
    suspected: frozenset[str]
    leaving: frozenset[str]
    distrusted: bool


def judge(
    observations: Iterable[Observation],
    vms: Sequence[fleet.VmRecord],
    now_s: float,
    settings: SuspicionSettings | None = None,
) -> Membership:
    """Judges which VMs are alive.

    Args:
        observations: The last word of each observer on each VM, in any
            order; of several words of one observer the newest counts.
        vms: The VMs in question, as the VM list has them.
        now_s: The present.
        settings: Bounds; the defaults when None.
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
    distrusted = len(suspected) > settings.distrust_share * len(staying)
    return Membership(
        live=staying if distrusted else staying - suspected,
        suspected=suspected,
        leaving=leaving,
        distrusted=distrusted,
    )


def _latest_observations(
    observations: Iterable[Observation],
    now_s: float,
    settings: SuspicionSettings,
) -> dict[str, dict[str, Observation]]:
    """Returns the newest fresh word on each VM by each observer."""
    newest: dict[str, dict[str, Observation]] = collections.defaultdict(dict)
    for observation in observations:
        age_s = now_s - observation.observed_s
        if age_s > settings.observation_lifetime_s:
            continue
        # Nobody is a witness of his own life or death.
        if observation.observer_id == observation.vm_id:
            continue
        words = newest[observation.vm_id]
        before = words.get(observation.observer_id)
        if before is None or before.observed_s <= observation.observed_s:
            words[observation.observer_id] = observation
    return newest


def _is_suspected(
    words: dict[str, Observation], settings: SuspicionSettings
) -> bool:
    if not words:
        return False
    against_count = sum(word.is_suspected for word in words.values())
    return against_count > settings.quorum_share * len(words)
