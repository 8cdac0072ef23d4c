"""Sample documents in the platform's documented formats."""

from __future__ import annotations

ENGINE = {
    "slots": 6,
    "kvCapacity": 247_000,
    "kvTokenBytes": 70_272,
    "linkMbps": 180_000.0,
    "stride": 6,
    "models": [{"name": "m"}],
    "step_ms": 4.84,
    "per_seq_ms": 0.724,
    "context_per_k": 0.022,
    "read_per_s": 74_800.0,
    "report_lag_ms": 200.0,
    "usual": {"prompt": 835, "answer": 159},
    "sets": 4,
    "experts": 64,
    "places": 5,
    "spare": 2,
    "expertMb": 2500.0,
    "expertShare": 0.85,
}


def config_document(version=7, service="app-1", key="k-1"):
    """Return a configuration as stored by the platform."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-1",
                "host": "shop.example",
                "pathPrefix": "/read/",
                "kind": "safe",
                "timeoutMs": 1200,
                "targetLatencyMs": 200,
                "priority": 2,
                "service": service,
                "maxAttempts": 2,
            },
            {
                "name": "r-2",
                "host": "shop.example",
                "pathPrefix": "/write/",
                "kind": "streaming",
                "timeoutMs": 8000,
                "targetLatencyMs": 402,
                "priority": 1,
                "trafficSplit": [
                    {"service": service, "weight": 90},
                    {"service": "llm-1", "weight": 10},
                ],
                "maxAttempts": 2,
                "public": False,
                "sticky": True,
                "resumable": True,
                "gapTargetMs": 120,
            },
        ],
        "services": [
            {"name": service, "healthPath": "/health", "maxConns": 208},
            {"name": "llm-1", "maxConns": 732, "engine": ENGINE},
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": "ateliers", "apiKeys": [key], "priority": 1}],
    }


def server_document(address="10.1.64.9:8321", service="app-1", state="ready"):
    """Return a registry entry as stored by the platform."""
    return {
        "service": service,
        "address": address,
        "zone": "bzh-rennes",
        "version": "v1",
        "slots": 6,
        "state": state,
        "coldLeftMs": 0,
        "sequence": 4,
        "born": 1_784_333_110_177,
    }


def settings_text(
    ports,
    store_address,
    host="front-1",
    ip="127.0.0.1",
    seed="127.0.0.1:9",
):
    """Return a settings file for a process on loopback."""
    front, ready, directory, free = ports
    return f"""
nodeName = "{host}"
role = "entry"
machineClass = "front"
ip = "{ip}"
zone = "bzh-rennes"
region = "bzh"
portRange = [{free},{free + 8}]
seeds = ["{seed}"]
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
directory = "{ip}:{directory}"
[limits]
maxFds = 700
memoryMb = 96
[bounds]
revokeMs = 5000
graceS = 8
retryBudgetRatio = 0.2
retryBudgetSlack = 191
budgetWindowS = 10
drainMs = 2000
stall_ms = 1500
[platform]
address = "{store_address}"
"""
