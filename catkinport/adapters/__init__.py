"""HTTP and gRPC implementations of the interfaces in ``catkinport.ports``."""

from ._http_client import HttpClient
from .backend_servers_http import HttpBackendServers
from .object_store_http import HttpObjectStore
from .table_http import HttpTable
from .vm_list_http import HttpVmList
from .workers_http import HttpWorkers

__all__ = [
    "HttpBackendServers",
    "HttpClient",
    "HttpObjectStore",
    "HttpTable",
    "HttpVmList",
    "HttpWorkers",
]
