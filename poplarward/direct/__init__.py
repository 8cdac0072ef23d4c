"""Entry hosts that reach upstreams directly, without agents.

`model` has the types of configuration, upstreams and callers' requests.
`routing_table`, `placement`, `batch_limit`, `pause_tracker`, `retry_budgets` and
`admission_queue` make the decisions, without network input or output; `routing_state`
holds their state, and `relay` and `attempts` carry them out. `host_heartbeats`
exchanges loads between entry hosts, and `map_changes` and `map_planner` keep the expert
map of a rank group balanced. `ports` has the interfaces that a deployment implements;
see `poplarward.platform` for the users' implementation.
"""
