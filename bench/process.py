"""What the kernel tells of a process."""

from pathlib import Path

__all__ = ["get_cpu"]

TICKS_PER_SECOND = 100


def get_cpu(pid):
    """Return the processor seconds a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND
