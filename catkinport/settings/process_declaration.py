"""The sections and options of a process's own settings file."""

from ..runtime.logs import LOG_FORMATS
from .declaration import Option, SectionDeclaration


def _port(name: str, doc: str) -> Option:
    doc += " 0 lets the kernel choose a free port."
    return Option(name, "whole", doc, default="0", low=0, high=65535)


def _seconds(name: str, doc: str, default: str, low: float, high: float) -> Option:
    return Option(name, "number", doc, default, low, high, unit="seconds")


COMMON_DECLARATIONS: tuple[SectionDeclaration, ...] = (
    SectionDeclaration(
        "process",
        "Identity of the process.",
        (
            Option("name", "name", "Name in logs and in the list of members."),
            Option("zone", "name", "Availability zone."),
        ),
        is_required=True,
    ),
    SectionDeclaration(
        "addresses",
        "Where the process listens.",
        (
            Option("host", "ip", "IP address to listen on.", default="127.0.0.1"),
            Option(
                "advertised_host",
                "ip",
                "IP address at which other members reach the process; empty for host.",
                default="",
            ),
            _port("caller_port", "Port of the callers' API; used by entries only."),
            _port("admin_port", "Port of administration, health and metrics."),
            _port("peer_port", "Port of the gRPC service for other members."),
        ),
    ),
    SectionDeclaration(
        "platform",
        "Addresses of the platform's services.",
        (
            Option("table", "address", "Address of the table service."),
            Option("objects", "address", "Address of the object store."),
            Option("vm_list", "address", "Address of the VM list."),
            _seconds("timeout_seconds", "Longest wait for an answer.", "1", 0.05, 60),
        ),
        is_required=True,
    ),
    SectionDeclaration(
        "cluster",
        "The key that authenticates members to each other. Set exactly one of the two"
        " options.",
        (
            Option(
                "key",
                "text",
                "The key, at least 32 bytes.",
                default="",
                high=1024,
                is_hidden=True,
            ),
            Option(
                "key_file",
                "text",
                "File that holds the key, relative to the settings file.",
                default="",
                high=1024,
            ),
        ),
        is_required=True,
    ),
    SectionDeclaration(
        "logging",
        "The log on standard error.",
        (
            Option(
                "level",
                "choice",
                "Lowest level that is written.",
                default="INFO",
                choices=("DEBUG", "INFO", "WARNING", "ERROR"),
            ),
            Option(
                "format",
                "choice",
                "One key=value line or one JSON object per event.",
                default="keyvalue",
                choices=LOG_FORMATS,
            ),
        ),
    ),
    SectionDeclaration(
        "stop",
        "Time limits of a graceful stop.",
        (
            _seconds(
                "balancer_lag_seconds",
                "How long the load balancer still sends requests after the process"
                " reports that it is not ready.",
                "5",
                0,
                600,
            ),
            _seconds(
                "drain_deadline_seconds",
                "Longest wait for work in flight to end.",
                "120",
                0,
                86400,
            ),
        ),
    ),
    SectionDeclaration(
        "bootstrap",
        "An operator who may apply the first document. The key is accepted only while"
        " the environment has no document at all.",
        (
            Option("operator", "name", "Name of the operator.", default=""),
            Option(
                "salt",
                "hex",
                "Salt of the hashed secret.",
                default="",
                low=32,
                high=32,
                is_hidden=True,
            ),
            Option(
                "digest",
                "hex",
                "SHA-256 of salt and secret.",
                default="",
                low=64,
                high=64,
                is_hidden=True,
            ),
        ),
    ),
)

ENTRY_DECLARATION = SectionDeclaration(
    "entry",
    "Options of `catkin-entry`.",
    (
        Option(
            "n_threads",
            "whole",
            "Requests that are handled at once, waiting ones included.",
            default="400",
            low=1,
            high=10000,
        ),
        Option(
            "max_held_answer_bytes",
            "whole",
            "Answers up to this size are sent only when they have arrived completely.",
            default="1048576",
            low=0,
            high=67108864,
            unit="bytes",
        ),
        _seconds(
            "claim_batch_seconds",
            "Claims that arrive within this time are written in one call to the table"
            " service. A claim allows one attempt to run a request that is not"
            " idempotent.",
            "0.005",
            0,
            1,
        ),
        Option(
            "retry_budget_fraction",
            "number",
            "Largest share of retries among all requests.",
            default="0.2",
            low=0,
            high=1,
        ),
        Option(
            "max_body_bytes",
            "whole",
            "Largest body of a request.",
            default="1073741824",
            low=1024,
            high=1099511627776,
            unit="bytes",
        ),
    ),
)

CONTROLLER_DECLARATION = SectionDeclaration(
    "controller",
    "Options of `catkin-controller`.",
    (
        _seconds(
            "round_seconds",
            "Longest time between placement rounds of a pool.",
            "0.5",
            0.05,
            60,
        ),
        _seconds("lease_seconds", "Duration of a task lease.", "300", 1, 86400),
        _seconds(
            "renew_seconds", "Time between renewals of task leases.", "10", 0.1, 3600
        ),
        _seconds("scan_seconds", "Time between scans for jobs.", "60", 0.1, 3600),
    ),
)
