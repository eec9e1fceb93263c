"""Authentication of operators and the ids of their changes."""

from ..ports import Reason, Refused, Unavailable
from ..settings.environment import Operator
from ..settings.keys import check_operator
from ..state import CONFIGURATION
from .context import AdministrationContext

MAX_CHANGE_ID_CHARACTERS = 128


def authenticate(
    context: AdministrationContext, header: str | None, allows_bootstrap: bool
) -> Operator | Refused | Unavailable:
    """Return the operator whose key the header holds.

    Like callers' keys, operators' keys are accepted only while this member holds a
    freshness lease, which shows that its configuration is current. A withdrawn key is
    therefore refused by all members within seconds.

    Args:
        context: components of the daemon.
        header: value of ``Authorization``; ``None`` when there is none.
        allows_bootstrap: whether the bootstrap operator may use this route.
    """
    snapshot = context.membership.snapshot()
    if snapshot.environment is None:
        return _authenticate_bootstrap(context, header, allows_bootstrap)
    if not snapshot.is_fresh(context.clock.now()):
        detail = "this member's configuration may be outdated; ask another entry"
        return Refused(Reason.CONFIGURATION_STALE, "operator-check", detail=detail)
    return check_operator(snapshot.environment.operator_by_name, header)


def read_change_id(header: str | None) -> str | Refused:
    """Return the id of a change from the header ``Idempotency-Key``.

    Example:
        >>> read_change_id("c-17")
        'c-17'
        >>> read_change_id("").reason.value
        'request-invalid'
    """
    change_id = header or ""
    is_short = 1 <= len(change_id) <= MAX_CHANGE_ID_CHARACTERS
    if is_short and change_id.isascii() and change_id.isprintable():
        return change_id
    detail = (
        "Idempotency-Key must have 1 to"
        f" {MAX_CHANGE_ID_CHARACTERS} printable ASCII characters,"
        f" got {len(change_id)} characters"
    )
    return Refused(Reason.REQUEST_INVALID, "change-id", detail=detail)


def _authenticate_bootstrap(
    context: AdministrationContext, header: str | None, allows_bootstrap: bool
) -> Operator | Refused | Unavailable:
    """Return the bootstrap operator only if the store holds no document.

    The store is read because a member that has just started may not have received
    the environment's document yet; once there is one, only its operators have access.
    """
    operators = [context.bootstrap] if context.bootstrap and allows_bootstrap else []
    operator = check_operator({o.name: o for o in operators}, header)
    if isinstance(operator, Refused):
        return operator
    rows = context.table.read([CONFIGURATION])
    if isinstance(rows, Unavailable):
        return rows
    if CONFIGURATION in rows:
        detail = "the environment has a document; use the key of one of its operators"
        return Refused(Reason.KEY_UNKNOWN, "operator-check", detail=detail)
    return operator
