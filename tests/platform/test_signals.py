"""Signals at moments where one could be lost, or could end the process with accepted requests unanswered."""

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
from tests.test_deploy import MODULE, BrokerProcess

# The process pauses until it reads a byte: at the first audit event that starts with the given text or, for
# "listening", when the listener is open and nothing after it has run.
PAUSE_SCRIPT = f"""
import os, runpy, sys
event_prefix = sys.argv[1]
def pause():
    global event_prefix
    event_prefix = ""
    os.write(2, b"PAUSED\\n")
    os.read(0, 1)
def hook(event, args):
    if event_prefix and f"{{event}} {{args and args[0]}}".startswith(event_prefix):
        pause()
sys.addaudithook(hook)
if event_prefix == "listening":
    from quincepath.net import stream
    make = stream.Listener.__init__
    def listening(self, *args):
        make(self, *args)
        pause()
    stream.Listener.__init__ = listening
runpy.run_module("{MODULE}", run_name="__main__", alter_sys=True)
"""
# Before the listener opens: import of the decision module, of the service, the first call to discovery.
BEFORE_LISTENER = ["import quincepath.policy", "import quincepath.platform.service", "socket.connect"]
HEADERS = {"Req-Kind": "all", "Req-Owner": "acme", "Req-Deadline-Ms": "300"}
BODY = b'{"ranges":[{"range":0,"portion":1.0}],"predicate":"c41e77d0"}'
STATUS_LINES = {b"HTTP/1.1 200", b"HTTP/1.1 502", b"HTTP/1.1 503", b"HTTP/1.1 504"}


class PausedProcess(BrokerProcess):
    """A process that pauses at a given moment."""

    def __init__(self, folder: Path, moment: str) -> None:
        super().__init__(folder, sys.executable, "-c", PAUSE_SCRIPT, moment)
        self.read_until("PAUSED")

    def resume(self) -> None:
        assert self.popen.stdin is not None
        with suppress(BrokenPipeError):  # it may have ended while it was paused
            os.write(self.popen.stdin.fileno(), b"\n")


def ask(process: BrokerProcess, name: str) -> socket.socket:
    """Send a request that the operating system has accepted."""
    client = socket.create_connection(("127.0.0.1", process.port), 30)
    client.sendall(request_bytes("POST", "/all", "x", {**HEADERS, "Req-Id": name}, BODY))
    return client


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
@pytest.mark.parametrize("moment", BEFORE_LISTENER)
def test_a_process_without_a_listener_exits_at_once_on_a_stop_signal(
    moment: str, number: signal.Signals, tmp_path: Path
) -> None:
    process = PausedProcess(tmp_path, moment)
    try:
        process.popen.send_signal(number)
        process.resume()
        assert process.popen.wait(30) == 0
        assert process.popen.stderr is not None
        assert not process.popen.stderr.read()
    finally:
        process.end()


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_request_that_arrived_before_the_loop_ran_is_answered_after_the_signal(
    number: signal.Signals, tmp_path: Path
) -> None:
    process = PausedProcess(tmp_path, "listening")
    client = None
    try:
        client = ask(process, "q1")
        process.popen.send_signal(number)
        process.resume()
        assert client.recv(4096)[:12] in STATUS_LINES
        client.close()
        process.read_until("all is answered")
        assert process.popen.wait(30) == 0
    finally:
        if client is not None:
            client.close()
        process.end()


def test_a_second_sigterm_changes_nothing(tmp_path: Path) -> None:
    process = BrokerProcess(tmp_path, sys.executable, "-m", MODULE)
    client = None
    try:
        process.read_until("serves on")
        process.popen.send_signal(signal.SIGTERM)
        process.read_until("stopping")
        client = ask(process, "q1")
        process.popen.send_signal(signal.SIGTERM)
        process.popen.send_signal(signal.SIGINT)
        assert client.recv(4096)[:12] in STATUS_LINES
        client.close()
        seen = process.read_until("all is answered")
        assert not [line for line in seen if "stopping," in line]
        assert process.popen.wait(30) == 0
    finally:
        if client is not None:
            client.close()
        process.end()


@pytest.mark.parametrize("order", ["together", "after", "before the loop"])
def test_sighup_beside_sigterm_moves_discovery_and_the_process_still_ends(order: str, tmp_path: Path) -> None:
    """While it shuts down it still forwards parts, so drains reported by the new address count."""
    process = (
        PausedProcess(tmp_path, "listening")
        if order == "before the loop"
        else BrokerProcess(tmp_path, sys.executable, "-m", MODULE)
    )
    try:
        with socket.create_server(("127.0.0.1", 0)) as moved:
            moved.settimeout(30)
            if order != "before the loop":
                process.read_until("serves on")
            process.write(f"127.0.0.1:{moved.getsockname()[1]}")
            if order == "together":
                process.popen.send_signal(signal.SIGSTOP)
            process.popen.send_signal(signal.SIGTERM)
            if order == "after":
                process.read_until("stopping")
            process.popen.send_signal(signal.SIGHUP)
            if order == "together":
                process.popen.send_signal(signal.SIGCONT)
            if isinstance(process, PausedProcess):
                process.resume()
            asked, _ = moved.accept()
            asked.close()
        process.read_until("all is answered")
        assert process.popen.wait(30) == 0
    finally:
        process.end()


def test_a_file_half_written_at_sighup_is_read_again_without_another_signal(tmp_path: Path) -> None:
    process = BrokerProcess(tmp_path, sys.executable, "-m", MODULE)
    try:
        process.read_until("serves on")
        with socket.create_server(("127.0.0.1", 0)) as moved:
            moved.settimeout(30)
            whole = process.file.read_text()
            process.file.write_text(whole[: len(whole) // 2])
            process.popen.send_signal(signal.SIGHUP)
            process.read_until("stays in force")
            process.write(f"127.0.0.1:{moved.getsockname()[1]}")
            process.read_until("discovery is now at")
            asked, _ = moved.accept()
            asked.close()
    finally:
        process.end()


@pytest.fixture
def restored() -> Iterator[None]:
    """Restore the signal handlers after the test."""
    numbers = (signal.SIGUSR1, signal.SIGUSR2)
    before = [signal.getsignal(number) for number in numbers]
    yield
    for number, handler in zip(numbers, before, strict=True):
        signal.signal(number, handler)


@pytest.mark.parametrize("many", [1, 100, 5000])
def test_many_signals_in_one_turn_do_not_hide_one_of_another_kind(many: int, restored: None) -> None:
    """The buffer of the wakeup descriptor holds some hundreds of bytes; further ones are lost."""
    loop = Loop()
    received: list[str] = []
    loop.on_signals({
        signal.SIGUSR1: lambda: received.append("one"), signal.SIGUSR2: lambda: received.append("two")
    })  # fmt: skip
    try:
        for _ in range(many):
            signal.raise_signal(signal.SIGUSR1)
        signal.raise_signal(signal.SIGUSR2)
        loop.turn(10)
        loop.turn(0)
        assert set(received) == {"one", "two"} and len(received) == 2
        signal.raise_signal(signal.SIGUSR1)
        loop.turn(10)
        assert received[2:] == ["one"]
    finally:
        loop.close()
