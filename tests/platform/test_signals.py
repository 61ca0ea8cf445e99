"""Signals at the moments where one could be lost, or end the process over what it has taken."""

import os
import signal
import socket
import sys
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path

import pytest

from quincepath.net.http1 import request_bytes
from quincepath.net.loop import Loop
from tests.test_deploy import MODULE, Program

# The process stands still at a moment until it is given a byte: at the first audit event that begins with
# these words, or, with "listening", when the listener is there and nothing after it has run.
HELD = f"""
import os, runpy, sys
words = sys.argv[1]
def held():
    global words
    words = ""
    os.write(2, b"HELD\\n")
    os.read(0, 1)
def hook(event, args):
    if words and f"{{event}} {{args and args[0]}}".startswith(words):
        held()
sys.addaudithook(hook)
if words == "listening":
    from quincepath.net import stream
    make = stream.Listener.__init__
    def listening(self, *args):
        make(self, *args)
        held()
    stream.Listener.__init__ = listening
runpy.run_module("{MODULE}", run_name="__main__", alter_sys=True)
"""
# Ahead of the listener: the library's decisions, the service, the first call to discovery.
BEFORE = ["import quincepath.policy", "import quincepath.platform.service", "socket.connect"]
HEADERS = {"Req-Kind": "all", "Req-Owner": "acme", "Req-Deadline-Ms": "300"}
BODY = b'{"ranges":[{"range":0,"portion":1.0}],"predicate":"c41e77d0"}'
ANSWERS = {b"HTTP/1.1 200", b"HTTP/1.1 502", b"HTTP/1.1 503", b"HTTP/1.1 504"}


class Held(Program):
    """A program that stands still at a moment."""

    def __init__(self, folder: Path, moment: str) -> None:
        super().__init__(folder, sys.executable, "-c", HELD, moment)
        self.until("HELD")

    def go(self) -> None:
        assert self.process.stdin is not None
        with suppress(BrokenPipeError):  # it may have ended while it was held
            os.write(self.process.stdin.fileno(), b"\n")


def ask(program: Program, name: str) -> socket.socket:
    """A request that the system has taken."""
    client = socket.create_connection(("127.0.0.1", program.port), 30)
    client.sendall(request_bytes("POST", "/all", "x", {**HEADERS, "Req-Id": name}, BODY))
    return client


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
@pytest.mark.parametrize("moment", BEFORE)
def test_a_process_without_a_listener_is_told_to_end_and_ends_at_once(
    moment: str, number: signal.Signals, tmp_path: Path
) -> None:
    program = Held(tmp_path, moment)
    try:
        program.process.send_signal(number)
        program.go()
        assert program.process.wait(30) == 0
        assert program.process.stderr is not None
        assert not program.process.stderr.read()
    finally:
        program.end()


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_request_that_came_before_the_loop_ran_is_answered_after_the_signal(
    number: signal.Signals, tmp_path: Path
) -> None:
    program = Held(tmp_path, "listening")
    client = None
    try:
        client = ask(program, "q1")
        program.process.send_signal(number)
        program.go()
        assert client.recv(4096)[:12] in ANSWERS
        client.close()
        program.until("all is answered")
        assert program.process.wait(30) == 0
    finally:
        if client is not None:
            client.close()
        program.end()


def test_a_second_sigterm_changes_nothing(tmp_path: Path) -> None:
    program = Program(tmp_path, sys.executable, "-m", MODULE)
    client = None
    try:
        program.until("serves on")
        program.process.send_signal(signal.SIGTERM)
        program.until("stopping")
        client = ask(program, "q1")
        program.process.send_signal(signal.SIGTERM)
        program.process.send_signal(signal.SIGINT)
        assert client.recv(4096)[:12] in ANSWERS
        client.close()
        seen = program.until("all is answered")
        assert not [line for line in seen if "stopping," in line]
        assert program.process.wait(30) == 0
    finally:
        if client is not None:
            client.close()
        program.end()


@pytest.mark.parametrize("order", ["together", "after", "before the loop"])
def test_sighup_beside_sigterm_moves_discovery_and_the_process_still_ends(order: str, tmp_path: Path) -> None:
    """While it ends it sends parts on, and what the new address tells of drains counts."""
    program = (
        Held(tmp_path, "listening")
        if order == "before the loop"
        else Program(tmp_path, sys.executable, "-m", MODULE)
    )
    try:
        with socket.create_server(("127.0.0.1", 0)) as moved:
            moved.settimeout(30)
            if order != "before the loop":
                program.until("serves on")
            program.write(f"127.0.0.1:{moved.getsockname()[1]}")
            if order == "together":
                program.process.send_signal(signal.SIGSTOP)
            program.process.send_signal(signal.SIGTERM)
            if order == "after":
                program.until("stopping")
            program.process.send_signal(signal.SIGHUP)
            if order == "together":
                program.process.send_signal(signal.SIGCONT)
            if isinstance(program, Held):
                program.go()
            asked, _ = moved.accept()
            asked.close()
        program.until("all is answered")
        assert program.process.wait(30) == 0
    finally:
        program.end()


def test_a_file_that_is_half_written_at_sighup_is_read_again_without_another(tmp_path: Path) -> None:
    program = Program(tmp_path, sys.executable, "-m", MODULE)
    try:
        program.until("serves on")
        with socket.create_server(("127.0.0.1", 0)) as moved:
            moved.settimeout(30)
            whole = program.file.read_text()
            program.file.write_text(whole[: len(whole) // 2])
            program.process.send_signal(signal.SIGHUP)
            program.until("stays in force")
            program.write(f"127.0.0.1:{moved.getsockname()[1]}")
            program.until("discovery is now at")
            asked, _ = moved.accept()
            asked.close()
    finally:
        program.end()


@pytest.fixture
def restored() -> Iterator[None]:
    """The handlers as they were."""
    numbers = (signal.SIGUSR1, signal.SIGUSR2)
    before = [signal.getsignal(number) for number in numbers]
    yield
    for number, handler in zip(numbers, before, strict=True):
        signal.signal(number, handler)


@pytest.mark.parametrize("many", [1, 100, 5000])
def test_however_many_signals_come_in_one_turn_none_of_another_kind_is_lost(
    many: int, restored: None
) -> None:
    """The wakeup descriptor's buffer takes some hundreds of bytes; the ones over it are gone."""
    loop = Loop()
    came: list[str] = []
    loop.on_signals({
        signal.SIGUSR1: lambda: came.append("one"), signal.SIGUSR2: lambda: came.append("two")
    })  # fmt: skip
    try:
        for _ in range(many):
            signal.raise_signal(signal.SIGUSR1)
        signal.raise_signal(signal.SIGUSR2)
        loop.turn(10)
        loop.turn(0)
        assert set(came) == {"one", "two"} and len(came) == 2
        signal.raise_signal(signal.SIGUSR1)
        loop.turn(10)
        assert came[2:] == ["one"]
    finally:
        loop.close()
