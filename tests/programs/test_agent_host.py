"""What an agent's process knows and does by itself, with real processes."""

from __future__ import annotations

from benchmarks.deployment import Deployment, model_group, workspace

N_RANKS = 2


async def test_restarted_agent_learns_the_fence_from_its_peers_without_the_store():
    async with Deployment() as deployment:
        ranks = await deployment.start_standin("ranks", "ranks", ["--hosts", "2"])
        for i in range(N_RANKS):
            url = f"http://{ranks.host}:{7000 + i}"
            await deployment.start_agent(
                f"agent-{i}", "rennes", "engine", "palettes", url, ranks=[i]
            )
        await deployment.start_entry("entry-1", "rennes")
        await deployment.apply("entry-1", workspace("ateliers", "caller"))
        await deployment.apply("entry-1", model_group("palettes", "palette", N_RANKS))
        for i in range(N_RANKS):
            agent = deployment.processes[f"agent-{i}"]
            await deployment.wait_for_event(agent, "fence.learnt")
        await deployment.set_store_faults(is_down=True)
        assert await deployment.processes["agent-0"].stop() == 0
        restarted = await deployment.restart("agent-0")
        await deployment.wait_for_event(restarted, "fence.learnt", n_times=2)
