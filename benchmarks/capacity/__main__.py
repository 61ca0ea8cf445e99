"""The command line: ``python -m benchmarks.capacity measure | write | check | scale``."""

import importlib
import sys
from pathlib import Path

import click

from benchmarks.capacity import commands
from benchmarks.capacity.page import PageError
from benchmarks.capacity.results import FILE, ResultsError


@click.group()
def main() -> None:
    """Measured slopes, and the page that is worked out from them."""


@main.command()
@click.option("--only", multiple=True, metavar="GROUP", help=f"One of {', '.join(commands.GROUPS)}, limits.")
@click.option("--take-scale", multiple=True, type=click.Path(exists=True, dir_okay=False, path_type=Path))
def measure(only: tuple[str, ...], take_scale: tuple[Path, ...]) -> None:
    """Measure all groups or some; or merge lines of the scale command from files."""
    try:
        if take_scale:
            click.echo(f"{commands.take_scale(take_scale, FILE)} scale runs read")
        if only or not take_scale:
            commands.measure(only, FILE, click.echo)
    except ResultsError as error:
        raise click.ClickException(str(error)) from None


@main.command()
def write() -> None:
    """Fill the tables of docs/CAPACITY.md from the results."""
    try:
        commands.write_files()
    except (ResultsError, PageError) as error:
        raise click.ClickException(str(error)) from None


@main.command()
def check() -> None:
    """Fail where the page and the results differ, naming row and value."""
    problems = commands.check_files()
    for problem in problems:
        click.echo(problem, err=True)
    sys.exit(1 if problems else 0)


@main.command(context_settings={"ignore_unknown_options": True}, add_help_option=False)
@click.argument("arguments", nargs=-1, type=click.UNPROCESSED)
def scale(arguments: tuple[str, ...]) -> None:
    """Run a fleet of real and hollow brokers; its arguments are its own (--brokers N ...)."""
    command = importlib.import_module("benchmarks.capacity.scale.command")
    sys.exit(command.main(list(arguments)))


if __name__ == "__main__":
    main()
