"""One region's orders surge fivefold while another region is lost."""

import time

import anyio

from turmericrudder.configuration import compile_source, read_source

from ..measure import Measure
from ..sample import count_ends, get_quantile_ms
from ..spans import get_most, get_spans
from .common import get_targets, offer, start

SERVICE = "lensreader"
RATES = {"gulf": 60.0, "piedmont": 60.0, "delta": 40.0}
SURGE = {"gulf": 300.0, "piedmont": 60.0, "delta": 40.0}
SECONDS = 14.0
LOST = ("piedmont-a-1", "piedmont-b-1")
LATENCY_BOUND = 1.2
REGIONS = ("gulf", "delta")


async def run(seed):
    """Return the measures."""
    async with start(times={SERVICE: {"prescriptions": "200ms"}}) as cluster:
        configuration = compile_source(read_source(cluster.directory))
        service = configuration.services[SERVICE]
        quiet = await offer(cluster, RATES, SECONDS / 2, seed)
        began = time.time()
        for name in LOST:
            cluster.kill(name)
        samples = await offer(cluster, SURGE, SECONDS, seed, tries=2)
        spans = [s for s in await get_spans(cluster, SERVICE) if s.began >= began]
        await anyio.sleep(1.0)
        robin = await offer(
            cluster, SURGE, SECONDS / 2, seed, policy="round_robin", tries=2
        )
        targets = {region: get_targets(cluster, SERVICE, region) for region in REGIONS}
    measures = []
    for region in REGIONS:
        foreign = [
            span
            for span in spans
            if span.target in targets[region] and span.region != region
        ]
        measures.append(
            Measure(
                f"shift_cap.most_foreign_in_{region}",
                get_most(foreign),
                "slots",
                service.foreign_caps[region],
            )
        )
        measures.append(
            Measure(
                f"shift_cap.over_ramp_in_{region}",
                _count_over_ramp(foreign, service, service.foreign_caps[region]),
                "starts",
                0,
            )
        )
    home = _get_home(samples, "delta")
    return [
        *measures,
        Measure(
            "shift_cap.home_p99_ratio_in_delta",
            get_quantile_ms(home, 0.99)
            / get_quantile_ms(_get_home(quiet, "delta"), 0.99),
            "times",
            LATENCY_BOUND,
            get_quantile_ms(_get_home(robin, "delta"), 0.99)
            / get_quantile_ms(_get_home(quiet, "delta"), 0.99),
        ),
        Measure(
            "shift_cap.home_refused_in_delta",
            len(home) - count_ends(home).get("answered", 0),
            "requests",
            0,
        ),
        Measure(
            "shift_cap.answered_of_all",
            count_ends(samples).get("answered", 0) / len(samples),
            "of requests",
        ),
    ]


def _get_home(samples, region):
    return [s for s in samples if s.path.rsplit("/", 1)[1].startswith(f"{region}-")]


def _count_over_ramp(spans, service, cap):
    """Return how many starts exceed what the ramp allows at their time."""
    spans = sorted(spans, key=lambda span: span.began)
    over = 0
    for index, span in enumerate(spans):
        elapsed = span.began - spans[0].began
        grown = (1 - service.cap_floor) * elapsed / service.cap_ramp
        allowed = int(cap * min(1.0, service.cap_floor + grown))
        held = sum(other.ended > span.began for other in spans[:index]) + 1
        over += held > max(1, allowed)
    return over
