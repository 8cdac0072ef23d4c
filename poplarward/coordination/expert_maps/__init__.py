"""Atomic changes of a model group's expert map, at one step for all ranks.

`MapCoordinator` runs on the entry host that holds the group's lease, `MapParticipant`
in the agent of each host of the group. The hosts' votes alone decide an attempted
change, so any process that can read the votes can finish it.
"""

from .coordinator import MapCoordinator
from .engine import EngineControl, EngineStatus, Hold
from .http_engine import HttpEngineControl
from .participant import MapParticipant
from .record import MapRecord
from .results import ChangeOutcome, ChangeResult, GroupHost
from .votes import decide

__all__ = [
    "ChangeOutcome",
    "ChangeResult",
    "EngineControl",
    "EngineStatus",
    "GroupHost",
    "Hold",
    "HttpEngineControl",
    "MapCoordinator",
    "MapParticipant",
    "MapRecord",
    "decide",
]
