"""Gossip protocol between the routers on entry VMs.

In each interval a router sends its view of the zone to a few neighbours and,
less often, to a router of another zone. Each router passes on the newest state
that it has received, so all routers of the zone have it after a few intervals,
while the bytes that a router sends do not grow with the number of neighbours.

A node, in the names of this package, is a router on an entry VM.
"""

import random
import time
from collections.abc import Mapping
from typing import Protocol

import gevent

from mulberrywharf import clock, fleet, metrics, settings, supervised_task
from mulberrywharf.nodes import (
    config_exchange,
    demands,
    links,
    membership,
    messages,
    neighbours,
    server,
    slices,
)
from mulberrywharf.policy import shares, suspicion

DEFAULT_INTERVAL_S = 1.0
FAN_OUT_COUNT = 2
"""Neighbours of its own zone that a router sends to in each interval."""

CROSS_ZONE_INTERVALS_COUNT = 4
"""Intervals between heartbeats to a router of another zone."""

PARTNER_EPOCH_S = 60.0
"""How long a router keeps its partners in the other zones."""

_suspected_count = metrics.gauge(
    "mulberry_nodes_suspected_count",
    "Entry VMs of this zone that are suspected.",
)
_sent_bytes = metrics.gauge(
    "mulberry_nodes_sent_bytes",
    "Bytes of frames sent to other entry VMs since the start.",
)
_distrusted = metrics.gauge(
    "mulberry_nodes_picture_distrusted",
    "1 while too many entry VMs look dead for the picture to be believed.",
)


class VmList(Protocol):
    """The part of ``VmListReader`` that the mesh uses."""

    def vms(self) -> list[fleet.VmRecord]:
        """Returns the VM list as last read."""
        ...


