"""The router of the administration port."""

from ..runtime import Router
from .calls import OperatorRoutes
from .configuration import add_configuration_routes
from .context import AdministrationContext
from .health import add_health_routes
from .jobs import add_job_routes
from .keys import add_key_routes
from .maintenance import add_maintenance_routes
from .status import add_status_routes
from .vms import add_vm_routes


def build_router(context: AdministrationContext) -> Router:
    """Return a router of the administration API, health and metrics.

    Args:
        context: components of the daemon that the API uses.
    """
    router = Router()
    add_health_routes(router, context.metrics, context.check_ready)
    routes = OperatorRoutes(router, context)
    add_configuration_routes(routes)
    add_key_routes(routes)
    add_vm_routes(routes)
    add_maintenance_routes(routes)
    add_job_routes(routes)
    add_status_routes(routes)
    return router
