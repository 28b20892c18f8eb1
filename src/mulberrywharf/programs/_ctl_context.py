"""Gives the commands of mulberryctl access to the platform and the nodes."""

import argparse
import os
from collections import Counter
from collections.abc import Sequence
from typing import Any

import orjson
from result import Err, Ok, Result

from mulberrywharf import errors, settings
from mulberrywharf.authority import order_records
from mulberrywharf.fleet import Address, VmRecord
from mulberrywharf.operators import client
from mulberrywharf.platform_service import config_store, key_value, vm_list
from mulberrywharf.platform_service.configuration import Configuration
from mulberrywharf.rules import Document, FleetSize, parse

_PURPOSE = "mulberryctl"
_GLOBAL_ADVICE = (
    "Put --deployment NAME --platform IP:PORT --vm-list IP:PORT before the "
    "command; see mulberryctl --help."
)
_FILE_LIMIT_BYTES = 4 * 1024 * 1024


class Context:
    """Holds the arguments and the connections of one run.

    Attributes:
        arguments: The parsed command line.
        token: The operator's token, empty if there is none.
    """

    def __init__(self, arguments: argparse.Namespace, token: str):
        self.arguments = arguments
        self.token = token
        self._key_value: key_value.KeyValueClient | None = None

    @classmethod
    def from_arguments(cls, arguments: argparse.Namespace) -> "Context":
        """Creates a context with the token from the environment."""
        token = os.environ.get(arguments.operator_token_env, "")
        return cls(arguments, token)

    def close(self) -> None:
        """Closes every connection."""
        if self._key_value is not None:
            self._key_value.close()

    def config_store(
        self,
    ) -> Result[config_store.ConfigStore, errors.UsageError]:
        """Returns the store of the deployment's configuration."""
        opened = self._open_key_value()
        if isinstance(opened, Err):
            return opened
        return Ok(
            config_store.ConfigStore(
                opened.ok_value, deployment=self.arguments.deployment
            )
        )

    def configuration(
        self,
    ) -> Result[Configuration | None, errors.MulberryError]:
        """Reads the configuration in force; None if there is none yet."""
        store = self.config_store()
        if isinstance(store, Err):
            return store
        return store.ok_value.read()

    def vms(self) -> Result[list[VmRecord], errors.MulberryError]:
        """Reads the VM list once."""
        address = self.arguments.vm_list
        if address is None and self.arguments.platform:
            address = self.arguments.platform[0]
        if address is None:
            return Err(
                errors.UsageError(
                    "--vm-list or --platform is required",
                    advice=_GLOBAL_ADVICE,
                )
            )
        reader = vm_list.VmListReader(
            _endpoint(address), timeout_s=self.arguments.timeout_s
        )
        try:
            read = reader.read_once()
            if isinstance(read, Ok):
                return Ok(reader.vms())
        finally:
            reader.close()
        read.err_value.advice = (
            "Pass the VM list's address with --vm-list; the request went to "
            f"--platform, {address}."
            if self.arguments.vm_list is None
            else "Pass the nodes' admin listeners with --node until the VM "
            "list can be read."
        )
        return read

    def fleet_size(self) -> Result[FleetSize, errors.MulberryError]:
        """Counts the engines of each zone in the VM list."""
        return self.vms().map(
            lambda vms: FleetSize(
                Counter(
                    vm.availability_zone for vm in vms if vm.kind == "engine"
                )
            )
        )

    def node_addresses(self) -> Result[list[Address], errors.MulberryError]:
        """Returns the admin listeners given with --node, or all known ones.

        The VM list lags behind the fleet. A new node that it does not contain
        yet is left out; a stopped node that it still contains is later
        reported as not reached.
        """
        if self.arguments.node:
            return Ok(list(self.arguments.node))
        found = self.vms()
        if isinstance(found, Err):
            return found
        routers = [
            vm.operators_address
            for vm in found.ok_value
            if vm.kind == "entry" and vm.operators_address is not None
        ]
        # An address may be both in the VM list and in a controller's lease.
        return Ok(list(dict.fromkeys([*routers, *self._controllers()])))

    def statuses(self, addresses: Sequence[Address]) -> list[client.NodeAnswer]:
        """Reads the status of several nodes."""
        return client.read_all(addresses, self.token, self.arguments.timeout_s)

    def order_records(
        self,
    ) -> Result[dict[str, order_records.OrderRecord], errors.MulberryError]:
        """Reads the latest order of every engine in all zones, by engine."""
        found = self._read_prefix("orders")
        if isinstance(found, Err):
            return found
        records: dict[str, order_records.OrderRecord] = {}
        for stored in found.ok_value:
            decoded = order_records.decode(stored.value)
            if isinstance(decoded, Err):
                return decoded
            records |= decoded.ok_value.records
        return Ok(records)

    def _controllers(self) -> list[Address]:
        found = self._read_prefix("controllers")
        if isinstance(found, Err):
            return []
        return [
            address
            for stored in found.ok_value
            if (address := _holder_address(stored.value)) is not None
        ]

    def _read_prefix(
        self, name: str
    ) -> Result[list[key_value.KeyValue], errors.MulberryError]:
        opened = self._open_key_value()
        if isinstance(opened, Err):
            return opened
        prefix = f"/mulberry/{self.arguments.deployment}/{name}/"
        return opened.ok_value.get_prefix(prefix, purpose=_PURPOSE)

    def _open_key_value(
        self,
    ) -> Result[key_value.KeyValueClient, errors.UsageError]:
        if self._key_value is not None:
            return Ok(self._key_value)
        if not self.arguments.platform or not self.arguments.deployment:
            return Err(
                errors.UsageError(
                    "--platform and --deployment are required",
                    advice=_GLOBAL_ADVICE,
                )
            )
        self._key_value = key_value.KeyValueClient(
            [_endpoint(address) for address in self.arguments.platform],
            timeout_s=self.arguments.timeout_s,
        )
        self._key_value.start()
        return Ok(self._key_value)


def read_document(
    path: str,
) -> Result[tuple[str, Document], errors.RulesError]:
    """Reads and checks a file with a rules document.

    Returns:
        The text of the file and the document.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read(_FILE_LIMIT_BYTES)
    except (OSError, UnicodeDecodeError) as error:
        fault = errors.Fault("file", str(error), "pass a readable UTF-8 file")
        return Err(errors.RulesError(path, [fault]))
    return parse(text, path).map(lambda document: (text, document))


def _endpoint(address: Address) -> settings.Endpoint:
    endpoint: Any = {"ip": address.ip, "port": address.port}
    return endpoint


def _holder_address(stored: bytes) -> Address | None:
    """Returns the admin listener in a stored controller lease, if present."""
    try:
        value = orjson.loads(stored)
        return Address(str(value["operators_ip"]), int(value["operators_port"]))
    except (ValueError, KeyError, TypeError):
        return None
