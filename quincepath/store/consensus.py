"""Consensus state of a voter on LMDB: term, vote, log and snapshot, each value with a checksum.

Each ``Persist`` is one transaction, synced before ``write`` returns. An environment belongs to one broker of
one fleet. LMDB does not verify its pages: a truncated or overwritten file may crash the process that maps it.
Therefore a child process verifies a store before it is opened (``quincepath.store.check``).
"""

import subprocess
import sys
import zlib
from pathlib import Path
from typing import TypeVar

import lmdb
import msgspec

from quincepath.fleet.consensus.core import Persist
from quincepath.fleet.consensus.entries import Entry, Log, Snapshot, StableState
from quincepath.fleet.consensus.storage import StoreError, StoreErrorCause

SCHEMA = 1
MAX_STORE_BYTES = 256 << 20  # of the environment; the log is compacted long before
CHECK_TIMEOUT_S = 30.0  # for verification by the child process
META, HARD_STATE, SNAPSHOT, ENTRY = b"meta", b"hard", b"snapshot", b"entry"
CORRUPTION_ERRORS = (
    lmdb.CorruptedError,
    lmdb.InvalidError,
    lmdb.VersionMismatchError,
    lmdb.PageNotFoundError,
)
CHECKSUM_BYTES = 4


class Owner(msgspec.Struct, frozen=True):
    """The owner of a store, recorded in it."""

    schema: int
    fleet: str
    member: str


class HardState(msgspec.Struct, frozen=True):
    """What a voter must persist besides its log."""

    term: int
    vote: str
    epoch: int


T = TypeVar("T", Owner, HardState, Snapshot, Entry)
_encoder = msgspec.msgpack.Encoder()


def encode_record(value: msgspec.Struct) -> bytes:
    """Encode a value for storage: checksum, then msgpack."""
    data = _encoder.encode(value)
    return zlib.crc32(data).to_bytes(CHECKSUM_BYTES) + data


def decode_record(data: bytes | None, kind: type[T], name: str) -> T:
    """Decode a stored value. Raises ``StoreError`` if the checksum or the structure is invalid."""
    if data is None:
        raise StoreError(StoreErrorCause.DAMAGED, f"{name} is missing")
    if zlib.crc32(data[CHECKSUM_BYTES:]).to_bytes(CHECKSUM_BYTES) != data[:CHECKSUM_BYTES]:
        raise StoreError(StoreErrorCause.DAMAGED, f"{name}: checksum mismatch")
    try:
        return msgspec.msgpack.decode(data[CHECKSUM_BYTES:], type=kind)
    except msgspec.MsgspecError as error:
        raise StoreError(StoreErrorCause.DAMAGED, f"{name}: {error}") from None


def entry_key(index: int) -> bytes:
    """The key of a log entry; keys sort by index."""
    return ENTRY + index.to_bytes(8)


def to_store_error(error: Exception, path: Path) -> StoreError:
    """Convert an error of LMDB or of the operating system."""
    text = f"{path}: {error}"
    if isinstance(error, lmdb.MapFullError) or "No space left" in str(error):
        return StoreError(StoreErrorCause.FULL, text)
    if isinstance(error, lmdb.ReadonlyError) or "Read-only file system" in str(error):
        return StoreError(StoreErrorCause.READ_ONLY, text)
    if isinstance(error, CORRUPTION_ERRORS):
        return StoreError(StoreErrorCause.DAMAGED, text)
    return StoreError(StoreErrorCause.UNREACHABLE, text)


