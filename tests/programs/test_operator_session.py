"""A whole session of an operator, compared with a golden file.

Set ``POPLARWARD_WRITE_GOLDEN=1`` to write the file anew, and read the difference.
"""

from __future__ import annotations

import contextlib
import io
import json
import os
import shlex
from pathlib import Path

import structlog
import trio

from benchmarks.configuration_fleet import Fleet
from poplarward.operations import (
    DeploymentStatus,
    OperationsService,
    operations_application,
)
from poplarward.programs import ctl
from poplarward.transport import Address, serve_http

GOLDEN = Path(__file__).parent / "golden" / "operator-session.txt"
DIGEST = "ab" * 32

FILES = {
    "drafts.json": {
        "name": "drafts",
        "model_group": {
            "model": "portrait",
            "n_ranks": 4,
            "n_experts": 64,
            "n_layers": 2,
            "expert_bytes": "1048576",
        },
    },
    "briefs.json": {
        "name": "briefs",
        "service": {
            "upstream": "drafts",
            "priority_class": "drafting",
            "deadline_ms": 60000,
        },
    },
    "ateliers.json": {
        "name": "ateliers",
        "workspace": {
            "share": 2.0,
            "requests_per_s": 50.0,
            "tokens_per_s": 9000.0,
            "services": ["briefs"],
            "token_sha256": [DIGEST],
        },
    },
    "more.json": {
        "name": "ateliers",
        "workspace": {
            "share": 3.0,
            "requests_per_s": 50.0,
            "tokens_per_s": 9000.0,
            "services": ["briefs"],
            "token_sha256": [DIGEST],
        },
    },
    "wrong.json": {
        "name": "No name",
        "workspace": {
            "share": -1.0,
            "requests_per_s": 50.0,
            "tokens_per_s": 0.0,
            "services": ["briefs", "palettes"],
            "token_sha256": ["secret", DIGEST],
        },
    },
    "unreadable.json": {"name": "ateliers", "workspaces": {}},
}

COMMANDS = """
apply drafts.json
apply briefs.json
apply ateliers.json --wait
apply wrong.json --validate-only
apply unreadable.json
apply absent.json
apply more.json --expected-version 3 --validate-only
apply more.json --expected-version 3
apply ateliers.json --expected-version 3
get workspaces ateliers
get workspaces nobody
get palettes nobody
list
list services --json
history workspaces ateliers
diff workspaces ateliers 3 4
diff workspaces ateliers 1 4
delete services briefs --expected-version 2
delete workspaces ateliers --expected-version 3
drain entry-1 --wait
status
undrain entry-1 --wait
drain nobody
freeze drafts
unfreeze drafts
freeze palettes
rebalance drafts
delete workspaces ateliers --expected-version 4 --wait
history workspaces ateliers
rollout 9
rollout soon
--token wrong list
--server http://127.0.0.1:9 list
"""


def run(directory: Path, line: str) -> str:
    """Return what a command prints, with its exit status."""
    out, err = io.StringIO(), io.StringIO()
    with (
        contextlib.chdir(directory),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
    ):
        status = ctl.run(shlex.split(line))
    parts = [f"$ poplarwardctl {line}\n", out.getvalue()]
    parts += ["! " + text + "\n" for text in err.getvalue().splitlines()]
    return "".join(parts) + f"exit status {status}\n"


async def serve_operators(nursery) -> str:
    """Start a small deployment; returns the operators' address."""
    fleet = Fleet(nursery)
    fleet.start_all(3, 2, ["rennes", "brest"])
    await fleet.wait_ready()
    entry = fleet.processes["entry-0"]
    status = DeploymentStatus(entry.peers, entry.sync, entry.view, fleet, fleet.store)
    service = OperationsService(fleet.store, entry.view, status)
    application = operations_application(service, {"lea": "token"})
    address = await nursery.start(
        serve_http, application, Address.parse("127.0.0.1:0"), None
    )
    return f"http://{address}"


async def test_operator_session(tmp_path, monkeypatch, nursery):
    # Keeps log lines of the processes out of the captured output.
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    for name, document in FILES.items():
        (tmp_path / name).write_text(json.dumps(document), encoding="utf-8")
    monkeypatch.setenv("POPLARWARD_SERVER", await serve_operators(nursery))
    monkeypatch.setenv("POPLARWARD_TOKEN", "token")
    try:
        session = [
            await trio.to_thread.run_sync(run, tmp_path, line)
            for line in COMMANDS.strip().splitlines()
        ]
    finally:
        structlog.reset_defaults()
    text = "\n".join(session)
    if os.environ.get("POPLARWARD_WRITE_GOLDEN"):
        GOLDEN.write_text(text, encoding="utf-8")
    assert text == GOLDEN.read_text(encoding="utf-8")
    nursery.cancel_scope.cancel()
