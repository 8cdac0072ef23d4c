"""Parsing of host lists, which long lists do in slices."""

from __future__ import annotations

import json

import pytest
import trio

from poplarward.coordination.hosts import HOSTS_PER_SLICE, ListedHost, parse_host_list


def hosts_of(n):
    return [
        ListedHost(f"agent-{i}", "agent", "rennes", "live", f"10.0.0.1:{i}")
        for i in range(n)
    ]


def body_of(hosts):
    return json.dumps({"hosts": [host._asdict() for host in hosts]}).encode()


@pytest.mark.parametrize("n", [0, 1, HOSTS_PER_SLICE, 3 * HOSTS_PER_SLICE + 1])
async def test_all_hosts_are_parsed(n):
    hosts = hosts_of(n)
    assert await parse_host_list(body_of(hosts)) == {host.name: host for host in hosts}


async def test_parsing_yields_to_other_tasks(nursery):
    n_turns = 0

    async def count_turns():
        nonlocal n_turns
        while True:
            n_turns += 1
            await trio.lowlevel.checkpoint()

    nursery.start_soon(count_turns)
    await parse_host_list(body_of(hosts_of(6 * HOSTS_PER_SLICE)))
    assert n_turns >= 5
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[",
        b"{}",
        b"null",
        b"3",
        b"[" * 200_000,
        b'{"hosts": {}}',
        b'{"hosts": [1]}',
    ],
)
async def test_invalid_list_is_rejected(body):
    with pytest.raises((ValueError, KeyError)):
        await parse_host_list(body)


ODD_ENTRIES = {
    "nested": 50_000 * "[" + 50_000 * "]",
    "number": "9" * 5_000,
    "text": '"x"',
    "no fields": "{}",
    "no port": '{"name": "x", "role": "agent", "data_centre": "a", "state": "live", '
    '"peers_address": "10.0.0.1"}',
    "port": '{"name": "x", "role": "agent", "data_centre": "a", "state": "live", '
    '"peers_address": "10.0.0.1:65536"}',
    "long port": '{"name": "x", "role": "agent", "data_centre": "a", "state": "live", '
    '"peers_address": "10.0.0.1:%s"}' % ("9" * 5_000),
    "port of callers": '{"name": "x", "role": "entry", "data_centre": "a", "state": '
    '"live", "peers_address": "10.0.0.1:1", "callers_address": "10.0.0.1:x"}',
}


# Guards against LOST: one odd entry made the list unreadable, or ended the process.
@pytest.mark.parametrize("odd", ODD_ENTRIES)
@pytest.mark.parametrize("n", (2, HOSTS_PER_SLICE + 1))
async def test_odd_entry_hides_no_others(odd, n):
    hosts = hosts_of(n)
    entries = [json.dumps(host._asdict()) for host in hosts]
    entries.insert(1, ODD_ENTRIES[odd])
    body = '{"hosts": [' + ", ".join(entries) + "]}"
    found = await parse_host_list(body.encode())
    assert found == {host.name: host for host in hosts}
    assert all(host.peers for host in found.values())