def verify_in_subprocess(path: Path) -> None:
    """Verify a store in a child process. Raises ``StoreError`` with its finding or the way it crashed."""
    if not (path / "data.mdb").exists():
        return
    command = [sys.executable, "-m", "quincepath.store.check", str(path)]
    try:
        result = subprocess.run(command, capture_output=True, text=True, timeout=CHECK_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        raise StoreError(
            StoreErrorCause.DAMAGED, f"{path}: verification took longer than {CHECK_TIMEOUT_S:g} s"
        ) from None
    if result.returncode < 0:
        raise StoreError(
            StoreErrorCause.DAMAGED, f"{path}: verification crashed (signal {-result.returncode})"
        )
    if result.returncode:
        cause, _, text = result.stdout.strip().partition(": ")
        by_value = {member.value: member for member in StoreErrorCause}
        raise StoreError(by_value.get(cause, StoreErrorCause.DAMAGED), text or result.stderr.strip()[-300:])


def load(env: lmdb.Environment) -> tuple[Owner, StableState]:
    """Read the whole store. Raises ``StoreError`` if it is invalid or inconsistent."""
    with env.begin() as txn:
        owner = decode_record(txn.get(META), Owner, "owner")
        if owner.schema > SCHEMA:
            raise StoreError(
                StoreErrorCause.NEWER, f"schema {owner.schema}, this version reads up to {SCHEMA}"
            )
        hard_state = decode_record(txn.get(HARD_STATE), HardState, "term and vote")
        snapshot = decode_record(txn.get(SNAPSHOT), Snapshot, "snapshot")
        entries: list[Entry] = []
        cursor = txn.cursor()
        if cursor.set_range(ENTRY):
            for key, value in cursor:
                if not key.startswith(ENTRY):
                    break
                entry = decode_record(bytes(value), Entry, f"entry {int.from_bytes(key[len(ENTRY) :])}")
                expected = snapshot.index + len(entries) + 1
                if entry.index != expected or key != entry_key(expected):
                    raise StoreError(StoreErrorCause.DAMAGED, f"entry {expected} is missing")
                entries.append(entry)
    return owner, StableState(Log(snapshot, entries), hard_state.term, hard_state.vote, hard_state.epoch)


class ConsensusStore:
    """The store of one voter. ``stable`` is its initial state; each opening increments the epoch."""

    def __init__(
        self,
        path: Path,
        fleet: str,
        member: str,
        initial: StableState,
        size: int = MAX_STORE_BYTES,
        check: bool = True,
    ) -> None:
        self.path = path
        if check:
            verify_in_subprocess(path)
        try:
            path.mkdir(parents=True, exist_ok=True)
            self.env = lmdb.open(str(path), map_size=size, subdir=True, max_dbs=0)
        except (OSError, lmdb.Error) as error:
            raise to_store_error(error, path) from None
        try:
            self.stable = self._open_state(Owner(SCHEMA, fleet, member), initial)
        except BaseException:
            self.env.close()
            raise

    def _open_state(self, owner: Owner, initial: StableState) -> StableState:
        with self.env.begin() as txn:
            new = txn.get(META) is None
        if new:
            stable = initial
        else:
            recorded, stable = load(self.env)
            if (recorded.fleet, recorded.member) != (owner.fleet, owner.member):
                actual = f"{recorded.member!r} of fleet {recorded.fleet!r}"
                text = f"{self.path} belongs to {actual}, expected {owner.member!r} of fleet {owner.fleet!r}"
                raise StoreError(StoreErrorCause.FOREIGN, text)
            stable.epoch += 1
        try:
            with self.env.begin(write=True) as txn:
                txn.put(META, encode_record(owner))
                txn.put(HARD_STATE, encode_record(HardState(stable.term, stable.vote, stable.epoch)))
                if new:
                    txn.put(SNAPSHOT, encode_record(stable.log.snapshot))
        except lmdb.Error as error:
            raise to_store_error(error, self.path) from None
        return stable

    def write(self, change: Persist) -> None:
        """Persist one change; on disk when this returns. If it raises ``StoreError``, nothing has changed."""
        try:
            with self.env.begin(write=True) as txn:
                txn.put(HARD_STATE, encode_record(HardState(change.term, change.vote, self.stable.epoch)))
                if change.snapshot is not None:
                    self._delete_from(txn, 0)
                    txn.put(SNAPSHOT, encode_record(change.snapshot))
                elif change.truncate_from:
                    self._delete_from(txn, change.truncate_from)
                if change.entries:
                    self._delete_from(txn, change.entries[0].index)
                for entry in change.entries:
                    txn.put(entry_key(entry.index), encode_record(entry))
        except lmdb.Error as error:
            raise to_store_error(error, self.path) from None

    @staticmethod
    def _delete_from(txn: lmdb.Transaction, first: int) -> None:
        """Delete the entries from index ``first`` on; 0 deletes all."""
        cursor = txn.cursor()
        if cursor.set_range(entry_key(first)):
            while cursor.key().startswith(ENTRY):
                if not cursor.delete():
                    break

    def close(self) -> None:
        """Close the LMDB environment."""
        self.env.close()
