"""What the soak holds the relays to, with the bounds of each promise."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Promise(Enum):
    """A promise that callers and upstreams can see broken."""

    ONCE = "a request that may not be repeated runs once at the most"
    NOT_RUN = "what is said not to have run has not, and never does"
    OWN_ANSWER = "an answer is whole, an upstream's, and to the own request"
    ORDER = "a stream's events come in order, none left out, none twice"
    VERSION = "a stream's events come from one version of its upstreams' software, over all tries of its caller"
    RESUMED = "streams go on behind a restart of all VMs if their version still serves"
    EMPTIED = "nothing new reaches an emptied hall"
    COLD = "a cold upstream gets no more than it bears"
    REGION = "a request stays in the regions of its route"
    LEAVING = "an upstream that leaves gets nothing new"
    RESTING = "an upstream that asked a VM for rest gets it"
    LIMITED = "an upstream that names a limit gets no more from all VMs together"
    IN_FORCE = "a configuration is in force in its time"
    NO_STEP_BACK = "a VM that served by a configuration does not go back to an older one"
    PLANNED_STOP = "a planned stop cuts off nothing, and ends in its time"
    ONE_LEADER = "orders to engines come from one VM at a time"
    GIVEN_BACK = "memory of engines is given back once its callers are gone"
    UNBROKEN = "a request is not broken off while the upstreams that it reached are only silent and time is left"
    DEADLY = "a request that ends upstreams is kept from the rest"
    INNOCENT = "a request that ends nothing is not kept away as one that does"
    RECOVERY = "everything is served again once faults are over"


@dataclass(frozen=True, slots=True)
class Breach:
    """One promise that was seen broken."""

    promise: Promise
    at: float
    """Seconds from the start of the run."""
    detail: str

    def __str__(self) -> str:
        """Return one line."""
        return f"{self.at:8.3f} {self.promise.name}: {self.detail}"


TOUCH_TIME = 4.0
"""Seconds without a fault of its own, or of the store, after which a VM is held to bounds of time."""

EMPTY_BOUND = 5.0
"""Seconds behind the store's answer from which on nothing new reaches an emptied hall."""

CONFIGURATION_BOUND = 3.0
"""Seconds behind the store's answer from which on a configuration is in force."""

LEAVE_BOUND = 3.0
"""Seconds behind the store's answer from which on a leaving upstream gets nothing new."""

WORD_BOUND = 2.0
"""Seconds behind an answer by which an upstream says that it leaves; what that VM is sent later does not reach it."""

REST_TIME = 4.0
REST_SLACK = 0.5
MOST_IN_REST = 2
"""Two requests may reach an upstream from a VM between half a second behind its asking for rest and the end of it."""

LIMIT_WINDOW = 4.0
LIMIT_OVERAGE = 1.5
LIMIT_SLACK = 5.0
"""An upstream gets in so many seconds at the most so many times its limit, and so many requests on top."""

LIMIT_CONTACT = 3.0
"""Seconds behind the first answer with a limit from which on that holds."""

LIMIT_TOLD = 0.5
"""Seconds behind the first such answer that a VM has passed on from which on its requests count."""

STEP_BACK_SLACK = 0.25
"""Seconds behind an effect of a version in which another request may still be handled by the version before."""

COLD_RATE = 8.0
COLD_OVERAGE = 1.5
COLD_SLACK = 5.0
COLD_TIME = 3.0
"""Seconds for which an upstream is cold behind its start."""

COLD_BOUND = COLD_RATE * COLD_OVERAGE + COLD_SLACK
"""Requests that reach a cold upstream in any second at the most."""

LEAST_ENDS = 3
LEAST_ENDS_OF_PART = 5
MOST_LATE_SENDS = 3
CONTACT_TIME = 3.0
"""Three sends may arrive later than these seconds behind the third end of a request, or the fifth of a part."""

GRACE = 8.0
"""Seconds that a planned stop may take."""

GONE_BOUND = 1.5
"""Seconds behind which no upstream works for a caller that left: three times the users' bound, on a shared machine."""

ROUTE_TIMEOUT = 6.0
"""Seconds after which all routes time out."""

TIME_LEFT = 0.25
"""Seconds before that within which a request may be ended for lack of time, on a shared machine."""

TURN_TIME = 3.0
"""Seconds between the orders of two VMs."""

THAW_SLACK = 0.3
"""Seconds behind a pause of a process in which its orders may still arrive."""

RECOVERY_BOUND = 15.0
"""Seconds behind the last fault within which everything is served again."""

LEAST_RESUMED = 12
RESUMED_SHARE = 0.5
"""Of so many streams and more whose callers take them up again, at least this share goes on."""
