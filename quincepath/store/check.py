"""``python -m quincepath.store.check PATH``: read all of a store; status 1 and its trouble if it is unsound.

A process of its own, because a damaged file may end the one that maps it.
"""

import sys
from pathlib import Path

import lmdb

from quincepath.fleet.agreement.storing import StoreError
from quincepath.store.consensus import META, load, to_store_error


def main() -> int:
    """0 where the store is sound or empty."""
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
