"""Not written yet."""


async def run(seed):
    """Return the measures."""
    return []
