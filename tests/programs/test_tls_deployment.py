"""Processes with TLS on every listener connect, and operators reach them."""

from __future__ import annotations

import json

import trio
import trustme

from benchmarks.deployment import OPERATOR_TOKEN, Deployment
from poplarward.programs import ctl


def tls_section(directory, ips):
    """Write PEM files for a deployment; returns their section of the settings."""
    authority = trustme.CA()
    issued = authority.issue_cert(*ips)
    paths = {part: str(directory / f"{part}.pem") for part in ("cert", "key", "ca")}
    issued.private_key_pem.write_to_path(paths["key"])
    issued.cert_chain_pems[0].write_to_path(paths["cert"])
    authority.cert_pem.write_to_path(paths["ca"])
    return {"certificate": paths["cert"], "key": paths["key"], "authority": paths["ca"]}


async def test_operator_reaches_processes_that_use_tls(tmp_path, capsys):
    async with Deployment() as deployment:
        prefix = deployment.new_host().rpartition(".")[0]
        section = tls_section(tmp_path, [f"{prefix}.{n}" for n in range(1, 10)])
        one_way = {k: v for k, v in section.items() if k != "authority"}
        deployment.tls_sections = {
            "entry": {
                "peers_tls": section,
                "operators_tls": one_way,
                "callers_tls": one_way,
            },
            "agent": {"peers_tls": section},
        }
        engine = await deployment.start_standin("engine", "engine", [])
        url = f"http://{engine.host}:7000"
        await deployment.start_agent("agent-1", "rennes", "engine", "drafts", url)
        await deployment.start_entry("entry-1", "rennes")
        resource = tmp_path / "armor.json"
        weights = {"skew_weight": 2.0, "rebalance_cost_weight": 1.0}
        resource.write_text(json.dumps({"name": "armor", "deployment": weights}))
        server = "https://" + deployment.settings["entry-1"]["operators_listen"]
        command = ["--server", server, "--token", OPERATOR_TOKEN]
        command += ["apply", str(resource), "--wait"]
        trusted = ["--authority", section["authority"], *command]
        assert await trio.to_thread.run_sync(ctl.run, trusted) == 0
        assert "in force in all 2 processes" in capsys.readouterr().err
        assert await trio.to_thread.run_sync(ctl.run, command) == ctl.EXIT_UNKNOWN
        assert await deployment.processes["entry-1"].stop() == 0
