"""Faults that a test injects into a running stand-in."""

import threading
from collections.abc import Mapping
from typing import Any

from ..runtime import BadRequestError, HttpRequest, Router, json_answer


class FaultSettings:
    """Named fault settings with defaults, which a test can change at any time.

    Args:
        defaults: value of each setting without a fault; a new value must have its type.

    Example:
        >>> faults = FaultSettings({"is_down": False, "delay_seconds": 0.0})
        >>> faults.update({"delay_seconds": 2})
        >>> faults["delay_seconds"]
        2.0
    """

    def __init__(self, defaults: Mapping[str, Any]) -> None:
        self._lock = threading.Lock()
        self._defaults = dict(defaults)
        self._value_by_name = dict(defaults)

    def __getitem__(self, name: str) -> Any:
        """Return the value of the setting ``name``."""
        with self._lock:
            return self._value_by_name[name]

    def update(self, value_by_name: Mapping[str, Any]) -> None:
        """Change settings.

        Raises:
            ValueError: if a name is unknown or a value has the wrong type.
        """
        checked = {name: self._check(name, v) for name, v in value_by_name.items()}
        with self._lock:
            self._value_by_name.update(checked)

    def reset(self) -> None:
        """Set every setting to its default."""
        with self._lock:
            self._value_by_name = dict(self._defaults)

    def consume(self, name: str) -> bool:
        """Decrement a count unless it is zero; return whether it was above zero."""
        with self._lock:
            if self._value_by_name[name] <= 0:
                return False
            self._value_by_name[name] -= 1
            return True

    def to_dict(self) -> dict[str, Any]:
        """Return a copy of all settings."""
        with self._lock:
            return dict(self._value_by_name)

    def _check(self, name: str, value: Any) -> Any:
        if name not in self._defaults:
            known = ", ".join(sorted(self._defaults))
            raise ValueError(f"unknown fault {name!r}; known faults: {known}")
        kind = type(self._defaults[name])
        if kind is float and isinstance(value, int) and not isinstance(value, bool):
            return float(value)
        if not isinstance(value, kind):
            raise ValueError(f"fault {name!r} must be {kind.__name__}, got {value!r}")
        return value


def add_fault_routes(router: Router, faults: FaultSettings) -> None:
    """Add ``GET``, ``PUT`` and ``DELETE /standin/faults`` to ``router``."""

    @router.route("GET", "/standin/faults")
    def show_faults(request: HttpRequest):
        return json_answer(200, faults.to_dict())

    @router.route("PUT", "/standin/faults")
    def change_faults(request: HttpRequest):
        try:
            faults.update(request.read_json())
        except (ValueError, AttributeError) as error:
            raise BadRequestError(str(error)) from error
        return json_answer(200, faults.to_dict())

    @router.route("DELETE", "/standin/faults")
    def reset_faults(request: HttpRequest):
        faults.reset()
        return json_answer(200, faults.to_dict())
