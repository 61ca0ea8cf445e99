"""``python -m quincepath.store.check PATH``: verify a store; prints the problem and exits 1 if it is invalid.

Runs as a separate process, because a damaged file may crash the process that maps it.
"""

import sys
from pathlib import Path

import lmdb

from quincepath.fleet.consensus.storage import StoreError
from quincepath.store.consensus import META, load, to_store_error


def main() -> int:
    """Exit status: 0 if the store is valid or empty."""
    path = Path(sys.argv[1])
    try:
        env = lmdb.open(str(path), readonly=True, lock=False, subdir=True)
        with env.begin() as txn:
            empty = txn.get(META) is None
        if not empty:
            load(env)
        env.close()
    except StoreError as error:
        print(error)
        return 1
    except (OSError, lmdb.Error) as error:
        print(to_store_error(error, path))
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
