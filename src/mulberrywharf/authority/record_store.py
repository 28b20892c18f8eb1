"""Reads and writes the zone's order records under the controller's lease."""

import itertools
from typing import NamedTuple

from result import Err, Ok, Result

from mulberrywharf import errors
from mulberrywharf.authority import order_records
from mulberrywharf.platform_service import key_value

_PURPOSE = "orders"
_WRITE_ATTEMPTS = 4

StoreError = errors.PlatformError | errors.OrderRecordsError


class LeaseKey(NamedTuple):
    """The key that exists while a lease is held, and its revision.

    A write with a ``key_value.Guard`` of these two values fails once the lease
    is lost.

    Attributes:
        key: Key, such as ``/mulberry/D/controllers/ZONE``.
        mod_revision: Revision of the key since the holder created it. The key
            is not changed after that, so this is also the lease's fencing
            number.
    """

    key: str
    mod_revision: int


class RecordStore:
    """A lease holder's view of the zone's order records.

    Every write is conditional on two revisions: those of the records and of the
    lease key. A holder that lost the lease while it was suspended therefore
    cannot write, because its lease key was deleted, or another holder has
    created it again.
    """

    def __init__(
        self,
        key_value_client: key_value.KeyValueClient,
        key: str,
        *,
        guarded: bool = True,
    ):
        self._key_value = key_value_client
        self._key = key
        self._guarded = guarded
        self._write_numbers = itertools.count(1)
        self.zone_records = order_records.EMPTY
        self.must_load = True
        self._revision = 0

    def load(self) -> Result[order_records.ZoneRecords, StoreError]:
        """Reads the current records.

        Must be called before the first write, and again while ``must_load`` is
        set because an earlier write may or may not have taken effect.
        """
        answer = self._key_value.get(self._key, purpose=_PURPOSE)
        if isinstance(answer, Err):
            return answer
        stored = answer.ok_value
        if stored is None:
            self._revision = 0
            self.zone_records = order_records.EMPTY
            self.must_load = False
            return Ok(self.zone_records)
        decoded = order_records.decode(stored.value)
        if isinstance(decoded, Err):
            return decoded
        self._revision = stored.mod_revision
        self.zone_records = decoded.ok_value
        self.must_load = False
        return decoded

    def write(
        self,
        zone_records: order_records.ZoneRecords,
        lease_key: LeaseKey,
    ) -> Result[None, StoreError]:
        """Replaces the records if the lease is still held.

        If the response is lost, the stored write id tells whether the write
        took effect. Sending the write again is safe: both attempts require the
        same revision, so only one can succeed.

        Args:
            zone_records: All records, with this holder.
            lease_key: Key of the lease; the write fails if the key has changed.

        Returns:
            Nothing if the records were written; AuthorityLostError if another
            process holds the lease or has written the records; another error
            if the write failed.
        """
        assert zone_records.holder is not None
        number = next(self._write_numbers)
        write_id = f"{zone_records.holder.fencing_number}-{number}"
        value = order_records.encode(zone_records, write_id)
        for _ in range(_WRITE_ATTEMPTS):
            result = self._write_once(value, write_id, lease_key)
            if isinstance(result, Ok):
                self._revision = result.ok_value
                self.zone_records = zone_records
                return Ok(None)
            error = result.err_value
            if not isinstance(error, errors.WriteOutcomeUnknownError):
                break
        self.must_load = True
        return Err(error)

    def _write_once(
        self, value: bytes, write_id: str, lease_key: LeaseKey
    ) -> Result[int, StoreError]:
        guard = key_value.Guard(lease_key.key, lease_key.mod_revision)
        answer = self._key_value.compare_and_swap(
            self._key,
            value,
            expected_revision=self._revision,
            guards=[guard] if self._guarded else [],
            purpose=_PURPOSE,
        )
        if isinstance(answer, Ok):
            return Ok(answer.ok_value.mod_revision)
        error = answer.err_value
        if isinstance(
            error,
            errors.WriteOutcomeUnknownError | errors.RevisionConflictError,
        ):
            return self._read_back(write_id, lease_key, error)
        return Err(error)

    def _read_back(
        self, write_id: str, lease_key: LeaseKey, error: errors.PlatformError
    ) -> Result[int, StoreError]:
        answer = self._key_value.get(self._key, purpose=_PURPOSE)
        if isinstance(answer, Err):
            return Err(
                errors.WriteOutcomeUnknownError(answer.err_value.message)
            )
        stored = answer.ok_value
        revision = 0 if stored is None else stored.mod_revision
        if revision == self._revision:
            return Err(self._error_if_unchanged(error))
        if stored is None:
            return Err(errors.AuthorityLostError(f"{self._key} was deleted"))
        if order_records.write_id_of(stored.value) == write_id:
            return Ok(revision)
        return Err(self._error_if_changed(stored.value, lease_key))

    def _error_if_unchanged(
        self, error: errors.PlatformError
    ) -> errors.PlatformError:
        if isinstance(error, errors.RevisionConflictError):
            return errors.AuthorityLostError(
                f"{self._key}: the lease key was deleted or has another holder"
            )
        return error

    def _error_if_changed(
        self, value: bytes, lease_key: LeaseKey
    ) -> errors.PlatformError:
        """Returns the error for a value that has changed.

        RevisionConflictError if this holder wrote it, else AuthorityLostError.
        """
        decoded = order_records.decode(value)
        if isinstance(decoded, Ok):
            holder = decoded.ok_value.holder
            number = 0 if holder is None else holder.fencing_number
            if number == lease_key.mod_revision:
                return errors.RevisionConflictError(self._key)
        return errors.AuthorityLostError(
            f"{self._key} was written by another holder"
        )
