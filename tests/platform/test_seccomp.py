"""``run`` under a filter that refuses what the platform refuses, in a real process."""

import ctypes
import os
import platform
import signal
import sys
from pathlib import Path

import pytest

from tests.test_deploy import MODULE, Program

# Numbers of x86-64. A filter of the process on itself needs no special rights; it stays over an exec.
FILTER = """
import ctypes, runpy, struct, sys
LOAD, EQUAL, ANY, AND, RETURN = 0x20, 0x15, 0x45, 0x54, 0x06
ENOSYS, EINVAL, EAFNOSUPPORT, ERROR, ALLOW = 38, 22, 97, 0x50000, 0x7fff0000
rules = [(LOAD, 0, 0, 0)]
for number in (57, 58, 59, 322, 435, 425, 426, 427, 40):  # fork to execve, clone3, io_uring, sendfile
    rules += [(EQUAL, 0, 1, number), (RETURN, 0, 0, ERROR | ENOSYS)]
for number in (275, 276, 278):  # splice, tee, vmsplice
    rules += [(EQUAL, 0, 1, number), (RETURN, 0, 0, ERROR | EINVAL)]
# A clone that is no thread; a socket that is not IPv4. Both by the first argument.
rules += [(EQUAL, 0, 3, 56), (LOAD, 0, 0, 16), (ANY, 1, 0, 0x10000), (RETURN, 0, 0, ERROR | ENOSYS)]
rules += [(LOAD, 0, 0, 0), (EQUAL, 0, 3, 41), (LOAD, 0, 0, 16), (EQUAL, 1, 0, 2)]
rules += [(RETURN, 0, 0, ERROR | EAFNOSUPPORT), (RETURN, 0, 0, ALLOW)]
code = ctypes.create_string_buffer(b"".join(struct.pack("=HBBI", *rule) for rule in rules))
program = ctypes.create_string_buffer(struct.pack("=H6xQ", len(rules), ctypes.addressof(code)))
libc = ctypes.CDLL(None, use_errno=True)
assert not libc.prctl(38, 1, 0, 0, 0) and not libc.prctl(22, 2, program), ctypes.get_errno()
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
told = [refused(os.fork), refused(os.sendfile, one, two, 0, 1), refused(socket.socket, socket.AF_UNIX)]
told.append(refused(os.splice, one, two, 1) if hasattr(os, "splice") else EINVAL)
socket.socket().close()
print("refused", *told, file=sys.stderr)
"""

pytestmark = pytest.mark.skipif(
    sys.platform != "linux" or platform.machine() != "x86_64" or ctypes.sizeof(ctypes.c_void_p) != 8,
    reason="the filter is written for Linux on x86-64",
)


def test_the_filter_refuses_what_it_should(tmp_path: Path) -> None:
    program = Program(tmp_path, sys.executable, "-c", PROOF)
    try:
        assert program.until("refused")[-1].split()[1:] == ["38", "38", "97", "22"]
    finally:
        program.end()


def test_run_serves_and_ends_where_starting_programs_and_special_calls_are_refused(tmp_path: Path) -> None:
    program = Program(tmp_path, sys.executable, "-c", RUN)
    try:
        program.until("serves on")
        assert program.get("/-/ready").startswith(b"HTTP/1.1 200")
        tasks = os.listdir(f"/proc/{program.process.pid}/task")
        program.process.send_signal(signal.SIGTERM)
        lines = program.until("all is answered")
        assert program.process.wait(30) == 0 and len(tasks) == 1
        assert not any("error" in line.lower() for line in lines)
    finally:
        program.end()
