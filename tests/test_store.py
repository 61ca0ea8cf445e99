"""The keepers' store: what was synced is there after any death, and what is wrong is told by name."""

import os
import random
import signal
import subprocess
import sys
from pathlib import Path

import lmdb
import pytest

from quincepath.fleet.agreement.core import Persist
from quincepath.fleet.agreement.entries import Entry, Snapshot, Stable, first
from quincepath.fleet.agreement.storing import StoreError, Trouble
from quincepath.store.consensus import META, ConsensusStore, Owner, encode_record

KEEPERS = ("k0", "k1", "k2")


def store(path: Path, member: str = "k0", fleet: str = "lab", size: int = 1 << 24) -> ConsensusStore:
    return ConsensusStore(path, fleet, member, first(KEEPERS, b"begin"), size)


def again(path: Path) -> Stable:
    one = store(path)
    one.close()
    return one.stable


def entries(begin: int, end: int, term: int = 1) -> tuple[Entry, ...]:
    return tuple(Entry(n, term, b"%d" % n * 50) for n in range(begin, end + 1))


def test_all_that_a_keeper_persists_is_there_when_it_starts_again(tmp_path: Path) -> None:
    one = store(tmp_path / "s")
    assert one.stable.epoch == 1 and one.stable.log.snapshot == Snapshot(0, 0, KEEPERS, b"begin")
    one.write(Persist(1, "k1", 0, entries(1, 5)))
    one.write(Persist(2, "", 4, entries(4, 4, 2)))
    one.close()
    stable = again(tmp_path / "s")
    assert (stable.term, stable.vote, stable.epoch) == (2, "", 2)
    assert stable.log.entries == [*entries(1, 3), *entries(4, 4, 2)]
    one = store(tmp_path / "s")
    one.write(Persist(3, "k2", 0, entries(4, 4, 2), Snapshot(3, 1, KEEPERS, b"three")))
    one.write(Persist(3, "k2", 0, entries(5, 6, 3)))
    one.close()
    stable = again(tmp_path / "s")
    assert stable.log.snapshot.data == b"three" and stable.log.last == 6 and stable.epoch == 4
    assert [entry.index for entry in stable.log.entries] == [4, 5, 6]


def test_a_snapshot_without_entries_leaves_none_of_the_old(tmp_path: Path) -> None:
    one = store(tmp_path / "s")
    one.write(Persist(1, "", 0, entries(1, 300)))
    one.write(Persist(2, "", 0, (), Snapshot(500, 2, KEEPERS, b"x")))
    one.write(Persist(2, "", 0, entries(501, 502, 2)))
    one.close()
    assert [entry.index for entry in again(tmp_path / "s").log.entries] == [501, 502]


WRITER = """
import sys
from pathlib import Path
from quincepath.fleet.agreement.core import Persist
from quincepath.fleet.agreement.entries import Entry, Snapshot, first
from quincepath.store.consensus import ConsensusStore
one = ConsensusStore(Path(sys.argv[1]), "lab", "k0", first(("k0",)), check=False)
index = one.stable.log.last
while True:
    index += 1
    one.write(Persist(index, "k0", 0, (Entry(index, index, b"%d" % index * 200),)))
    if index % 40 == 0:
        one.write(Persist(index, "k0", 0, (), Snapshot(index, index, ("k0",), b"s%d" % index)))
    print(index, flush=True)
"""


def test_a_writer_killed_at_any_moment_leaves_what_it_had_told_of(tmp_path: Path) -> None:
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
        one = ConsensusStore(tmp_path / "s", "lab", "k0", first(("k0",)))
        one.close()
        # The one that was being written may be there or not; a snapshot of it, too.
        assert last <= one.stable.log.last <= last + 1
        assert one.stable.term == one.stable.log.last


def test_a_store_of_another_broker_or_fleet_is_refused_by_name(tmp_path: Path) -> None:
    store(tmp_path / "s").close()
    for member, fleet in (("k1", "lab"), ("k0", "orchard")):
        with pytest.raises(StoreError) as error:
            store(tmp_path / "s", member, fleet)
        assert error.value.trouble is Trouble.FOREIGN and "'k0' of fleet 'lab'" in str(error.value)


def test_a_store_of_a_later_program_is_refused(tmp_path: Path) -> None:
    one = store(tmp_path / "s")
    with one.env.begin(write=True) as txn:
        txn.put(META, encode_record(Owner(9, "lab", "k0")))
    one.close()
    with pytest.raises(StoreError) as error:
        store(tmp_path / "s")
    assert error.value.trouble is Trouble.NEWER and "schema 9" in str(error.value)


def test_a_full_store_says_so_and_keeps_what_it_had(tmp_path: Path) -> None:
    one = store(tmp_path / "s", size=256 * 1024)
    with pytest.raises(StoreError) as error:
        for index in range(1, 2000):
            one.write(Persist(1, "", 0, (Entry(index, 1, b"x" * 1000),)))
    one.close()
    assert error.value.trouble is Trouble.FULL
    kept = again(tmp_path / "s").log
    assert kept.last > 20 and [entry.index for entry in kept.entries] == list(range(1, kept.last + 1))


@pytest.mark.parametrize("how", ["value", "hole", "missing", "cut", "garbage", "zeros"])
def test_a_damaged_store_is_told_and_ends_no_process(how: str, tmp_path: Path) -> None:
    path = tmp_path / "s"
    one = store(path)
    one.write(Persist(1, "", 0, entries(1, 200)))
    if how in ("value", "hole", "missing"):
        with one.env.begin(write=True) as txn:
            if how == "value":
                key = b"entry" + (7).to_bytes(8)
                sealed = bytearray(txn.get(key))
                sealed[-1] ^= 1
                txn.put(key, bytes(sealed))
            elif how == "hole":
                txn.delete(b"entry" + (7).to_bytes(8))
            else:
                txn.delete(b"hard")
    one.close()
    data = path / "data.mdb"
    size = data.stat().st_size
    if how == "cut":
        os.truncate(data, size // 2)
    elif how in ("garbage", "zeros"):
        with data.open("r+b") as file:
            file.seek(8192)
            file.write(random.Random(2).randbytes(size - 8192) if how == "garbage" else bytes(size - 8192))
    with pytest.raises(StoreError) as error:
        store(path)
    assert error.value.trouble is Trouble.DAMAGED and str(error.value).startswith("damaged: ")


def test_a_place_that_is_none_is_told(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("x")
    with pytest.raises(StoreError) as error:
        store(tmp_path / "file" / "s")
    assert error.value.trouble is Trouble.UNREACHABLE


def test_a_store_that_may_only_be_read_is_told(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    one = store(tmp_path / "s")
    one.env.close()
    one.env = lmdb.open(str(tmp_path / "s"), readonly=True)
    with pytest.raises(StoreError) as error:
        one.write(Persist(1, "", 0, entries(1, 1)))
    assert error.value.trouble is Trouble.READ_ONLY
    one.close()
