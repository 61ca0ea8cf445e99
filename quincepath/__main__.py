"""Entry point of ``python -m quincepath``: the command line."""

from quincepath.cli.main import main

if __name__ == "__main__":
    main()
