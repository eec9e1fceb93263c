"""Routes that list, grant and withdraw callers' keys."""

import re
from typing import Any

from ..runtime import BadRequestError
from ..settings.edits import grant_hashed_key, withdraw_key
from ..settings.keys import SaltedHash
from .calls import OperatorCall, OperatorRoutes, read_text, read_whole_number
from .stored_document import edit_document


def add_key_routes(routes: OperatorRoutes) -> None:
    """Add the routes below ``/v1/keys``."""

    @routes.read("/v1/keys")
    def list_keys(call: OperatorCall) -> Any:
        keys = call.environment.key_by_name.values()
        return {
            "keys": [
                {"name": key.name, "account": key.account, "team": key.team}
                for key in keys
            ]
        }

    @routes.change("PUT", "/v1/keys/{name}")
    def grant(call: OperatorCall, name: str) -> Any:
        body = call.read_body()
        salted_hash = _read_hash(body)
        account = read_text(body, "account")
        expected_revision = read_whole_number(body, "expected_revision")
        # The id includes the hash, so that a grant of the same name with another secret
        # is not taken for a repetition.
        change_id = f"{call.change_id}/grant/{name}/{salted_hash.digest[:16]}"
        return edit_document(
            call,
            change_id,
            expected_revision,
            lambda text: grant_hashed_key(text, name, account, salted_hash),
        )

    @routes.change("DELETE", "/v1/keys/{name}")
    def withdraw(call: OperatorCall, name: str) -> Any:
        expected_revision = read_whole_number(call.request.query, "expected_revision")
        return edit_document(
            call,
            f"{call.change_id}/withdraw/{name}",
            expected_revision,
            lambda text: withdraw_key(text, name),
        )


def _read_hash(body: dict[str, Any]) -> SaltedHash:
    """Return the salted hash in ``body``; the API is never sent the secret itself."""
    salted_hash = SaltedHash(read_text(body, "salt"), read_text(body, "digest"))
    if not re.fullmatch(r"[0-9a-f]{32}", salted_hash.salt):
        raise BadRequestError("salt must be 32 hexadecimal digits, lower case")
    if not re.fullmatch(r"[0-9a-f]{64}", salted_hash.digest):
        raise BadRequestError("digest must be 64 hexadecimal digits, lower case")
    return salted_hash
