"""Experiment: load of one region grows fivefold while another has no instances."""

import time

import anyio

from turmericrudder.configuration import compile_source, read_source

from ..measure import Measure
from ..sample import count_ends, get_quantile_ms
from ..spans import get_max_concurrency, get_spans
from .common import get_targets, offer_load, start_cluster

SERVICE = "lensreader"
RATES = {"gulf": 60.0, "piedmont": 60.0, "delta": 40.0}
SURGE_RATES = {"gulf": 300.0, "piedmont": 60.0, "delta": 40.0}
DURATION = 14.0  # seconds
KILLED_INSTANCES = ("piedmont-a-1", "piedmont-b-1")
LATENCY_BOUND = 1.2  # ratio of p99 latencies
REGIONS = ("gulf", "delta")  # regions that keep their instances


async def run(seed):
    """Return the measures."""
    async with start_cluster(times={SERVICE: {"prescriptions": "200ms"}}) as cluster:
        configuration = compile_source(read_source(cluster.directory))
        service = configuration.services[SERVICE]
        undisturbed = await offer_load(cluster, RATES, DURATION / 2, seed)
        began = time.time()
        for name in KILLED_INSTANCES:
            cluster.kill(name)
        samples = await offer_load(cluster, SURGE_RATES, DURATION, seed, tries=2)
        spans = [s for s in await get_spans(cluster, SERVICE) if s.began >= began]
        await anyio.sleep(1.0)
        round_robin = await offer_load(
            cluster, SURGE_RATES, DURATION / 2, seed, policy="round_robin", tries=2
        )
        targets = {region: get_targets(cluster, SERVICE, region) for region in REGIONS}
    measures = []
    for region in REGIONS:
        remote_spans = [
            span
            for span in spans
            if span.target in targets[region] and span.region != region
        ]
        measures.append(
            Measure(
                f"shift_cap.most_foreign_in_{region}",
                get_max_concurrency(remote_spans),
                "slots",
                service.foreign_caps[region],
            )
        )
        measures.append(
            Measure(
                f"shift_cap.over_ramp_in_{region}",
                _count_starts_over_ramp(
                    remote_spans, service, service.foreign_caps[region]
                ),
                "starts",
                0,
            )
        )
    local_samples = _get_samples_from(samples, "delta")
    return [
        *measures,
        Measure(
            "shift_cap.home_p99_ratio_in_delta",
            get_quantile_ms(local_samples, 0.99)
            / get_quantile_ms(_get_samples_from(undisturbed, "delta"), 0.99),
            "times",
            LATENCY_BOUND,
            get_quantile_ms(_get_samples_from(round_robin, "delta"), 0.99)
            / get_quantile_ms(_get_samples_from(undisturbed, "delta"), 0.99),
        ),
        Measure(
            "shift_cap.home_refused_in_delta",
            len(local_samples) - count_ends(local_samples).get("answered", 0),
            "requests",
            0,
        ),
        Measure(
            "shift_cap.answered_of_all",
            count_ends(samples).get("answered", 0) / len(samples),
            "of requests",
        ),
    ]


def _get_samples_from(samples, region):
    return [s for s in samples if s.path.rsplit("/", 1)[1].startswith(f"{region}-")]


def _count_starts_over_ramp(spans, service, cap):
    """Return the number of requests that started above the ramped-up cap.

    The cap on requests from other regions starts at ``cap_floor`` of its value
    and grows to the whole of it within ``cap_ramp`` seconds.

    :param spans: requests from other regions.
    :param cap: full cap of the region in slots.
    """
    spans = sorted(spans, key=lambda span: span.began)
    starts_over = 0
    for index, span in enumerate(spans):
        elapsed = span.began - spans[0].began
        ramped_share = (1 - service.cap_floor) * elapsed / service.cap_ramp
        allowed = int(cap * min(1.0, service.cap_floor + ramped_share))
        in_flight = sum(other.ended > span.began for other in spans[:index]) + 1
        starts_over += in_flight > max(1, allowed)
    return starts_over
