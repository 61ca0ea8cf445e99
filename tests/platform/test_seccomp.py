"""``run`` in a real process under a seccomp filter that rejects what the platform rejects."""

import ctypes
import os
import platform
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

import pytest

from tests.test_deploy import MODULE, BrokerProcess


@dataclass(frozen=True)
class SystemCalls:
    """Numbers of system calls on one kind of machine."""

    missing: tuple[int, ...]  # rejected as if the system did not have them
    invalid: tuple[int, ...]  # rejected as if their arguments were wrong
    clone: int
    socket: int


SYSTEM_CALLS = {
    "x86_64": SystemCalls(
        # fork, vfork, execve, execveat, clone3, io_uring_setup, io_uring_enter, io_uring_register, sendfile
        missing=(57, 58, 59, 322, 435, 425, 426, 427, 40),
        invalid=(275, 276, 278),  # splice, tee, vmsplice
        clone=56,
        socket=41,
    ),
    "aarch64": SystemCalls(
        # execve, execveat, clone3, io_uring_setup, io_uring_enter, io_uring_register, sendfile
        missing=(221, 281, 435, 425, 426, 427, 71),
        invalid=(76, 77, 75),  # splice, tee, vmsplice
        clone=220,
        socket=198,
    ),
}
CALLS = SYSTEM_CALLS.get(platform.machine(), SYSTEM_CALLS["x86_64"])
# A process may filter itself without special rights; an exec keeps the filter.
FILTER = f"""
import ctypes, runpy, struct, sys
LOAD, EQUAL, ANY, AND, RETURN = 0x20, 0x15, 0x45, 0x54, 0x06
ENOSYS, EINVAL, EAFNOSUPPORT, ERROR, ALLOW = 38, 22, 97, 0x50000, 0x7fff0000
rules = [(LOAD, 0, 0, 0)]
for number in {CALLS.missing}:
    rules += [(EQUAL, 0, 1, number), (RETURN, 0, 0, ERROR | ENOSYS)]
for number in {CALLS.invalid}:
    rules += [(EQUAL, 0, 1, number), (RETURN, 0, 0, ERROR | EINVAL)]
# A clone that makes no thread; a socket that is not IPv4. Both are decided by the first argument.
rules += [(EQUAL, 0, 3, {CALLS.clone}), (LOAD, 0, 0, 16), (ANY, 1, 0, 0x10000)]
rules += [(RETURN, 0, 0, ERROR | ENOSYS)]
rules += [(LOAD, 0, 0, 0), (EQUAL, 0, 3, {CALLS.socket}), (LOAD, 0, 0, 16), (EQUAL, 1, 0, 2)]
rules += [(RETURN, 0, 0, ERROR | EAFNOSUPPORT), (RETURN, 0, 0, ALLOW)]
code = ctypes.create_string_buffer(b"".join(struct.pack("=HBBI", *rule) for rule in rules))
process = ctypes.create_string_buffer(struct.pack("=H6xQ", len(rules), ctypes.addressof(code)))
libc = ctypes.CDLL(None, use_errno=True)
assert not libc.prctl(38, 1, 0, 0, 0) and not libc.prctl(22, 2, process), ctypes.get_errno()
"""
RUN = f'{FILTER}\nrunpy.run_module("{MODULE}", run_name="__main__", alter_sys=True)\n'
PROOF = f"""{FILTER}
import os, socket
def refused(call, *values):
    try:
        return call(*values) and 0
    except OSError as error:
        return error.errno
one, two = os.pipe()
errors = [refused(os.fork), refused(os.sendfile, one, two, 0, 1), refused(socket.socket, socket.AF_UNIX)]
errors.append(refused(os.splice, one, two, 1) if hasattr(os, "splice") else EINVAL)
socket.socket().close()
print("refused", *errors, file=sys.stderr)
"""

pytestmark = pytest.mark.skipif(
    sys.platform != "linux" or platform.machine() not in SYSTEM_CALLS or ctypes.sizeof(ctypes.c_void_p) != 8,
    reason="the filter is written for Linux on 64-bit x86 and ARM",
)


def test_the_filter_rejects_what_it_should(tmp_path: Path) -> None:
    process = BrokerProcess(tmp_path, sys.executable, "-c", PROOF)
    try:
        assert process.read_until("refused")[-1].split()[1:] == ["38", "38", "97", "22"]
    finally:
        process.end()


def test_run_serves_and_exits_where_exec_and_special_system_calls_are_rejected(tmp_path: Path) -> None:
    process = BrokerProcess(tmp_path, sys.executable, "-c", RUN)
    try:
        process.read_until("serves on")
        assert process.get("/-/ready").startswith(b"HTTP/1.1 200")
        tasks = os.listdir(f"/proc/{process.popen.pid}/task")
        process.popen.send_signal(signal.SIGTERM)
        lines = process.read_until("all is answered")
        assert process.popen.wait(30) == 0 and len(tasks) == 1
        assert not any("error" in line.lower() for line in lines)
    finally:
        process.end()
