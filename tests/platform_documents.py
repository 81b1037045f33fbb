"""Documents that the operator and targets write to the store."""

HOST = "127.0.20.1"


LIMITS = {
    "max_header_bytes": 2048,
    "max_body_bytes": 1_000_000,
    "header_timeout_ms": 500,
    "idle_timeout_ms": 5000,
}


def make_route(name="r1", prefix="/read/", kind="idempotent", **options):
    return {
        "name": name,
        "host": "h.example",
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": 2000,
        "slo_ms": 500,
        "priority": 1,
        "service": "s1",
        "max_attempts": 2,
        "affinity": False,
        "home_regions": [],
        "backends": None,
        **options,
    }


def make_configuration(version, routes, limits=None):
    columns = list(make_route())
    service_columns = ["name", "health_path", "max_conns", "cold_start_s", "cold_per_s"]
    return {
        "version": f"r{version}",
        "routes": {
            "columns": columns,
            "rows": [[route[column] for column in columns] for route in routes],
        },
        "services": {
            "columns": service_columns,
            "rows": [
                ["s1", "/health", 50, 1.0, 5.0],
                ["s2", "/health", 50, 1.0, 5.0],
            ],
        },
        "limits": {**LIMITS, **(limits or {})},
    }


def make_registration(port, zone="a1", state="ready", seq=1, **options):
    return {
        "service": "s1",
        "address": f"{HOST}:{port}",
        "zone": zone,
        "version": "v1",
        "slots": 4,
        "state": state,
        "cold_left_ms": 0,
        "seq": seq,
        **options,
    }