class NodeMesh:
    """Exchanges heartbeats with other routers.

    One task sends; the handlers of the node server receive.
    """

    def __init__(
        self,
        vm_id: str,
        availability_zone: str,
        vm_list: VmList,
        configuration: config_exchange.ConfigurationSource,
        node_links: links.Links,
        *,
        interval_s: float = DEFAULT_INTERVAL_S,
        suspect_after_s: float = membership.DEFAULT_SUSPECT_AFTER_S,
        system_clock: clock.Clock | None = None,
    ):
        self._vm_id = vm_id
        self._zone = availability_zone
        self._vm_list = vm_list
        self._configuration = config_exchange.ConfigExchange(
            configuration, node_links
        )
        self._links = node_links
        self._interval_s = interval_s
        self._clock = system_clock or clock.SystemClock()
        self._incarnation = time.time_ns() // 1_000_000
        self._stamp = 0
        self._ticks_count = 0
        self._announced_version = 0
        self._zone_lists = neighbours.ZoneListTable()
        self._neighbour_rotation = neighbours.Rotation()
        self._partner_rotation = neighbours.Rotation()
        self._members = membership.MembershipTable(
            vm_id, suspect_after_s=suspect_after_s, interval_s=interval_s
        )
        self._loads = slices.LoadTable()
        self._incarnations: dict[str, int] = {}
        self._leaving: set[str] = set()
        self._demands = demands.DemandReports()
        self._membership = suspicion.Membership(
            frozenset({vm_id}), frozenset(), frozenset(), False
        )
        self._neighbours: list[fleet.VmRecord] = []
        self._partners: list[fleet.VmRecord] = []
        self._epoch = -1
        self._assigned_engines: tuple[fleet.VmRecord, ...] = ()
        self._task: gevent.Greenlet | None = None

    @classmethod
    def from_config(
        cls,
        config: settings.Settings,
        vm_list: VmList,
        configuration: config_exchange.ConfigurationSource,
        node_links: links.Links,
        node_server: server.NodeServer,
    ) -> "NodeMesh":
        """Creates the mesh from the settings.

        Args:
            config: Settings of the process.
            vm_list: The VM list.
            configuration: The configuration in force here.
            node_links: Links of the process; once a minute the mesh closes
                those that it does not need and that no call is using.
            node_server: Server on which the handlers of the mesh's messages
                are registered.
        """
        nodes = config["nodes"]
        mesh = cls(
            config["vm_id"],
            config["availability_zone"],
            vm_list,
            configuration,
            node_links,
            interval_s=nodes.get("heartbeat_interval_s", DEFAULT_INTERVAL_S),
            suspect_after_s=nodes.get(
                "suspect_after_s", membership.DEFAULT_SUSPECT_AFTER_S
            ),
        )
        mesh.register(node_server)
        return mesh

    def register(self, node_server: server.NodeServer) -> None:
        """Registers the handlers of the mesh's messages."""
        node_server.register(messages.Heartbeat, self._on_heartbeat)
        node_server.register(messages.Leaving, self._on_leaving)
        node_server.register(
            messages.ConfigFetch, self._configuration.handle_fetch
        )

    def start(self) -> None:
        """Starts sending heartbeats."""
        self._task = gevent.spawn(self._run)

    def close(self) -> None:
        """Stops sending; does not close the links, which the caller owns."""
        if self._task is not None:
            self._task.kill()
        self._configuration.close()

    def membership(self) -> suspicion.Membership:
        """Returns the state of this zone's entry VMs, including this one."""
        return self._membership

    def live_entry_vms(self) -> list[fleet.VmRecord]:
        """Returns this zone's entry VMs that are believed to be alive."""
        lists = self._zone_lists.current(self._zone)
        live = self._membership.live
        return [vm for vm in lists.entry_vms if vm.vm_id in live]

    def engine_slice(self) -> tuple[fleet.VmRecord, ...]:
        """Returns the engines whose full load this router reads."""
        return self._assigned_engines

    def publish_load(self, report: fleet.LoadReport) -> None:
        """Shares the load of an engine from the next heartbeat on.

        Args:
            report: Load of an engine that this router reads.
        """
        age_s = max(0.0, self._clock.unix_s() - report.reported_unix_s)
        taken_s = self._clock.monotonic_s() - min(age_s, slices.LONGEST_AGE_S)
        self._loads.put(report.engine_id, slices.quantise(report), taken_s)

    def coarse_loads(self) -> Mapping[str, slices.AgedLoad]:
        """Returns the newest known load of each engine of all zones."""
        return self._loads.read(self._clock.monotonic_s())

    def publish_demand(self, report: shares.DemandReport) -> None:
        """Shares this router's demand from the next heartbeat on."""
        self._demands.publish(report)

    def demand_reports(
        self, round_number: int | None = None
    ) -> Mapping[str, shares.DemandReport]:
        """Returns the demand report of each router, including this one.

        Args:
            round_number: Round of the reports; None for the last report of
                each router. A router whose clock is slightly ahead already
                reports the next round while this one still divides the
                limits by the previous round.
        """
        return self._demands.reports(round_number)

    def rotation_s(self) -> float:
        """Returns the time in which each neighbour of the zone has a turn.

        A round of demand reports must be longer than this.
        """
        count = len(self._zone_lists.current(self._zone).entry_vms) - 1
        return self._interval_s * max(1, -(-count // FAN_OUT_COUNT))

    def config_versions(self) -> Mapping[str, int]:
        """Returns the last known configuration version of each router."""
        own = {self._vm_id: self._configuration.version()}
        return {**self._configuration.versions(), **own}

    def announce_leaving(self) -> None:
        """Notifies the zone that this router stops; called once."""
        lists = self._zone_lists.current(self._zone)
        for vm in lists.entry_vms:
            if vm.vm_id != self._vm_id:
                self._links.to(vm.address).send(
                    messages.Leaving(self._incarnation)
                )

    def tick(self) -> None:
        """Runs one interval: updates the membership, sends heartbeats."""
        now_s = self._clock.monotonic_s()
        self._ticks_count += 1
        changed = self._apply_vm_list(now_s)
        before = self._membership
        self._update_membership(now_s)
        if changed or before != self._membership:
            self._assign_engines()
        self._stamp = membership.next_stamp(
            self._stamp, self._clock.unix_s(), self._interval_s
        )
        self._members.note_stamp(self._vm_id, self._stamp, now_s)
        self._send_heartbeats(now_s)

    def _run(self) -> None:
        while True:
            try:
                self.tick()
            except Exception:
                # Without this, a single malformed record would end this
                # router's heartbeats, and the others would suspect it.
                supervised_task.note_failure("mesh")
            gevent.sleep(self._interval_s * random.uniform(0.9, 1.1))

    def _apply_vm_list(self, now_s: float) -> bool:
        if not self._zone_lists.update(self._vm_list.vms()):
            return False
        lists = self._zone_lists.current(self._zone)
        self._members.expect(lists.entry_vm_ids, now_s)
        self._loads.keep_only(self._zone_lists.engine_ids())
        present = {
            vm_id
            for zone in self._zone_lists.zones()
            for vm_id in self._zone_lists.current(zone).entry_vm_ids
        }
        addresses = {vm.address for vm in lists.entry_vms}
        self._demands.keep_only(present, addresses)
        self._configuration.keep_only(present)
        for vm_id in self._incarnations.keys() - present:
            del self._incarnations[vm_id]
        self._leaving &= present
        self._epoch = -1
        return True

    def _update_membership(self, now_s: float) -> None:
        vms = [
            vm._replace(state="leaving") if vm.vm_id in self._leaving else vm
            for vm in self._zone_lists.current(self._zone).entry_vms
        ]
        self._membership = self._members.evaluate(vms, now_s)
        _suspected_count.set({}, len(self._membership.suspected))
        _distrusted.set({}, int(self._membership.is_distrusted))
        _sent_bytes.set({}, self._links.traffic.sent_bytes)

    def _assign_engines(self) -> None:
        lists = self._zone_lists.current(self._zone)
        live = self._membership.live | {self._vm_id}
        reader_of = slices.readers(lists.engine_ids, live)
        self._assigned_engines = tuple(
            vm for vm in lists.engines if reader_of[vm.vm_id] == self._vm_id
        )

    def _send_heartbeats(self, now_s: float) -> None:
        heartbeat = self._heartbeat(now_s)
        self._choose_links()
        for address in self._neighbour_rotation.next_addresses(
            self._neighbours, FAN_OUT_COUNT
        ):
            self._demands.send_heartbeat(self._links.to(address), heartbeat)
        self._announce_version()
        if self._ticks_count % CROSS_ZONE_INTERVALS_COUNT:
            return
        # Stamps and suspicions only apply within a zone.
        brief = heartbeat._replace(stamps=b"", suspicions=b"")
        for address in self._partner_rotation.next_addresses(self._partners, 1):
            self._links.to(address).send(brief)

    def _announce_version(self) -> None:
        """Sends a new version to all partners, or asks them for a first one.

        If partners were notified in rotation, a zone that is partitioned from
        the key-value service would receive a change only after as many rounds
        as there are zones, and the change would come into force there last,
        after 8 s or more.
        """
        version = self._configuration.version()
        if version and version == self._announced_version:
            return
        self._announced_version = version
        for vm in self._partners:
            self._links.to(vm.address).send(self._version_only())

    def _version_only(self) -> messages.Heartbeat:
        """Returns a heartbeat without the state of the zone."""
        return messages.Heartbeat(
            self._zone,
            self._incarnation,
            self._stamp,
            self._configuration.version(),
        )

    def _choose_links(self) -> None:
        """Connects to all neighbours and to one partner in each other zone.

        Closes the other links. Runs once in each epoch and after a change of
        the VM list.
        """
        epoch = int(self._clock.unix_s() / PARTNER_EPOCH_S)
        if epoch == self._epoch:
            return
        self._epoch = epoch
        self._neighbours = [
            vm
            for vm in self._zone_lists.current(self._zone).entry_vms
            if vm.vm_id != self._vm_id
        ]
        self._partners = neighbours.partners(
            self._vm_id, self._zone, self._zone_lists, epoch
        )
        addresses = {vm.address for vm in self._neighbours + self._partners}
        self._links.keep_only(addresses)
        for address in addresses:
            self._links.to(address)

    def _heartbeat(self, now_s: float) -> messages.Heartbeat:
        lists = self._zone_lists.current(self._zone)
        loads, load_ages = self._loads.columns(lists.engine_ids, now_s)
        return messages.Heartbeat(
            self._zone,
            self._incarnation,
            self._stamp,
            self._configuration.version(),
            lists.list_hash,
            self._members.stamps(lists.entry_vm_ids),
            membership.suspicion_bits(
                lists.entry_vm_ids, self._members.silent(now_s)
            ),
            loads,
            load_ages,
        )

    def _on_heartbeat(
        self, sender_vm_id: str, heartbeat: messages.Heartbeat
    ) -> None:
        now_s = self._clock.monotonic_s()
        self._note_incarnation(sender_vm_id, heartbeat.incarnation, now_s)
        is_ahead = heartbeat.config_version > self._configuration.version()
        self._configuration.note(
            sender_vm_id,
            heartbeat.config_version,
            self._address_of(sender_vm_id) if is_ahead else None,
        )
        if heartbeat.config_version < self._configuration.version():
            self._reply_with_version(sender_vm_id)
        self._demands.note(sender_vm_id, heartbeat)
        lists = self._zone_lists.find(heartbeat.list_hash)
        if heartbeat.availability_zone == self._zone:
            is_new = self._members.note_stamp(
                sender_vm_id, heartbeat.stamp, now_s
            )
            if not is_new:
                return
            if lists is not None:
                self._merge_membership(sender_vm_id, heartbeat, lists, now_s)
        if lists is not None:
            self._loads.merge(
                lists.engine_ids, heartbeat.loads, heartbeat.load_ages, now_s
            )

    def _reply_with_version(self, vm_id: str) -> None:
        """Sends the version in force to a router that runs an older one."""
        address = self._address_of(vm_id)
        if address is not None:
            self._links.to(address).send(self._version_only())

    def _merge_membership(
        self,
        sender_vm_id: str,
        heartbeat: messages.Heartbeat,
        lists: neighbours.ZoneLists,
        now_s: float,
    ) -> None:
        self._members.merge_stamps(lists.entry_vm_ids, heartbeat.stamps, now_s)
        self._members.note_suspicions(
            sender_vm_id,
            lists.entry_vm_ids,
            membership.suspected_in(lists.entry_vm_ids, heartbeat.suspicions),
            now_s,
        )

    def _note_incarnation(
        self, vm_id: str, incarnation: int, now_s: float
    ) -> None:
        known = self._incarnations.get(vm_id, 0)
        if incarnation <= known:
            return
        self._incarnations[vm_id] = incarnation
        if known:
            self._leaving.discard(vm_id)
            self._members.reset_stamp(vm_id, now_s)

    def _on_leaving(self, sender_vm_id: str, notice: messages.Leaving) -> None:
        # A notice that arrives after a restart of the sender may be from its
        # previous process.
        if notice.incarnation >= self._incarnations.get(sender_vm_id, 0):
            self._leaving.add(sender_vm_id)

    def _address_of(self, vm_id: str) -> fleet.Address | None:
        for vm in self._vm_list.vms():
            if vm.vm_id == vm_id and vm.kind == "entry":
                return vm.address
        return None
