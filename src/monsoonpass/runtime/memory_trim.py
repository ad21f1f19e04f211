"""Returns freed memory to the operating system.

After a crowd of callers has left, glibc keeps the memory that their requests
used: blocks that are still in use lie scattered between the freed ones, and
only the end of the heap is returned on its own.
"""

import ctypes
import os
import pathlib

import anyio

CHECK_INTERVAL_S = 5.0
# Growth since the last trim from which another one is worth its few
# milliseconds.
GROWTH_MIN_BYTES = 2 * 1024 * 1024
_STATM = pathlib.Path("/proc/self/statm")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    return int(_STATM.read_text().split()[1]) * _PAGE_BYTES


async def run() -> None:
    """Trim the heap whenever memory has grown, until cancelled."""
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is None or not _STATM.exists():
        return
    trimmed_bytes = resident_bytes()
    while True:
        await anyio.sleep(CHECK_INTERVAL_S)
        if resident_bytes() - trimmed_bytes >= GROWTH_MIN_BYTES:
            trim(0)
            trimmed_bytes = resident_bytes()
