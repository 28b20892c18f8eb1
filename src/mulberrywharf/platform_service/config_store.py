"""Reads and changes the one configuration document of a deployment."""

from loguru import logger
from result import Err, Ok, Result

from mulberrywharf import clock, errors, settings
from mulberrywharf.platform_service import (
    config_change,
    key_value,
)
from mulberrywharf.platform_service import (
    configuration as configuration_module,
)
from mulberrywharf.platform_service.configuration import Configuration
from mulberrywharf.rules.document import Document
from mulberrywharf.rules.parse import check_value

CHANGE_PURPOSE = "config-change"

_ATTEMPTS_COUNT = 5

ConfigError = config_change.ConfigError


class ConfigStore:
    """The configuration in the key-value service."""

    def __init__(
        self,
        client: key_value.KeyValueClient,
        deployment: str,
        *,
        system_clock: clock.Clock | None = None,
    ):
        self._client = client
        self._key = configuration_module.config_key(deployment)
        self._clock = system_clock or clock.SystemClock()

    @classmethod
    def from_config(
        cls, config: settings.Settings, client: key_value.KeyValueClient
    ) -> "ConfigStore":
        """Builds the store of the settings' deployment."""
        return cls(client, config["deployment"])

    def read(self) -> Result[Configuration | None, ConfigError]:
        """Reads the configuration; ``Ok(None)`` if there is none yet.

        Its document is as stored and not checked again.
        """
        return self._read().map(lambda held: held.configuration)

    def change(
        self,
        document: Document,
        author: str,
        note: str,
        change_id: str,
        expected_version: int,
        *,
        seen_version: int = 0,
    ) -> Result[Configuration, ConfigError]:
        """Replaces the document, with its audit entry, in one write.

        Safe to repeat with the same change id: a change that took effect is
        found by its id and reported as accepted, not applied twice.

        Args:
            document: The new document; checked once more here, because one
                that nodes refuse to read would be accepted and in force
                nowhere.
            author: The operator.
            note: Why, for the audit trail.
            change_id: New for each change, the same for its repeats.
            expected_version: The version that the author started from, 0
                for the first.
            seen_version: The highest version that any node runs, as far as
                the author's tool knows.

        Returns:
            The accepted configuration; ``RulesError`` if the document has
            faults; ``ConfigConflictError`` if another change came first;
            ``ConfigStoreBehindError`` if the service lost versions that
            nodes still run; ``ChangeIdReusedError`` if the id belongs to
            another document; with these, nothing of this change is applied.
            ``WriteOutcomeUnknownError`` if it could not
            be found out; repeat with the same id.
        """
        checked = check_value(config_change.as_stored(document), "new document")
        if isinstance(checked, Err):
            return checked
        change = config_change.Change(
            document, author, note, change_id, expected_version, seen_version
        )
        unresolved: errors.PlatformError | None = None
        for _ in range(_ATTEMPTS_COUNT):
            read = self._read()
            if isinstance(read, Err):
                return Err(_unresolved_or(unresolved, read.err_value))
            held = read.ok_value
            refusal = config_change.settled(change, held)
            if refusal is not None:
                return refusal
            written = self._write(change, held)
            if isinstance(written, Ok):
                return written
            failure = written.err_value
            if isinstance(failure, errors.WriteOutcomeUnknownError):
                # The write may be on its way still. The next round sends
                # the same change from the same revision: at most one of
                # them takes effect, and the reading tells that it did.
                unresolved = failure
            elif not isinstance(failure, errors.RevisionConflictError):
                return Err(_unresolved_or(unresolved, failure))
        return Err(
            unresolved
            or errors.PlatformUnavailableError(
                "the configuration kept changing"
            )
        )

    def still_holds(self, accepted: Configuration) -> Result[bool, ConfigError]:
        """Tells whether an accepted change is part of what is stored now.

        It is not, if it was accepted on data that the service had lost and
        nodes have put the newer configuration back since. Whoever waits for
        a change to be in force everywhere asks this at the end: a node with
        a higher version need not have the change.

        Args:
            accepted: What ``change`` returned.

        Returns:
            True also if so many changes followed that its audit entry is no
            longer kept.
        """
        return self._read().map(
            lambda held: config_change.includes(held, accepted)
        )

    def reinstate(
        self, configuration: Configuration
    ) -> Result[bool, ConfigError]:
        """Puts back a configuration that the service has lost.

        A service that comes back from an older backup, or empty, holds less
        than what operators were told is accepted. Left so, the next change
        would get a version that nodes have already passed, and every node
        would ignore it.

        Args:
            configuration: The highest that this node knows.

        Returns:
            Whether it was written; False if the service holds as much.
        """
        failure: ConfigError | None = None
        for _ in range(_ATTEMPTS_COUNT):
            read = self._read()
            if isinstance(read, Err):
                return read
            held = read.ok_value
            if not config_change.is_behind(held, configuration):
                return Ok(False)
            written = self._swap(configuration.raw, held)
            if isinstance(written, Ok):
                logger.warning(
                    "configuration {} put back over version {}",
                    configuration.version,
                    held.version(),
                )
                return Ok(True)
            failure = written.err_value
        assert failure is not None
        return Err(failure)

    def _read(self) -> Result[config_change.Held, ConfigError]:
        read = self._client.get(self._key, purpose=CHANGE_PURPOSE)
        if isinstance(read, Err):
            return read
        found = read.ok_value
        if found is None:
            return Ok(config_change.Held(None, 0))
        decoded = configuration_module.decode_unchecked(found.value)
        if isinstance(decoded, Err):
            return decoded
        return Ok(config_change.Held(decoded.ok_value, found.mod_revision))

    def _write(
        self, change: config_change.Change, held: config_change.Held
    ) -> Result[Configuration, errors.PlatformError]:
        new = config_change.next_configuration(
            change, held, self._clock.unix_s()
        )
        return self._swap(new.raw, held).map(lambda _: new)

    def _swap(
        self, raw: bytes, held: config_change.Held
    ) -> Result[key_value.KeyValue, errors.PlatformError]:
        return self._client.compare_and_swap(
            self._key,
            raw,
            expected_revision=held.mod_revision,
            purpose=CHANGE_PURPOSE,
        )


def _unresolved_or(
    unresolved: errors.PlatformError | None, failure: ConfigError
) -> ConfigError:
    """Keeps "outcome unknown" when a later step fails for another reason.

    The later failure alone would read as "nothing was written".
    """
    return unresolved or failure
