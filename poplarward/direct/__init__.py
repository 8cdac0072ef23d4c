"""Entry hosts that reach upstreams themselves, without agents.

`model` holds what such a host believes: configuration, upstreams, callers' requests.
`routing_table`, `placement`, `admission_queue`, `attempts` and `retry_budgets` decide,
as
functions and tables without input or output; `relay` carries their decisions out.
`host_heartbeats` tells entry hosts of each other, and `map_changes` and `map_planner`
keep a rank group on an even expert map. `ports` names what a deployment's own side
has to offer; see `poplarward.platform` for the users'.
"""
