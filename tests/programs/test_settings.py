"""All errors in the settings are reported at once, each with its place."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
import trustme

from poplarward.errors import FindingsError
from poplarward.programs import agent, entry
from poplarward.programs.settings import (
    AgentSettings,
    EntrySettings,
    read_settings,
)

EXAMPLES = Path(__file__).parent.parent.parent / "examples"
ENTRY_EXAMPLE = EXAMPLES / "armor" / "entry-rennes-1.json"


@pytest.mark.parametrize(
    "path",
    sorted(EXAMPLES.glob("*/*.json")),
    ids=lambda path: f"{path.parent.name}-{path.stem}",
)
def test_examples_pass_the_check(path, monkeypatch, capsys):
    program = entry if path.name.startswith("entry") else agent
    monkeypatch.setattr("sys.argv", ["program", "--check", str(path)])
    program.main()
    assert capsys.readouterr().out == "settings are valid\n"


def places_found(tmp_path, **changes):
    """Return place and finding of settings that were changed."""
    settings = json.loads(ENTRY_EXAMPLE.read_text()) | changes
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(settings))
    with pytest.raises(FindingsError) as caught:
        read_settings(str(path), EntrySettings)
    prefix = f"{path}: $."
    return {f.place.removeprefix(prefix): f.found for f in caught.value.findings}


def test_missing_files_and_invalid_addresses_are_reported_together(tmp_path):
    section = {"certificate": "/absent/c.pem", "key": "/absent/k.pem"}
    found = places_found(
        tmp_path,
        callers_listen="localhost:8000",
        operators_listen="10.0.0.1:99999",
        peers_tls=section,
    )
    assert found == {
        "callers_listen": "'localhost:8000'",
        "operators_listen": "'10.0.0.1:99999'",
        "peers_tls.certificate": "/absent/c.pem: No such file or directory",
        "peers_tls.key": "/absent/k.pem: No such file or directory",
        "peers_tls.authority": "nothing",
    }


def test_key_of_another_certificate_is_reported(tmp_path):
    authority = trustme.CA()
    paths = [tmp_path / "cert.pem", tmp_path / "key.pem"]
    first, second = authority.issue_cert("10.0.0.1"), authority.issue_cert("10.0.0.1")
    first.cert_chain_pems[0].write_to_path(str(paths[0]))
    second.private_key_pem.write_to_path(str(paths[1]))
    section = {"certificate": str(paths[0]), "key": str(paths[1])}
    assert list(places_found(tmp_path, callers_tls=section)) == ["callers_tls"]


def test_addresses_and_tls_of_external_servers_are_checked(tmp_path):
    found = places_found(
        tmp_path,
        platform_url="http://10.0.0.1:7000",
        platform_tls={"authority": "/absent/ca.pem", "key": "/absent/key.pem"},
    )
    assert found == {
        "platform_url": "'http://10.0.0.1:7000'",
        "platform_tls": "authority, key",
    }
    found = places_found(
        tmp_path,
        platform_url="https://platform:7000",
        platform_tls={"authority": "/absent/ca.pem"},
    )
    assert found == {
        "platform_url": "'platform:7000'",
        "platform_tls.authority": "/absent/ca.pem: No such file or directory",
    }
    assert places_found(tmp_path, platform_url="ftp://10.0.0.1:70") == {
        "platform_url": "'ftp://10.0.0.1:70'"
    }


def test_kv_memory_of_an_engine_is_checked(tmp_path):
    path = next(EXAMPLES.glob("armor/agent-*.json"))
    settings = json.loads(path.read_text())
    changed = tmp_path / "settings.json"
    settings["upstream"] |= {"kv_limit_tokens": 65_536, "kv_headroom_share": 0.1}
    changed.write_text(json.dumps(settings))
    section = read_settings(str(changed), AgentSettings)["upstream"]
    assert section["kv_limit_tokens"] == 65_536
    settings["upstream"] |= {"kv_limit_tokens": -1, "kv_headroom_share": 1.0}
    changed.write_text(json.dumps(settings))
    with pytest.raises(FindingsError) as caught:
        read_settings(str(changed), AgentSettings)
    places = {found.place.rpartition(".")[2] for found in caught.value.findings}
    assert places == {"kv_limit_tokens", "kv_headroom_share"}
