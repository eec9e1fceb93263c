"""The administration API, with health and metrics."""

from .context import AdministrationContext
from .health import add_health_routes
from .router import build_router

__all__ = ["AdministrationContext", "add_health_routes", "build_router"]
