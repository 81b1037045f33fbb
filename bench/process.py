"""CPU usage of a process, from ``/proc``."""

from pathlib import Path

__all__ = ["get_cpu_seconds"]

TICKS_PER_SECOND = 100  # USER_HZ, the unit of CPU times in /proc


def get_cpu_seconds(pid):
    """Return the CPU seconds (user and system) that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND
