"""A keeper's store: term, vote, log and snapshot on LMDB, each value with a checksum.

One transaction for each ``Persist``, synced before ``write`` returns. The environment is one broker's, of one
fleet. LMDB checks no pages of its own: a file that was cut short or overwritten may end the process that maps
it. So a store that is opened is looked through by a child process first (``quincepath.store.check``).
"""

import subprocess
import sys
import zlib
from pathlib import Path
from typing import TypeVar

import lmdb
import msgspec

from quincepath.fleet.agreement.core import Persist
from quincepath.fleet.agreement.entries import Entry, Log, Snapshot, Stable
from quincepath.fleet.agreement.storing import StoreError, Trouble

SCHEMA = 1
SIZE = 256 << 20  # bytes that the environment may grow to: the log is compacted long before
CHECK_TIME = 30.0  # seconds that looking through may take
META, HARD, SNAPSHOT, ENTRY = b"meta", b"hard", b"snapshot", b"entry"
BROKEN = (lmdb.CorruptedError, lmdb.InvalidError, lmdb.VersionMismatchError, lmdb.PageNotFoundError)
SUM = 4  # bytes of a checksum


class Owner(msgspec.Struct, frozen=True):
    """Whose store it is; stands in it."""

    schema: int
    fleet: str
    member: str


class Hard(msgspec.Struct, frozen=True):
    """What a keeper must not forget, beside its log."""

    term: int
    vote: str
    epoch: int


T = TypeVar("T", Owner, Hard, Snapshot, Entry)
_encoder = msgspec.msgpack.Encoder()


def encode_record(value: msgspec.Struct) -> bytes:
    """A value as it is stored: checksum, then msgpack."""
    data = _encoder.encode(value)
    return zlib.crc32(data).to_bytes(SUM) + data


def decode_record(data: bytes | None, kind: type[T], what: str) -> T:
    """Back again. Raises ``StoreError`` where the checksum or the shape is wrong."""
    if data is None:
        raise StoreError(Trouble.DAMAGED, f"{what} is missing")
    if zlib.crc32(data[SUM:]).to_bytes(SUM) != data[:SUM]:
        raise StoreError(Trouble.DAMAGED, f"{what}: its checksum is wrong")
    try:
        return msgspec.msgpack.decode(data[SUM:], type=kind)
    except msgspec.MsgspecError as error:
        raise StoreError(Trouble.DAMAGED, f"{what}: {error}") from None


def entry_key(index: int) -> bytes:
    """In the order of the log."""
    return ENTRY + index.to_bytes(8)


def to_store_error(error: Exception, path: Path) -> StoreError:
    """What an error of LMDB or of the system means."""
    text = f"{path}: {error}"
    if isinstance(error, lmdb.MapFullError) or "No space left" in str(error):
        return StoreError(Trouble.FULL, text)
    if isinstance(error, lmdb.ReadonlyError) or "Read-only file system" in str(error):
        return StoreError(Trouble.READ_ONLY, text)
    if isinstance(error, BROKEN):
        return StoreError(Trouble.DAMAGED, text)
    return StoreError(Trouble.UNREACHABLE, text)


def verify_in_subprocess(path: Path) -> None:
    """Read all of a store in a child process. Raises ``StoreError`` with what it found, or how it died."""
    if not (path / "data.mdb").exists():
        return
    words = [sys.executable, "-m", "quincepath.store.check", str(path)]
    try:
        found = subprocess.run(words, capture_output=True, text=True, timeout=CHECK_TIME)
    except subprocess.TimeoutExpired:
        raise StoreError(Trouble.DAMAGED, f"{path}: looking through it took {CHECK_TIME:g} s") from None
    if found.returncode < 0:
        raise StoreError(Trouble.DAMAGED, f"{path}: reading it ended a process (signal {-found.returncode})")
    if found.returncode:
        cause, _, text = found.stdout.strip().partition(": ")
        known = {trouble.value: trouble for trouble in Trouble}
        raise StoreError(known.get(cause, Trouble.DAMAGED), text or found.stderr.strip()[-300:])


def load(env: lmdb.Environment) -> tuple[Owner, Stable]:
    """All that a store holds. Raises ``StoreError`` where it does not hold together."""
    with env.begin() as txn:
        owner = decode_record(txn.get(META), Owner, "owner")
        if owner.schema > SCHEMA:
            raise StoreError(Trouble.NEWER, f"schema {owner.schema}, this program reads up to {SCHEMA}")
        hard = decode_record(txn.get(HARD), Hard, "term and vote")
        snapshot = decode_record(txn.get(SNAPSHOT), Snapshot, "snapshot")
        entries: list[Entry] = []
        cursor = txn.cursor()
        if cursor.set_range(ENTRY):
            for key, value in cursor:
                if not key.startswith(ENTRY):
                    break
                entry = decode_record(bytes(value), Entry, f"entry {int.from_bytes(key[len(ENTRY) :])}")
                wanted = snapshot.index + len(entries) + 1
                if entry.index != wanted or key != entry_key(wanted):
                    raise StoreError(Trouble.DAMAGED, f"entry {wanted} is missing")
                entries.append(entry)
    return owner, Stable(Log(snapshot, entries), hard.term, hard.vote, hard.epoch)


class ConsensusStore:
    """One broker's store. ``stable`` is what a keeper begins with; each opening is a start of its own."""

    def __init__(
        self, path: Path, fleet: str, member: str, first: Stable, size: int = SIZE, check: bool = True
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
            self.stable = self._begin(Owner(SCHEMA, fleet, member), first)
        except BaseException:
            self.env.close()
            raise

    def _begin(self, owner: Owner, first: Stable) -> Stable:
        with self.env.begin() as txn:
            new = txn.get(META) is None
        if new:
            stable = first
        else:
            found, stable = load(self.env)
            if (found.fleet, found.member) != (owner.fleet, owner.member):
                whose = f"{found.member!r} of fleet {found.fleet!r}"
                text = f"{self.path} is of {whose}, expected {owner.member!r} of fleet {owner.fleet!r}"
                raise StoreError(Trouble.FOREIGN, text)
            stable.epoch += 1
        try:
            with self.env.begin(write=True) as txn:
                txn.put(META, encode_record(owner))
                txn.put(HARD, encode_record(Hard(stable.term, stable.vote, stable.epoch)))
                if new:
                    txn.put(SNAPSHOT, encode_record(stable.log.snapshot))
        except lmdb.Error as error:
            raise to_store_error(error, self.path) from None
        return stable

    def write(self, order: Persist) -> None:
        """Carry out one ``Persist``; on disk when this returns. Raises ``StoreError``: nothing changed."""
        try:
            with self.env.begin(write=True) as txn:
                txn.put(HARD, encode_record(Hard(order.term, order.vote, self.stable.epoch)))
                if order.snapshot is not None:
                    self._cut(txn, 0)
                    txn.put(SNAPSHOT, encode_record(order.snapshot))
                elif order.cut:
                    self._cut(txn, order.cut)
                if order.entries:
                    self._cut(txn, order.entries[0].index)
                for entry in order.entries:
                    txn.put(entry_key(entry.index), encode_record(entry))
        except lmdb.Error as error:
            raise to_store_error(error, self.path) from None

    @staticmethod
    def _cut(txn: lmdb.Transaction, first: int) -> None:
        """Entries from ``first`` on are void; from 0: all."""
        cursor = txn.cursor()
        if cursor.set_range(entry_key(first)):
            while cursor.key().startswith(ENTRY):
                if not cursor.delete():
                    break

    def close(self) -> None:
        """Give it back."""
        self.env.close()
