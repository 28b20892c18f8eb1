"""What entry VMs tell each other once a second, and what a node learns of it.

Each interval a node sends its picture of the zone to a few neighbours and,
less often, to one node of another zone. Because everybody passes the newest
of everything on, all of the zone know it after some intervals, while the
bytes that a node sends do not grow with the number of neighbours.
"""

import random
import time
from collections.abc import Mapping
from typing import Protocol

import gevent
from loguru import logger

from mulberrywharf import clock, fleet, metrics, settings
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
"""Neighbours of its own zone that a node tells each interval."""

OTHER_ZONES_EVERY_COUNT = 4
"""Every so many intervals a node tells one node of another zone."""

PARTNER_EPOCH_S = 60.0
"""How long a node keeps its partners in the other zones."""

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
    """What the mesh needs of ``VmListReader``."""

    def vms(self) -> list[fleet.VmRecord]:
        """Returns the VM list as last read."""
        ...


class NodeMesh:
    """This node's part in the exchange; one task sends, handlers receive."""

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
        self._told_version = 0
        self._book = neighbours.ListBook()
        self._rotation = neighbours.Rotation()
        self._rotation_elsewhere = neighbours.Rotation()
        self._members = membership.MembershipTable(
            vm_id, suspect_after_s=suspect_after_s, interval_s=interval_s
        )
        self._loads = slices.LoadTable()
        self._incarnations: dict[str, int] = {}
        self._leaving: set[str] = set()
        self._demands = demands.DemandBook()
        self._membership = suspicion.Membership(
            frozenset({vm_id}), frozenset(), frozenset(), False
        )
        self._neighbours: list[fleet.VmRecord] = []
        self._partners: list[fleet.VmRecord] = []
        self._epoch = -1
        self._slice: tuple[fleet.VmRecord, ...] = ()
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
        """Makes the mesh that the settings describe.

        Args:
            config: Settings of the process.
            vm_list: The VM list.
            configuration: The configuration in force here.
            node_links: Links of the process; once a minute the mesh closes
                those that it does not need and nobody uses.
            node_server: Gets the handlers for the mesh's messages.
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
        """Lets other nodes talk to this one."""
        node_server.register(messages.Heartbeat, self._on_heartbeat)
        node_server.register(messages.Leaving, self._on_leaving)
        node_server.register(messages.ConfigFetch, self._configuration.answer)

    def start(self) -> None:
        """Begins to send heartbeats."""
        self._task = gevent.spawn(self._run)

    def close(self) -> None:
        """Stops; the links stay with whoever made them."""
        if self._task is not None:
            self._task.kill()
        self._configuration.close()

    def membership(self) -> suspicion.Membership:
        """Returns who of this zone's entry VMs is alive, itself included."""
        return self._membership

    def live_entry_vms(self) -> list[fleet.VmRecord]:
        """Returns the records of this zone's entry VMs that are alive."""
        lists = self._book.current(self._zone)
        live = self._membership.live
        return [vm for vm in lists.entry_vms if vm.vm_id in live]

    def engine_slice(self) -> tuple[fleet.VmRecord, ...]:
        """Returns the engines whose full load this node reads."""
        return self._slice

    def publish_load(self, report: fleet.LoadReport) -> None:
        """Shares the load of an engine that this node reads."""
        age_s = max(0.0, self._clock.unix_s() - report.reported_unix_s)
        taken_s = self._clock.monotonic_s() - min(age_s, slices.LONGEST_AGE_S)
        self._loads.put(report.engine_id, slices.quantise(report), taken_s)

    def coarse_loads(self) -> Mapping[str, slices.AgedLoad]:
        """Returns what is known of the engines of every zone."""
        return self._loads.read(self._clock.monotonic_s())

    def publish_demand(self, report: shares.DemandReport) -> None:
        """Shares this node's demand from the next heartbeat on."""
        self._demands.publish(report)

    def demand_reports(
        self, round_number: int | None = None
    ) -> Mapping[str, shares.DemandReport]:
        """Returns the report of each node heard, its own included.

        Args:
            round_number: Of which round; the last of each node when None.
                A node whose clock is a little ahead already reports the next
                round while this one still divides by the one before.
        """
        return self._demands.reports(round_number)

    def rotation_s(self) -> float:
        """Returns how long it takes to tell each neighbour of the zone once.

        A round of demand reports has to be longer than that.
        """
        count = len(self._book.current(self._zone).entry_vms) - 1
        return self._interval_s * max(1, -(-count // FAN_OUT_COUNT))

    def config_versions(self) -> Mapping[str, int]:
        """Returns the configuration version last heard from each node."""
        own = {self._vm_id: self._configuration.version()}
        return {**self._configuration.versions(), **own}

    def announce_leaving(self) -> None:
        """Tells the zone that this node stops; called once, at a stop."""
        lists = self._book.current(self._zone)
        for vm in lists.entry_vms:
            if vm.vm_id != self._vm_id:
                self._links.to(vm.address).send(
                    messages.Leaving(self._incarnation)
                )

    def tick(self) -> None:
        """Does the work of one interval: looks, judges, tells."""
        now_s = self._clock.monotonic_s()
        self._ticks_count += 1
        changed = self._follow_vm_list(now_s)
        before = self._membership
        self._judge(now_s)
        if changed or before != self._membership:
            self._assign_slice()
        self._stamp = membership.next_stamp(
            self._stamp, self._clock.unix_s(), self._interval_s
        )
        self._members.note_stamp(self._vm_id, self._stamp, now_s)
        self._tell(now_s)

    def _run(self) -> None:
        while True:
            try:
                self.tick()
            except Exception:
                # A node whose heartbeats end over one odd record would be
                # taken for dead by all the others.
                logger.exception("an interval of the mesh failed")
            gevent.sleep(self._interval_s * random.uniform(0.9, 1.1))

    def _follow_vm_list(self, now_s: float) -> bool:
        if not self._book.update(self._vm_list.vms()):
            return False
        lists = self._book.current(self._zone)
        self._members.expect(lists.entry_vm_ids, now_s)
        self._loads.keep_only(self._book.engine_ids())
        present = {
            vm_id
            for zone in self._book.zones()
            for vm_id in self._book.current(zone).entry_vm_ids
        }
        addresses = {vm.address for vm in lists.entry_vms}
        self._demands.keep_only(present, addresses)
        self._configuration.keep_only(present)
        for vm_id in self._incarnations.keys() - present:
            del self._incarnations[vm_id]
        self._leaving &= present
        self._epoch = -1
        return True

    def _judge(self, now_s: float) -> None:
        vms = [
            vm._replace(state="leaving") if vm.vm_id in self._leaving else vm
            for vm in self._book.current(self._zone).entry_vms
        ]
        self._membership = self._members.judge(vms, now_s)
        _suspected_count.set({}, len(self._membership.suspected))
        _distrusted.set({}, int(self._membership.is_distrusted))
        _sent_bytes.set({}, self._links.traffic.sent_bytes)

    def _assign_slice(self) -> None:
        lists = self._book.current(self._zone)
        live = self._membership.live | {self._vm_id}
        reader_of = slices.readers(lists.engine_ids, live)
        self._slice = tuple(
            vm for vm in lists.engines if reader_of[vm.vm_id] == self._vm_id
        )

    def _tell(self, now_s: float) -> None:
        heartbeat = self._heartbeat(now_s)
        self._choose_links()
        for address in self._rotation.take(self._neighbours, FAN_OUT_COUNT):
            self._demands.tell(self._links.to(address), heartbeat)
        self._tell_version()
        if self._ticks_count % OTHER_ZONES_EVERY_COUNT:
            return
        # Stamps and suspicions concern the own zone only.
        brief = heartbeat._replace(stamps=b"", suspicions=b"")
        for address in self._rotation_elsewhere.take(self._partners, 1):
            self._links.to(address).send(brief)

    def _tell_version(self) -> None:
        """Tells every other zone of a new version, or asks for a first one.

        In its turn, a zone that is cut from the key-value service would hear
        of a change after as many rounds as there are zones, and operators
        would find it in force there last, after 8 s and more.
        """
        version = self._configuration.version()
        if version and version == self._told_version:
            return
        self._told_version = version
        for vm in self._partners:
            self._links.to(vm.address).send(self._version_only())

    def _version_only(self) -> messages.Heartbeat:
        """Returns a heartbeat without the columns of the zone."""
        return messages.Heartbeat(
            self._zone,
            self._incarnation,
            self._stamp,
            self._configuration.version(),
        )

    def _choose_links(self) -> None:
        """Links to all of the zone and to a few partners elsewhere."""
        epoch = int(self._clock.unix_s() / PARTNER_EPOCH_S)
        if epoch == self._epoch:
            return
        self._epoch = epoch
        self._neighbours = [
            vm
            for vm in self._book.current(self._zone).entry_vms
            if vm.vm_id != self._vm_id
        ]
        self._partners = neighbours.partners(
            self._vm_id, self._zone, self._book, epoch
        )
        addresses = {vm.address for vm in self._neighbours + self._partners}
        self._links.keep_only(addresses)
        for address in addresses:
            self._links.to(address)

    def _heartbeat(self, now_s: float) -> messages.Heartbeat:
        lists = self._book.current(self._zone)
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
            self._answer_version(sender_vm_id)
        self._demands.note(sender_vm_id, heartbeat)
        lists = self._book.find(heartbeat.list_hash)
        if heartbeat.availability_zone == self._zone:
            is_new = self._members.note_stamp(
                sender_vm_id, heartbeat.stamp, now_s
            )
            if not is_new:
                return
            if lists is not None:
                self._note_zone(sender_vm_id, heartbeat, lists, now_s)
        if lists is not None:
            self._loads.merge(
                lists.engine_ids, heartbeat.loads, heartbeat.load_ages, now_s
            )

    def _answer_version(self, vm_id: str) -> None:
        """Lets a node that is behind know, without waiting for its turn."""
        address = self._address_of(vm_id)
        if address is not None:
            self._links.to(address).send(self._version_only())

    def _note_zone(
        self,
        sender_vm_id: str,
        heartbeat: messages.Heartbeat,
        lists: neighbours.ZoneLists,
        now_s: float,
    ) -> None:
        self._members.merge_stamps(lists.entry_vm_ids, heartbeat.stamps, now_s)
        self._members.note_word(
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
            self._members.restart(vm_id, now_s)

    def _on_leaving(self, sender_vm_id: str, notice: messages.Leaving) -> None:
        # A notice that arrives after the node's restart is about the process
        # before.
        if notice.incarnation >= self._incarnations.get(sender_vm_id, 0):
            self._leaving.add(sender_vm_id)

    def _address_of(self, vm_id: str) -> fleet.Address | None:
        for vm in self._vm_list.vms():
            if vm.vm_id == vm_id and vm.kind == "entry":
                return vm.address
        return None
