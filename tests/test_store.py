"""The consensus store: synced writes survive any crash, and each kind of damage is reported."""

import os
import random
import signal
import subprocess
import sys
from pathlib import Path

import lmdb
import pytest

from quincepath.fleet.consensus.core import Persist
from quincepath.fleet.consensus.entries import Entry, Snapshot, StableState, initial_state
from quincepath.fleet.consensus.storage import StoreError, StoreErrorCause
from quincepath.store.consensus import META, ConsensusStore, Owner, encode_record

VOTERS = ("k0", "k1", "k2")


def open_store(path: Path, member: str = "k0", fleet: str = "lab", size: int = 1 << 24) -> ConsensusStore:
    return ConsensusStore(path, fleet, member, initial_state(VOTERS, b"begin"), size)


def reopen(path: Path) -> StableState:
    store = open_store(path)
    store.close()
    return store.stable


def entries(begin: int, end: int, term: int = 1) -> tuple[Entry, ...]:
    return tuple(Entry(n, term, b"%d" % n * 50) for n in range(begin, end + 1))


def test_everything_persisted_is_read_back_on_reopening(tmp_path: Path) -> None:
    store = open_store(tmp_path / "s")
    assert store.stable.epoch == 1 and store.stable.log.snapshot == Snapshot(0, 0, VOTERS, b"begin")
    store.write(Persist(1, "k1", 0, entries(1, 5)))
    store.write(Persist(2, "", 4, entries(4, 4, 2)))
    store.close()
    stable = reopen(tmp_path / "s")
    assert (stable.term, stable.vote, stable.epoch) == (2, "", 2)
    assert stable.log.entries == [*entries(1, 3), *entries(4, 4, 2)]
    store = open_store(tmp_path / "s")
    store.write(Persist(3, "k2", 0, entries(4, 4, 2), Snapshot(3, 1, VOTERS, b"three")))
    store.write(Persist(3, "k2", 0, entries(5, 6, 3)))
    store.close()
    stable = reopen(tmp_path / "s")
    assert stable.log.snapshot.data == b"three" and stable.log.last_index == 6 and stable.epoch == 4
    assert [entry.index for entry in stable.log.entries] == [4, 5, 6]


def test_a_snapshot_without_entries_deletes_the_old_entries(tmp_path: Path) -> None:
    store = open_store(tmp_path / "s")
    store.write(Persist(1, "", 0, entries(1, 300)))
    store.write(Persist(2, "", 0, (), Snapshot(500, 2, VOTERS, b"x")))
    store.write(Persist(2, "", 0, entries(501, 502, 2)))
    store.close()
    assert [entry.index for entry in reopen(tmp_path / "s").log.entries] == [501, 502]


WRITER = """
import sys
from pathlib import Path
from quincepath.fleet.consensus.core import Persist
from quincepath.fleet.consensus.entries import Entry, Snapshot, initial_state
from quincepath.store.consensus import ConsensusStore
store = ConsensusStore(Path(sys.argv[1]), "lab", "k0", initial_state(("k0",)), check=False)
index = store.stable.log.last_index
while True:
    index += 1
    store.write(Persist(index, "k0", 0, (Entry(index, index, b"%d" % index * 200),)))
    if index % 40 == 0:
        store.write(Persist(index, "k0", 0, (), Snapshot(index, index, ("k0",), b"s%d" % index)))
    print(index, flush=True)
"""


def test_a_writer_killed_at_any_moment_keeps_what_it_reported(tmp_path: Path) -> None:
    source = random.Random(1)
    last = 0
    for _ in range(6):
        writer = subprocess.Popen(
            [sys.executable, "-c", WRITER, str(tmp_path / "s")], stdout=subprocess.PIPE, text=True
        )
        assert writer.stdout is not None
        for _ in range(source.randrange(1, 60)):
            last = int(writer.stdout.readline())
        writer.send_signal(signal.SIGKILL)
        writer.wait()
        rest = writer.stdout.read().split("\n")
        writer.stdout.close()
        last = max([last, *(int(line) for line in rest[:-1])])
        store = ConsensusStore(tmp_path / "s", "lab", "k0", initial_state(("k0",)))
        store.close()
        # The entry being written at the kill, and a snapshot of it, may be present or not.
        assert last <= store.stable.log.last_index <= last + 1
        assert store.stable.term == store.stable.log.last_index


def test_a_store_of_another_broker_or_fleet_is_rejected_with_its_owner(tmp_path: Path) -> None:
    open_store(tmp_path / "s").close()
    for member, fleet in (("k1", "lab"), ("k0", "orchard")):
        with pytest.raises(StoreError) as error:
            open_store(tmp_path / "s", member, fleet)
        assert error.value.cause is StoreErrorCause.FOREIGN and "'k0' of fleet 'lab'" in str(error.value)


def test_a_store_with_a_newer_schema_is_rejected(tmp_path: Path) -> None:
    store = open_store(tmp_path / "s")
    with store.env.begin(write=True) as txn:
        txn.put(META, encode_record(Owner(9, "lab", "k0")))
    store.close()
    with pytest.raises(StoreError) as error:
        open_store(tmp_path / "s")
    assert error.value.cause is StoreErrorCause.NEWER and "schema 9" in str(error.value)


def test_a_full_store_is_reported_and_keeps_its_entries(tmp_path: Path) -> None:
    store = open_store(tmp_path / "s", size=256 * 1024)
    with pytest.raises(StoreError) as error:
        for index in range(1, 2000):
            store.write(Persist(1, "", 0, (Entry(index, 1, b"x" * 1000),)))
    store.close()
    assert error.value.cause is StoreErrorCause.FULL
    kept = reopen(tmp_path / "s").log
    assert kept.last_index > 20 and [entry.index for entry in kept.entries] == list(
        range(1, kept.last_index + 1)
    )


@pytest.mark.parametrize("how", ["value", "hole", "missing", "cut", "garbage", "zeros"])
def test_a_damaged_store_is_reported_without_a_crash(how: str, tmp_path: Path) -> None:
    path = tmp_path / "s"
    store = open_store(path)
    store.write(Persist(1, "", 0, entries(1, 200)))
    if how in ("value", "hole", "missing"):
        with store.env.begin(write=True) as txn:
            if how == "value":
                key = b"entry" + (7).to_bytes(8)
                sealed = bytearray(txn.get(key))
                sealed[-1] ^= 1
                txn.put(key, bytes(sealed))
            elif how == "hole":
                txn.delete(b"entry" + (7).to_bytes(8))
            else:
                txn.delete(b"hard")
    store.close()
    data = path / "data.mdb"
    size = data.stat().st_size
    if how == "cut":
        os.truncate(data, size // 2)
    elif how in ("garbage", "zeros"):
        with data.open("r+b") as file:
            file.seek(8192)
            file.write(random.Random(2).randbytes(size - 8192) if how == "garbage" else bytes(size - 8192))
    with pytest.raises(StoreError) as error:
        open_store(path)
    assert error.value.cause is StoreErrorCause.DAMAGED and str(error.value).startswith("damaged: ")


def test_an_unusable_path_is_reported(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("x")
    with pytest.raises(StoreError) as error:
        open_store(tmp_path / "file" / "s")
    assert error.value.cause is StoreErrorCause.UNREACHABLE


def test_a_read_only_store_is_reported(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    store = open_store(tmp_path / "s")
    store.env.close()
    store.env = lmdb.open(str(tmp_path / "s"), readonly=True)
    with pytest.raises(StoreError) as error:
        store.write(Persist(1, "", 0, entries(1, 1)))
    assert error.value.cause is StoreErrorCause.READ_ONLY
    store.close()
